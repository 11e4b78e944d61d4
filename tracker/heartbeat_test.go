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

// newTracker returns a Tracker that dispatches to one target, under a dispatch lease of 600 ms from start.
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

func sendHeartbeat(t *Tracker, now time.Time, repeated bool) HeartbeatReply {
	effects := t.Update(now, HeartbeatMsg{
		Name:        "t1",
		Service:     "tally",
		DataCentre:  "a",
		Incarnation: 3,
		Addr:        netip.MustParseAddrPort("127.0.0.1:80"),
		State:       "warm",
		Reanswered:  repeated,
	})
	return effects[0].(HeartbeatReply)
}

// Guards against a target that goes on with a host without a dispatch lease: the authority considers it lost, and its
// slots move. In the process test of an isolated control host 34 of 48 slots moved for that reason.
func TestHostWithoutDispatchLeaseAnswersNoAuthority(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	tr := newTracker(start)
	reply := sendHeartbeat(tr, start.Add(100*time.Millisecond), false)
	c.Assert(reply.NoAuthority, qt.IsFalse)
	c.Assert(reply.Lease, qt.Equals, 500*time.Millisecond)
	reply = sendHeartbeat(tr, start.Add(700*time.Millisecond), false)
	c.Assert(reply.NoAuthority, qt.IsTrue)
	c.Assert(reply.Lease, qt.Equals, time.Duration(0))
}

// Guards against counting the second answer to a heartbeat, after its reply was held back, as further contact with the
// target: a target that has stopped would be considered lost too late.
func TestRepeatedAnswerIsNotCountedAsHeartbeat(t *testing.T) {
	c := qt.New(t)
	start := time.Now()
	tr := newTracker(start)
	sendHeartbeat(tr, start, false)
	c.Assert(tr.TakeUrgent(), qt.IsTrue)
	sendHeartbeat(tr, start.Add(140*time.Millisecond), true)
	report := tr.Report(start.Add(150 * time.Millisecond))
	c.Assert(report.Targets, qt.HasLen, 1)
	c.Assert(report.Targets[0].HeardAgo, qt.Equals, 150*time.Millisecond)
}
