package registrar

import (
	"iter"
	"sort"

	"bramleyline.example/bramleyline/indexer"
)

// Ranges holds the key ranges of a service by their first keys. Callers must not modify the ranges.
type Ranges = indexer.Map[uint16, *Range]

// Range is a contiguous range of keys with one owner.
type Range struct {
	// From and To are both inclusive.
	From uint16
	To   uint16
	// Owner is the incarnation that the range was granted to last; an empty ID means that the range has no owner.
	Owner Incarnation
	// Fence orders the grants of a key. It is the log index of the grant.
	Fence uint64
	// Releasing says that the owner has to release the range, so it gets no new requests for it.
	Releasing bool
	// Handover is the data that the previous owner returned at its release for the next one, empty if there is none.
	Handover string
}

// Grant makes an incarnation the owner of a range of keys, under a new fence.
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

// Ranges returns the key ranges of one service, sorted and without overlap.
func (r Registry) Ranges(service string) Ranges {
	ranges, _ := r.ranges.Get(service)
	return ranges
}

// RangeList returns the key ranges of one service as a copy that the caller may modify.
func (r Registry) RangeList(service string) []Range {
	ranges := r.Ranges(service)
	list := make([]Range, 0, ranges.Len())
	for _, rg := range ranges.All() {
		list = append(list, *rg)
	}
	return list
}

// Owner returns the range of a service that contains key.
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

// Grant records new owners. The fence of each granted range is index, which is higher than every earlier fence.
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

// Release marks spans of keys as being released by their owners, or clears the mark. Owners and fences stay.
func (r Registry) Release(service string, spans []Span, releasing bool) Registry {
	e := r.Ranges(service).Edit()
	for _, s := range spans {
		for _, piece := range overlapping(e.Map, s) {
			piece.From, piece.To = max(piece.From, s.From), min(piece.To, s.To)
			piece.Releasing = releasing
			overlay(e, piece)
		}
	}
	return r.withRanges(service, e.Map)
}

// Refence grants each range whose owner is alive to the same owner again. The new fence is index, which is higher than
// every earlier fence. The grant clears the mark of ranges that were being released, and drops hand-over data.
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

// Find returns the range that contains key. The ranges have to be sorted and must not overlap.
func Find(ranges []Range, key uint16) (Range, bool) {
	i := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= key })
	if i == len(ranges) || ranges[i].From > key {
		return Range{}, false
	}
	return ranges[i], true
}

// Cut returns the parts of the ranges that lie within s.
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

// overlapping returns the ranges that overlap s.
func overlapping(ranges Ranges, s Span) []Range {
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

// overlay adds rg: it deletes, trims or splits the ranges that overlap rg, and then merges rg with adjacent ranges that
// differ only in their keys.
func overlay(e *indexer.Editor[uint16, *Range], rg Range) {
	for _, old := range overlapping(e.Map, Span{
		From: rg.From,
		To:   rg.To,
	}) {
		e.Delete(old.From)
		if old.From < rg.From {
			left := old
			left.To = rg.From - 1
			e.Set(left.From, &left)
		}
		if old.To > rg.To {
			right := old
			right.From = rg.To + 1
			e.Set(right.From, &right)
		}
	}
	if rg.From > 0 {
		if _, left, ok := e.Floor(rg.From - 1); ok && left.To == rg.From-1 && mergeable(*left, rg) {
			rg.From = left.From
		}
	}
	if rg.To < ^uint16(0) {
		if right, ok := e.Get(rg.To + 1); ok && mergeable(*right, rg) {
			e.Delete(right.From)
			rg.To = right.To
		}
	}
	e.Set(rg.From, &rg)
}

// mergeable reports whether two adjacent ranges may become one: they differ only in their keys, and they are not being
// released, since each of them may then go to another target.
func mergeable(a, b Range) bool {
	a.From, a.To = b.From, b.To
	return a == b && !a.Releasing
}
