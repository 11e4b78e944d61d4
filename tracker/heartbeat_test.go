package tracker

import (
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/reporter"
)

// newTracker returns a tracker that dispatches to one target under a lease from start.
func newTracker(start time.Time) *Tracker {
	t := &Tracker{
		Host:       "h1",
		DataCentre: "a",
	}
	t.Update(start, TickMsg{
		State: &applier.State{},
		Config: &configurer.Config{
			Version: 1,
			Timing:  configurer.DefaultTiming(),
		},
	})
	t.Update(start, GrantedMsg{
		Asked: start,
		Grant: reporter.GrantMsg{
			Authority:      "h1",
			AuthorityIndex: 7,
			Lease:          600 * time.Millisecond,
			TableVersion:   1,
			Full:           true,
			Targets: []reporter.AssignedTarget{{
				Name:        "t1",
				Service:     "tally",
				Incarnation: 3,
				Host:        "h1",
			}},
		},
	})
	return t
}

func beat(t *Tracker, now time.Time, repeated bool) HeartbeatReply {
	effects := t.Update(now, HeartbeatMsg{
		Name:        "t1",
		Service:     "tally",
		DataCentre:  "a",
		Incarnation: 3,
		Addr:        netip.MustParseAddrPort("127.0.0.1:80"),
		State:       "warm",
		Repeated:    repeated,
	})
	return effects[0].(HeartbeatReply)
}

// A target that stays with a host without a dispatch lease is taken for lost by the others, and its slots move. In the
// process test of an isolated control host 34 of 48 slots moved for that reason.
func TestHostWithoutLeaseSendsTargetsAway(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	tr := newTracker(start)
	reply := beat(tr, start.Add(100*time.Millisecond), false)
	c.Assert(reply.NoAuthority, qt.IsFalse)
	c.Assert(reply.Lease, qt.Equals, 500*time.Millisecond)
	reply = beat(tr, start.Add(700*time.Millisecond), false)
	c.Assert(reply.NoAuthority, qt.IsTrue)
	c.Assert(reply.Lease, qt.Equals, time.Duration(0))
}

// An answer that was held back must not count as a further sign of life of its target.
func TestRepeatedHeartbeatIsNoSignOfLife(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	tr := newTracker(start)
	beat(tr, start, false)
	c.Assert(tr.TakeUrgent(), qt.IsTrue)
	beat(tr, start.Add(140*time.Millisecond), true)
	report := tr.Report(start.Add(150 * time.Millisecond))
	c.Assert(report.Targets, qt.HasLen, 1)
	c.Assert(report.Targets[0].HeardAgo, qt.Equals, 150*time.Millisecond)
}
