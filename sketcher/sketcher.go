// Package sketcher is a heavy-hitter sketch: it finds the keys with the most requests in a stream, in fixed space.
package sketcher

import (
	"cmp"
	"container/heap"
	"slices"
	"sync"
)

// Sketcher counts keys by the space-saving algorithm: a key that has no counter takes over the smallest one. It
// overestimates a count by at most the total divided by the number of counters. Make it with New. It is safe for
// concurrent use, since the dispatchers of a host may share one.
type Sketcher struct {
	mu       sync.Mutex
	size     int
	counters map[string]*counter
	order    byCount
}

// HeavyHitter is a key with its estimated count. The true count lies between Count-Error and Count.
type HeavyHitter struct {
	Key   string
	Count float64
	Error float64
}

type counter struct {
	HeavyHitter

	// index is the position in the heap.
	index int
}

// New returns a Sketcher with a fixed number of counters.
func New(size int) *Sketcher {
	return &Sketcher{
		size:     max(1, size),
		counters: make(map[string]*counter, max(1, size)),
	}
}

// Add counts n requests of key.
func (s *Sketcher) Add(key string, n float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c, ok := s.counters[key]; ok {
		c.Count += n
		heap.Fix(&s.order, c.index)
		return
	}
	if len(s.order) < s.size {
		c := &counter{
			HeavyHitter: HeavyHitter{
				Key:   key,
				Count: n,
			},
		}
		s.counters[key] = c
		heap.Push(&s.order, c)
		return
	}
	c := s.order[0]
	delete(s.counters, c.Key)
	c.Key = key
	c.Error = c.Count
	c.Count += n
	s.counters[key] = c
	heap.Fix(&s.order, 0)
}

// Decay multiplies all counts by factor, so that a key that is no longer hot loses its counter within a few decays.
// Counters whose count fell below one half are freed.
func (s *Sketcher) Decay(factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.order[:0]
	for _, c := range s.order {
		c.Count *= factor
		c.Error *= factor
		if c.Count < 0.5 {
			delete(s.counters, c.Key)
			continue
		}
		kept = append(kept, c)
	}
	clear(s.order[len(kept):])
	s.order = kept
	for i, c := range s.order {
		c.index = i
	}
	heap.Init(&s.order)
}

// Top returns at most n keys whose guaranteed count, which is Count-Error, reaches minCount, the hottest first.
func (s *Sketcher) Top(n int, minCount float64) []HeavyHitter {
	s.mu.Lock()
	defer s.mu.Unlock()
	var top []HeavyHitter
	for _, c := range s.order {
		if c.Count-c.Error >= minCount {
			top = append(top, c.HeavyHitter)
		}
	}
	slices.SortFunc(top, func(a, b HeavyHitter) int {
		return cmp.Or(cmp.Compare(b.Count-b.Error, a.Count-a.Error), cmp.Compare(a.Key, b.Key))
	})
	return top[:min(n, len(top))]
}

// byCount is a min-heap of counters.
type byCount []*counter

func (b byCount) Len() int           { return len(b) }
func (b byCount) Less(i, j int) bool { return b[i].Count < b[j].Count }

func (b byCount) Swap(i, j int) {
	b[i], b[j] = b[j], b[i]
	b[i].index, b[j].index = i, j
}

func (b *byCount) Push(x any) {
	c, ok := x.(*counter)
	if !ok {
		return
	}
	c.index = len(*b)
	*b = append(*b, c)
}

func (b *byCount) Pop() any {
	last := len(*b) - 1
	c := (*b)[last]
	*b = (*b)[:last]
	return c
}
