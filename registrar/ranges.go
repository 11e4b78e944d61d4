package registrar

import (
	"iter"
	"sort"

	"bramleyline.example/bramleyline/indexer"
)

// Ranges has the key ranges of a service by their first keys. The ranges must not be changed.
type Ranges = indexer.Map[uint16, *Range]

// Range is a contiguous range of keys with one owner.
type Range struct {
	// From and To are both inclusive.
	From uint16
	To   uint16
	// Owner is the incarnation that the range was granted to last; an empty ID means that nobody owns it.
	Owner Incarnation
	// Fence orders the grants of a key. It is the log index of the grant.
	Fence uint64
	// Releasing says that the owner is giving the range up, so no new work goes there.
	Releasing bool
	// Handover is what the owner before gave at its release, empty if it gave nothing.
	Handover string
}

// Grant gives a range of keys to an incarnation under a new fence.
type Grant struct {
	From     uint16
	To       uint16
	Owner    Incarnation
	Handover string
}

// Span is a range of keys, both ends inclusive.
type Span struct {
	From uint16
	To   uint16
}

// Ranges has the key ranges of one service, sorted and without overlap.
func (r Registry) Ranges(service string) Ranges {
	ranges, _ := r.ranges.Get(service)
	return ranges
}

// RangeList returns the key ranges of one service as a list of the caller's own.
func (r Registry) RangeList(service string) []Range {
	ranges := r.Ranges(service)
	list := make([]Range, 0, ranges.Len())
	for _, rg := range ranges.All() {
		list = append(list, *rg)
	}
	return list
}

// Owner returns the range of a service that holds key.
func (r Registry) Owner(service string, key uint16) (*Range, bool) {
	_, rg, ok := r.Ranges(service).Floor(key)
	if !ok || rg.To < key {
		return nil, false
	}
	return rg, true
}

// Services returns the services that have ranges.
func (r Registry) Services() iter.Seq[string] {
	return func(yield func(string) bool) {
		for service := range r.ranges.All() {
			if !yield(service) {
				return
			}
		}
	}
}

// Grant records new owners. The fence of each granted range is index, which is above every fence before it.
func (r Registry) Grant(index uint64, service string, grants []Grant) Registry {
	e := r.Ranges(service).Edit()
	for _, g := range grants {
		overlay(e, Range{
			From:     g.From,
			To:       g.To,
			Owner:    g.Owner,
			Fence:    index,
			Handover: g.Handover,
		})
	}
	return r.withRanges(service, e.Map)
}

// Release marks spans of keys as being given up, or takes the mark back. The owners and fences stay.
func (r Registry) Release(service string, spans []Span, releasing bool) Registry {
	e := r.Ranges(service).Edit()
	for _, s := range spans {
		for _, piece := range within(e.Map, s) {
			piece.From, piece.To = max(piece.From, s.From), min(piece.To, s.To)
			piece.Releasing = releasing
			overlay(e, piece)
		}
	}
	return r.withRanges(service, e.Map)
}

// Refence gives each range whose owner is alive to it again under the fence index, above every fence before it. Ranges
// that were being given up are held again.
func (r Registry) Refence(index uint64, service string) Registry {
	e := r.Ranges(service).Edit()
	for _, old := range r.Ranges(service).All() {
		if r.Alive(old.Owner) {
			overlay(e, Range{
				From:  old.From,
				To:    old.To,
				Owner: old.Owner,
				Fence: index,
			})
		}
	}
	return r.withRanges(service, e.Map)
}

// Find returns the range that holds key.
func Find(ranges []Range, key uint16) (Range, bool) {
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
	if i == len(ranges) || ranges[i].From > key {
		return Range{}, false
	}
	return ranges[i], true
}

// Cut returns the parts of ranges within s.
func Cut(ranges []Range, s Span) []Range {
	var parts []Range
	for _, r := range ranges {
		if r.To < s.From || r.From > s.To {
			continue
		}
		r.From, r.To = max(r.From, s.From), min(r.To, s.To)
		parts = append(parts, r)
	}
	return parts
}

func (r Registry) withRanges(service string, ranges Ranges) Registry {
	r.ranges = r.ranges.With(service, ranges)
	return r
}

// within returns the ranges that share keys with s.
func within(ranges Ranges, s Span) []Range {
	var found []Range
	if _, left, ok := ranges.Floor(s.From); ok && left.From < s.From && left.To >= s.From {
		found = append(found, *left)
	}
	for _, rg := range ranges.From(s.From) {
		if rg.From > s.To {
			break
		}
		found = append(found, *rg)
	}
	return found
}

// overlay replaces the keys of n by n, and merges it with neighbours that differ in nothing but their keys.
func overlay(e *indexer.Editor[uint16, *Range], n Range) {
	for _, old := range within(e.Map, Span{
		From: n.From,
		To:   n.To,
	}) {
		e.Delete(old.From)
		if old.From < n.From {
			left := old
			left.To = n.From - 1
			e.Set(left.From, &left)
		}
		if old.To > n.To {
			right := old
			right.From = n.To + 1
			e.Set(right.From, &right)
		}
	}
	if n.From > 0 {
		if _, left, ok := e.Floor(n.From - 1); ok && left.To == n.From-1 && joins(*left, n) {
			n.From = left.From
		}
	}
	if n.To < ^uint16(0) {
		if right, ok := e.Get(n.To + 1); ok && joins(*right, n) {
			e.Delete(right.From)
			n.To = right.To
		}
	}
	e.Set(n.From, &n)
}

// joins reports whether two ranges differ in nothing but their keys. Ranges that are being given up stay apart, since each
// of them may go to another target.
func joins(a, b Range) bool {
	a.From, a.To = b.From, b.To
	return a == b && !a.Releasing
}
