// Package indexer implements a persistent ordered map on a copy-on-write B-tree. Its versions are immutable and share
// structure, so that the cost of changing one entry hardly depends on the number of the others.
package indexer

import (
	"cmp"
	"iter"

	"github.com/tidwall/btree"
)

// Map is one version of a persistent map, sorted by key. The zero value is empty. Several goroutines may read a version
// at the same time, but only one at a time may derive others from it by Edit, With or Without.
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

// Get returns the value of key, and whether there is one.
func (m Map[K, V]) Get(key K) (V, bool) {
	if m.tree == nil {
		var none V
		return none, false
	}
	return m.tree.Get(key)
}

// Same reports whether m and other are the same version, which implies that they have the same entries.
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

// From returns the entries whose keys are at least key, in ascending order.
func (m Map[K, V]) From(key K) iter.Seq2[K, V] {
	return func(yield func(K, V) bool) {
		if m.tree != nil {
			m.tree.Ascend(key, yield)
		}
	}
}

// Floor returns the entry with the greatest key that is at most key.
func (m Map[K, V]) Floor(key K) (floor K, value V, ok bool) {
	if m.tree == nil {
		return floor, value, false
	}
	m.tree.Descend(key, func(k K, v V) bool {
		floor, value, ok = k, v, true
		return false
	})
	return floor, value, ok
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

// Editor makes several changes to one new version in place. Make it with Map.Edit.
type Editor[K cmp.Ordered, V any] struct {
	// Map is the new version with all changes so far. It must not be published before the last change.
	Map[K, V]
}

// Set sets the value of key.
func (e *Editor[K, V]) Set(key K, value V) {
	e.tree.Set(key, value)
}

// Delete removes key.
func (e *Editor[K, V]) Delete(key K) {
	e.tree.Delete(key)
}
