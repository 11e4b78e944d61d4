package registrar

import (
	"maps"
	"slices"
	"sort"
)

// Range is a contiguous range of keys with one owner.
type Range struct {
	// From and To are both inclusive.
	From uint16
	To   uint16
	// Owner is the life that the range was granted to last; an empty ID means that nobody owns it.
	Owner Life
	// Fence orders the grants of a key. It is the log index of the grant.
	Fence uint64
	// Releasing says that the owner is giving the range up, so no new work goes there.
	Releasing bool
	// Handover is what the owner before gave at its release, empty if it gave nothing.
	Handover string
}

// Grant gives a range of keys to a life under a new fence.
type Grant struct {
	From     uint16
	To       uint16
	Owner    Life
	Handover string
}

// Span is a range of keys, both ends inclusive.
type Span struct {
	From uint16
	To   uint16
}

// Grant records new owners. The fence of each granted range is index, which is above every fence before it.
func (r Registry) Grant(index uint64, service string, grants []Grant) Registry {
	ranges := r.Ranges[service]
	for _, g := range grants {
		ranges = overlay(ranges, Range{
			From:     g.From,
			To:       g.To,
			Owner:    g.Owner,
			Fence:    index,
			Handover: g.Handover,
		})
	}
	return r.withRanges(service, ranges)
}

// Release marks spans of keys as being given up, or takes the mark back. The owners and fences stay.
func (r Registry) Release(service string, spans []Span, releasing bool) Registry {
	ranges := r.Ranges[service]
	for _, s := range spans {
		for _, piece := range Cut(ranges, s) {
			piece.Releasing = releasing
			ranges = overlay(ranges, piece)
		}
	}
	return r.withRanges(service, ranges)
}

// Refence gives each range whose owner is alive to it again under the fence index, above every fence before it. Ranges
// that were being given up are held again.
func (r Registry) Refence(index uint64, service string) Registry {
	ranges := slices.Clone(r.Ranges[service])
	for i, old := range ranges {
		if r.Alive(old.Owner) {
			ranges[i] = Range{
				From:  old.From,
				To:    old.To,
				Owner: old.Owner,
				Fence: index,
			}
		}
	}
	return r.withRanges(service, joined(ranges))
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

func (r Registry) withRanges(service string, ranges []Range) Registry {
	next := r
	next.Ranges = maps.Clone(r.Ranges)
	if next.Ranges == nil {
		next.Ranges = make(map[string][]Range)
	}
	next.Ranges[service] = ranges
	return next
}

// overlay returns ranges, which are sorted, with the keys of n replaced by n.
func overlay(ranges []Range, n Range) []Range {
	next := make([]Range, 0, len(ranges)+2)
	first := sort.Search(len(ranges), func(i int) bool { return ranges[i].To >= n.From })
	next = append(next, ranges[:first]...)
	if first < len(ranges) && ranges[first].From < n.From {
		left := ranges[first]
		left.To = n.From - 1
		next = append(next, left)
	}
	next = append(next, n)
	last := first
	for last < len(ranges) && ranges[last].To <= n.To {
		last++
	}
	if last < len(ranges) {
		right := ranges[last]
		right.From = max(right.From, n.To+1)
		next = append(next, right)
		next = append(next, ranges[last+1:]...)
	}
	return joined(next)
}

// joined merges neighbours that differ in nothing but their keys. Ranges that are being given up stay apart, since each of
// them may go to another target.
func joined(ranges []Range) []Range {
	out := ranges[:0]
	for _, r := range ranges {
		if n := len(out); n > 0 {
			last := out[n-1]
			last.From, last.To = r.From, r.To
			if last == r && !r.Releasing && out[n-1].To != ^uint16(0) && out[n-1].To+1 == r.From {
				out[n-1].To = r.To
				continue
			}
		}
		out = append(out, r)
	}
	return out
}
