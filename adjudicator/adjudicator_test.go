package adjudicator

import (
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reporter"
)

var start = time.Unix(1_000_000, 0)

// group is a control group: an Adjudicator on its leader, and the registry that its commits change.
type group struct {
	Adjudicator
	now time.Time
	reg registrar.Registry
}

func newGroup() *group {
	return &group{
		now: start,
	}
}

// step commits the changes that are due after d.
func (g *group) step(d time.Duration) {
	g.now = g.now.Add(d)
	if m := g.Changes(g.now, g.reg); m != nil {
		g.reg = g.reg.SetQuarantine(*m)
	}
}

func (g *group) lose(fingerprint uint64, target string) {
	g.Observe(g.now, []reporter.SuspectMsg{{
		Fingerprint: fingerprint,
		Lost:        target,
		Incarnation: 1,
	}}, nil)
}

// round returns the round of a request, -1 if it is not refused.
func (g *group) round(fingerprint uint64) int {
	q, ok := g.reg.Quarantine().Get(fingerprint)
	if !ok {
		return -1
	}
	return int(q.Round)
}

// Guards against a poison request that no host refuses because each counts only its own losses, or because hundreds of
// others are lost at the same time; and against one loss that counts as often as it is reported.
func TestLossesOfAllHostsAreCountedOnce(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for range 8 {
		g.lose(1, "t1")
	}
	g.step(0)
	c.Assert(g.round(1), qt.Equals, -1)
	for fp := range uint64(2000) {
		g.lose(10+fp, "t2")
	}
	g.lose(1, "t2")
	g.step(0)
	c.Assert(g.round(1), qt.Equals, 0)
	c.Assert(g.reg.Quarantine().Len(), qt.Equals, 1)
}

// Guards against an innocent request that stays refused: one that completed after its losses, and one that gets no chance
// to complete.
func TestInnocentRequestsAreReleased(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for _, target := range []string{"t1", "t2"} {
		g.lose(1, target)
		g.lose(2, target)
	}
	g.step(0)
	g.Observe(g.now, nil, []uint64{1})
	g.step(0)
	c.Assert(g.round(1), qt.Equals, -1)
	// Late reports of the same losses do not count again.
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.step(0)
	c.Assert(g.round(1), qt.Equals, -1)

	trials, last := 0, g.round(2)
	for range 60 {
		g.step(time.Minute)
		if r := g.round(2); r > last {
			trials++
			last = r
		}
	}
	c.Assert(trials, qt.Equals, maxRound)
	c.Assert(g.round(2), qt.Equals, -1)
}

// Guards against more trials of a poison request than users accept: the waits grow, whatever the trials cost.
func TestTrialsOfPoisonRequestsAreRare(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.step(0)
	last, began := 0, g.now
	for g.now.Sub(began) < 40*time.Minute {
		g.step(time.Second)
		if r := g.round(1); r > last {
			last = r
			g.lose(1, fmt.Sprint("trial", r))
		}
	}
	c.Assert(last, qt.Equals, maxRound)
	c.Assert(g.round(1), qt.Equals, maxRound)
}

// elect makes another host the leader, which has what was committed, through a snapshot.
func (g *group) elect() {
	g.reg = g.reg.ToWire().Registry()
	g.Reset()
}

// Guards against a verdict that ends with its leader, and against an innocent request that is refused for ever because each
// new leader begins to wait anew.
func TestWaitsGoOnUnderTheNextLeader(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.step(0)
	began := g.now
	for g.round(1) >= 0 && g.now.Sub(began) < 2*time.Hour {
		g.elect()
		g.step(time.Minute)
	}
	waits := wait(0) + wait(1) + wait(2)
	c.Assert(g.now.Sub(began) >= waits && g.now.Sub(began) <= waits+4*time.Minute, qt.IsTrue, qt.Commentf("%s", g.now.Sub(began)))
}

// Guards against an innocent request that is refused for as long as the clock of a former leader was ahead.
func TestClockOfAFormerLeaderDoesNotHoldARequest(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.now = start.Add(24 * time.Hour)
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.step(0)
	g.now = start
	g.step(0)
	g.step(firstWait)
	c.Assert(g.round(1), qt.Equals, 1)
}

// Guards against a leader of an earlier term that refuses a request which another leader has released since: it had not
// committed its own verdict when its term ended.
func TestFormerLeaderForgetsItsVerdicts(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.elect()
	g.step(time.Minute)
	c.Assert(g.round(1), qt.Equals, -1)
}

// Guards against an innocent request that is refused because two targets were lost under it hours apart.
func TestLossesFarApartAreCoincidences(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	g.lose(1, "t1")
	g.step(recordTime + time.Minute)
	g.lose(1, "t2")
	g.step(0)
	c.Assert(g.round(1), qt.Equals, -1)
	g.lose(1, "t3")
	g.step(0)
	c.Assert(g.round(1), qt.Equals, 0)
}

// Guards against a poison request that is never refused because many losses of it were voided before.
func TestVoidLossesLeaveRoomForOthers(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for i := range 2 * maxLosses {
		g.lose(1, fmt.Sprint("void", i))
		g.Observe(g.now, nil, []uint64{1})
	}
	g.lose(1, "t1")
	g.lose(1, "t2")
	g.step(0)
	c.Assert(g.round(1), qt.Equals, 0)
}

// Guards against state that grows with the requests that are lost.
func TestStateIsBounded(t *testing.T) {
	c := qt.New(t)
	g := newGroup()
	for fp := range uint64(2 * maxRecords) {
		for _, target := range []string{"t1", "t2", "t3"} {
			g.lose(fp, target)
		}
	}
	for range 20 {
		g.step(time.Second)
	}
	c.Assert(len(g.records) <= maxRecords, qt.IsTrue)
	c.Assert(g.reg.Quarantine().Len() <= maxQuarantined, qt.IsTrue, qt.Commentf("%d", g.reg.Quarantine().Len()))
	c.Assert(len(g.listed) <= maxQuarantined, qt.IsTrue)
}
