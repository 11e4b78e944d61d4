// Package indexer has an ordered map whose versions share what they have in common, so that a change of one entry costs
// the same however many others there are.
package indexer

import (
	"cmp"
	"iter"

	"github.com/tidwall/btree"
)

// Map is an immutable map sorted by key. The zero value is empty. Versions may be read from several goroutines; a version
// is changed from one goroutine at a time.
type Map[K cmp.Ordered, V any] struct {
	tree *btree.Map[K, V]
}

// Len returns the number of entries.
func (m Map[K, V]) Len() int {
	if m.tree == nil {
		return 0
	}
	return m.tree.Len()
}

// Get returns the value of key.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.tree == nil {
		var none V
		return none, false
	}
	return m.tree.Get(key)
}

// Same reports whether both are the same version, so that nothing was changed between them.
func (m Map[K, V]) Same(other Map[K, V]) bool {
	return m.tree == other.tree
}

// All returns the entries in ascending order.
func (m Map[K, V]) All() iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.tree != nil {
			m.tree.Scan(yield)
		}
	}
}

// From returns the entries from key on in ascending order.
func (m Map[K, V]) From(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.tree != nil {
			m.tree.Ascend(key, yield)
		}
	}
}

// Floor returns the entry with the greatest key that is not above key.
func (m Map[K, V]) Floor(key K) (at K, value V, ok bool) {
	if m.tree == nil {
		return at, value, false
	}
	m.tree.Descend(key, func(k K, v V) bool {
		at, value, ok = k, v, true
		return false
	})
	return at, value, ok
}

// Edit returns an Editor that starts from m.
func (m Map[K, V]) Edit() *Editor[K, V] {
	tree := &btree.Map[K, V]{}
	if m.tree != nil {
		tree = m.tree.Copy()
	}
	return &Editor[K, V]{
		Map: Map[K, V]{
			tree: tree,
		},
	}
}

// With returns m with value at key.
func (m Map[K, V]) With(key K, value V) Map[K, V] {
	e := m.Edit()
	e.Set(key, value)
	return e.Map
}

// Without returns m without key.
func (m Map[K, V]) Without(key K) Map[K, V] {
	e := m.Edit()
	e.Delete(key)
	return e.Map
}

// Editor makes several changes before the next version is published. Make it with Map.Edit.
type Editor[K cmp.Ordered, V any] struct {
	// Map is the version with all changes so far. It may be published once, after the last change.
	Map[K, V]
}

// Set puts value at key.
func (e *Editor[K, V]) Set(key K, value V) {
	e.tree.Set(key, value)
}

// Delete removes key.
func (e *Editor[K, V]) Delete(key K) {
	e.tree.Delete(key)
}
