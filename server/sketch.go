package server

import (
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/sketcher"
)

const (
	// sketchCounters is the number of counters in the sketch of one target, and so of the keys that it counts at once.
	sketchCounters = 128
	// maxHotKeys bounds the hot keys in one report, and minHotCount is the number of requests from which a key is hot.
	maxHotKeys  = 8
	minHotCount = 50
	// decayFactor multiplies all counts at each report. At one report every 150 ms it halves them in a minute, since
	// the set of hot keys changes within minutes.
	decayFactor = 0.9983
)

// sketch adapts a Sketcher to the interface of the dispatcher.
type sketch struct {
	*sketcher.Sketcher
}

func newSketch() dispatcher.Sketch {
	return sketch{
		Sketcher: sketcher.New(sketchCounters),
	}
}

// Add counts one request of key.
func (s sketch) Add(key string) {
	s.Sketcher.Add(key, 1)
}

// Top returns the hot keys with their counts, nil if there are none, and then decays the counts.
func (s sketch) Top() map[string]uint32 {
	hot := s.Sketcher.Top(maxHotKeys, minHotCount)
	s.Decay(decayFactor)
	if len(hot) == 0 {
		return nil
	}
	counts := make(map[string]uint32, len(hot))
	for _, h := range hot {
		counts[h.Key] = uint32(h.Count)
	}
	return counts
}
