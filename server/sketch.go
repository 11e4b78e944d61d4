package server

import (
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/sketcher"
)

const (
	// sketchSize is the number of keys that the sketch of one target counts.
	sketchSize = 128
	// topKeys bounds the hot keys in one report, and leastCount the requests that make a key hot.
	topKeys    = 8
	leastCount = 50
	// decayFactor halves counts in a minute at one report every 150 ms, since hot sets change within minutes.
	decayFactor = 0.9983
)

// sketch adapts a Sketcher to the dispatcher.
type sketch struct {
	*sketcher.Sketcher
}

func newSketch() dispatcher.Sketch {
	return sketch{
		Sketcher: sketcher.New(sketchSize),
	}
}

// Add counts one request of key.
func (s sketch) Add(key string) {
	s.Sketcher.Add(key, 1)
}

// Top returns the hot keys with their counts, and lets the counts decay.
func (s sketch) Top() map[string]uint32 {
	hot := s.Sketcher.Top(topKeys, leastCount)
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
