package sketcher

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// TestSketcher guards against missed hot keys, counts outside their bounds, and a hot set that does not follow the
// stream.
func TestSketcher(t *testing.T) {
	c := qt.New(t)
	rnd := rand.New(rand.NewPCG(3, 4))
	s := New(256)
	zipf := rand.NewZipf(rnd, 1.2, 4, 1<<22)
	exact := map[string]float64{}
	for range 100000 {
		key := fmt.Sprint("a", zipf.Uint64())
		s.Add(key, 1)
		exact[key]++
	}
	top := s.Top(10, 1)
	c.Assert(top, qt.HasLen, 10)
	for _, h := range top {
		n := exact[h.Key]
		c.Assert(h.Count-h.Error <= n && n <= h.Count, qt.IsTrue, qt.Commentf("%s: %v of %v", h.Key, h, n))
	}
	for _, key := range []string{"a0", "a1", "a2"} {
		c.Assert(top[:5], qt.Any(qt.ContentEquals), HeavyHitter{Key: key, Count: exact[key], Error: 0})
	}
	for range 8 {
		s.Decay(0.5)
		for range 2000 {
			s.Add(fmt.Sprint("b", zipf.Uint64()), 1)
		}
	}
	c.Assert(s.Top(1, 1)[0].Key, qt.Equals, "b0")
	c.Assert(len(s.counters) <= 256, qt.IsTrue)
	for range 40 {
		s.Decay(0.5)
	}
	c.Assert(s.Top(10, 0), qt.HasLen, 0)
}

func BenchmarkAdd(b *testing.B) {
	rnd := rand.New(rand.NewPCG(3, 4))
	zipf := rand.NewZipf(rnd, 1.2, 4, 1<<22)
	keys := make([]string, 1<<16)
	for i := range keys {
		keys[i] = fmt.Sprint(zipf.Uint64())
	}
	s := New(256)
	b.ReportAllocs()
	for i := range b.N {
		s.Add(keys[i&(1<<16-1)], 1)
	}
}

// TestConcurrentUse guards against data races between dispatchers that share one sketch, which would end the host
// process.
func TestConcurrentUse(t *testing.T) {
	s := New(8)
	var wg sync.WaitGroup
	for i := range 4 {
		wg.Go(func() {
			for n := range 2000 {
				s.Add(fmt.Sprint(i, n%32), 1)
				s.Decay(0.99)
				s.Top(3, 0)
			}
		})
	}
	wg.Wait()
	qt.Assert(t, len(s.counters) <= 8, qt.IsTrue)
}
