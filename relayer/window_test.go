package relayer

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against hosts without links that overload those that serve: their requests at others must shrink while these answer
// slowly, and grow again only as far as they are needed.
func TestWindowFollowsTheHostsThatServe(t *testing.T) {
	c := qt.New(t)
	var w window
	fill := func() (n int) {
		for w.enter() {
			n++
		}
		return n
	}
	c.Assert(fill(), qt.Equals, initialWindow)
	w.adapt(false)
	c.Assert(fill(), qt.Equals, windowStep)
	for range 20 {
		w.adapt(true)
	}
	c.Assert(w.size, qt.Equals, float64(minWindow))
	for w.inFlight > 0 {
		w.leave()
	}
	for range 200 {
		w.adapt(false)
	}
	c.Assert(fill(), qt.Equals, minWindow)
	for range 200 {
		w.adapt(false)
		fill()
	}
	c.Assert(w.inFlight, qt.Equals, maxWindow)
}
