package coordinator

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Pattern: some fifty entry hosts report to one control host. The leader gets one report with the requests of all of
// them, and one pace for each target.
func TestRelayAddsUpTheReportsOfManyHosts(t *testing.T) {
	c := qt.New(t)
	var r relay
	const hosts = 50
	for i := range hosts {
		c.Assert(r.add([]WorkMsg{{
			Service: "tally",
			Keys:    []uint16{7, uint16(100 + i)},
			Work:    []uint16{430, 430},
			Paces: []SlownessMsg{{
				Target:   "i-1",
				Count:    uint16(1 + i%2),
				Slowness: float32(1 + i%2),
			}},
		}}), qt.Equals, 0)
	}
	work := r.take()
	c.Assert(work, qt.HasLen, 1)
	c.Assert(work[0].Keys, qt.HasLen, 2*hosts)
	c.Assert(work[0].Work, qt.HasLen, 2*hosts)
	c.Assert(work[0].Paces, qt.HasLen, 1)
	c.Assert(int(work[0].Paces[0].Count), qt.Equals, 75)
	c.Assert(work[0].Paces[0].Slowness > 1.6 && work[0].Paces[0].Slowness < 1.7, qt.IsTrue)
	c.Assert(r.take(), qt.HasLen, 0)
}

// Guards against a report that grows without bound while the leader takes none.
func TestRelayIsBounded(t *testing.T) {
	c := qt.New(t)
	var r relay
	dropped := 0
	for range 10 {
		dropped += r.add([]WorkMsg{{
			Service: "tally",
			Keys:    make([]uint16, maxRelayed/4),
			Work:    make([]uint16, maxRelayed/4),
		}})
	}
	c.Assert(dropped, qt.Equals, 6*(maxRelayed/4))
	c.Assert(r.take()[0].Keys, qt.HasLen, maxRelayed)
}
