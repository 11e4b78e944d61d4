package coordinator

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
)

// Guards against a relay that forwards the report of each entry host by itself: when fifty hosts report to one control
// host, the leader must get one report with the requests of all of them and one mean slowness for each target.
func TestRelayAggregatesReportsOfManyHosts(t *testing.T) {
	c := qt.New(t)
	var r relay
	const hosts = 50
	for i := range hosts {
		c.Assert(r.add([]ServiceLoadMsg{{
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
	reports := r.take()
	c.Assert(reports, qt.HasLen, 1)
	c.Assert(reports[0].Keys, qt.HasLen, 2*hosts)
	c.Assert(reports[0].Work, qt.HasLen, 2*hosts)
	c.Assert(reports[0].Paces, qt.HasLen, 1)
	c.Assert(int(reports[0].Paces[0].Count), qt.Equals, 75)
	c.Assert(reports[0].Paces[0].Slowness > 1.6 && reports[0].Paces[0].Slowness < 1.7, qt.IsTrue)
	c.Assert(r.take(), qt.HasLen, 0)
}

// Guards against a report that grows without bound while the leader accepts none.
func TestRelayIsBounded(t *testing.T) {
	c := qt.New(t)
	var r relay
	dropped := 0
	for range 10 {
		dropped += r.add([]ServiceLoadMsg{{
			Service: "tally",
			Keys:    make([]uint16, maxRelayed/4),
			Work:    make([]uint16, maxRelayed/4),
		}})
	}
	c.Assert(dropped, qt.Equals, 6*(maxRelayed/4))
	c.Assert(r.take()[0].Keys, qt.HasLen, maxRelayed)
}

// Guards against a relay that passes on the older of two statements of a target, or makes it look newer than it is.
func TestRelayPassesOnTheLatestStatement(t *testing.T) {
	c := qt.New(t)
	var r relay
	now := time.Unix(1000, 0)
	statement := func(limit float64, age time.Duration) []issuer.StatedMsg {
		return []issuer.StatedMsg{{
			Target: registrar.Incarnation{
				ID: "i-1",
			},
			Stated: true,
			Limit:  limit,
			Age:    age,
		}}
	}
	r.addStated(now, statement(6, 100*time.Millisecond))
	r.addStated(now.Add(50*time.Millisecond), statement(5, 200*time.Millisecond))
	got := r.takeStated(now.Add(100 * time.Millisecond))
	c.Assert(got, qt.HasLen, 1)
	c.Assert(got[0].Limit, qt.Equals, 6.0)
	c.Assert(got[0].Age, qt.Equals, 200*time.Millisecond)
	c.Assert(r.takeStated(now), qt.HasLen, 0)
}
