package relayer

import (
	"sync"
	"time"
)

const (
	// initialWindow is the number of requests that a host has at others at first, minWindow and maxWindow bound it.
	initialWindow = 16
	minWindow     = 1
	maxWindow     = 256
	// windowStep is added to the window after a round in which hosts answered in time, and windowFactor is what is left of it
	// after one in which they did not.
	windowStep   = 4
	windowFactor = 0.7
	// congestedTime is the time of an answer about links from which on hosts count as overloaded: it needs no target, and takes
	// about 4 ms between data centres.
	congestedTime = 150 * time.Millisecond
)

// window bounds the requests that a host has at others by additive increase and multiplicative decrease, so that hosts with
// narrow links go on serving their own callers. The zero value has the initial size. It is safe for concurrent use.
type window struct {
	mu       sync.Mutex
	size     float64
	inFlight int
}

// enter takes a place, and reports whether there was one.
func (w *window) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.size == 0 {
		w.size = initialWindow
	}
	if w.inFlight >= int(w.size) {
		return false
	}
	w.inFlight++
	return true
}

// leave gives a place back.
func (w *window) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.inFlight--
}

// adapt changes the size after a round. congested says that most hosts did not answer in time.
func (w *window) adapt(congested bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.size == 0:
		w.size = initialWindow
	case congested:
		w.size = max(minWindow, w.size*windowFactor)
	case float64(w.inFlight) >= w.size/2:
		w.size = min(maxWindow, w.size+windowStep)
	}
}
