package replicator_test

import (
	"flag"
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

func TestMain(m *testing.M) {
	asserter.SetFatal(true)
	flag.Parse()
	if flag.Lookup("rapid.seed").Value.String() == "0" {
		_ = flag.Set("rapid.seed", "1")
	}
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// injectFault makes one random change to the cluster, in half of the cases at the leader if there is one.
func injectFault(t *rapid.T, c *cluster) {
	names := c.names()
	m := c.members[rapid.SampledFrom(names).Draw(t, "member")]
	if l := c.leader(); l != nil && rapid.Bool().Draw(t, "leader") {
		m = l
	}
	switch rapid.IntRange(0, 16).Draw(t, "action") {
	case 0:
		m.fs.CrashAfter(rapid.IntRange(0, 12).Draw(t, "operations"))
	case 1:
		c.stop(m)
	case 2, 3:
		for _, name := range names {
			c.start(name)
		}
	case 4, 5:
		c.stop(m)
		c.start(m.name)
	case 6:
		m.pausedUntil = c.now + time.Duration(rapid.IntRange(10, 3000).Draw(t, "pause"))*time.Millisecond
	case 7:
		for _, name := range names {
			c.sides[name] = rapid.IntRange(0, 1).Draw(t, "side")
		}
	case 8, 9, 10:
		for _, from := range names {
			for _, to := range names {
				c.cutLinks[[2]string{from, to}] = rapid.IntRange(0, 2).Draw(t, "cut") == 0
			}
		}
	case 11:
		clear(c.sides)
		clear(c.cutLinks)
	case 12:
		if c.running(m) {
			c.takeSnapshot(m)
		}
	case 13:
		m.fs.FailSyncAfter(rapid.IntRange(0, 12).Draw(t, "operations"))
	case 14:
		c.wipe(m)
	default:
		changeMembers(t, c)
	}
}

func changeMembers(t *rapid.T, c *cluster) {
	// A leader without a lease, which cannot commit, may be chosen too.
	var l *member
	for _, name := range c.names() {
		if m := c.members[name]; c.running(m) && m.core.Leader() == name && (l == nil || rapid.Bool().Draw(t, "other")) {
			l = m
		}
	}
	if l == nil {
		return
	}
	now := c.clock(l)
	name := fmt.Sprintf("m%d", rapid.IntRange(0, 6).Draw(t, "name"))
	switch rapid.IntRange(0, 3).Draw(t, "change") {
	case 0:
		if _, ok := c.members[name]; !ok {
			c.add(name)
		}
		_, _ = l.core.AddLearner(now, journaler.Member{
			Name: name,
		})
	case 1:
		voters := 0
		for _, m := range l.core.Members() {
			if !m.Learner {
				voters++
			}
		}
		if voters > 3 {
			_, _ = l.core.Remove(now, name)
		}
	default:
		_, _ = l.core.Promote(now, name)
	}
	c.runEffects(l)
}

// Guards against two leaders in a term, two leases at a time and the loss of a committed entry, whichever messages are
// lost, delayed, duplicated or reordered, and whatever crashes at any sync, pauses, partitions and member changes
// happen. Once all faults have ended, all members must reach the same state.
func TestInvariantsUnderFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.Uint64().Draw(t, "seed"), rapid.SampledFrom([]int{1, 3, 5}).Draw(t, "voters"))
		c.lossPercent = rapid.SampledFrom([]int{0, 5, 30}).Draw(t, "loss")
		c.duplicatePercent = rapid.SampledFrom([]int{0, 20}).Draw(t, "repeat")
		c.delayPercent = rapid.SampledFrom([]int{0, 5, 20}).Draw(t, "late")
		c.inboundCutPercent = rapid.SampledFrom([]int{0, 50}).Draw(t, "hide")
		c.restartPercent = rapid.SampledFrom([]int{0, 50}).Draw(t, "forget")
		c.maxCommandBytes = rapid.SampledFrom([]int{0, 0, 0, 400 << 10}).Draw(t, "large")
		c.snapshotPadding = rapid.SampledFrom([]int{0, 0, 600 << 10}).Draw(t, "pad")
		c.run(time.Second)
		for range rapid.IntRange(5, 80).Draw(t, "faults") {
			injectFault(t, c)
			c.propose(rapid.IntRange(0, 5).Draw(t, "proposals"))
			c.run(time.Duration(rapid.IntRange(1, rapid.SampledFrom([]int{10, 400, 1500}).Draw(t, "run")).Draw(t, "ms")) * time.Millisecond)
			if c.failure != nil {
				t.Fatal(c.failure)
			}
		}
		c.heal()
		if c.failure != nil {
			t.Fatal(c.failure)
		}
	})
}

// newConvergedCluster returns a cluster that has a leader and whose members have all applied the same entries.
func newConvergedCluster(c *qt.C, seed uint64, voters int) *cluster {
	cl := newCluster(seed, voters)
	cl.heal()
	c.Assert(cl.failure, qt.IsNil)
	return cl
}

// Guards against a leader without a majority that still leads when the others can elect another.
func TestLeaderWithoutMajorityStepsDown(t *testing.T) {
	c := qt.New(t)
	cl := newConvergedCluster(c, 1, 5)
	old := cl.leader()
	cl.sides[old.name] = 1
	cl.run(2 * electionTimeout)
	_, ok := old.core.Leading(cl.clock(old))
	c.Assert(ok, qt.IsFalse)
	c.Assert(old.core.Leader(), qt.Equals, "")
	cl.run(2 * time.Second)
	c.Assert(cl.leader(), qt.IsNotNil)
	c.Assert(cl.failure, qt.IsNil)
}

// Guards against a voter that raises its term during a partition and unseats a working leader when it returns.
func TestReturningVoterDoesNotUnseatLeader(t *testing.T) {
	c := qt.New(t)
	cl := newConvergedCluster(c, 2, 3)
	l := cl.leader()
	term := l.core.Term()
	for _, name := range cl.names() {
		if name != l.name {
			cl.sides[name] = 1
			break
		}
	}
	cl.run(20 * time.Second)
	clear(cl.sides)
	cl.run(2 * time.Second)
	c.Assert(cl.leader(), qt.Equals, l)
	c.Assert(l.core.Term(), qt.Equals, term)
}

// Guards against a member that missed thousands of entries and cannot catch up because the leader has compacted them:
// it must receive a snapshot, in several parts.
func TestCatchUpThroughSnapshot(t *testing.T) {
	c := qt.New(t)
	cl := newConvergedCluster(c, 3, 3)
	cl.snapshotPadding = 600 << 10
	l := cl.leader()
	var late *member
	for _, name := range cl.names() {
		if name != l.name {
			late = cl.members[name]
			break
		}
	}
	cl.stop(late)
	for range 10 {
		cl.propose(300)
		cl.run(100 * time.Millisecond)
	}
	for _, name := range cl.names() {
		if m := cl.members[name]; m != late {
			cl.takeSnapshot(m)
		}
	}
	cl.start(late.name)
	cl.run(2 * time.Second)
	c.Assert(cl.failure, qt.IsNil)
	c.Assert(late.index, qt.Equals, l.index)
	c.Assert(cl.sent["snapshot"] >= 3, qt.IsTrue)
}

// Guards against the loss of a committed entry when a second host is lost right after the first was replaced: the
// replacement counts as a voter only when it has caught up.
func TestSecondHostLossRightAfterReplacement(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(20) {
		cl := newConvergedCluster(c, seed, 3)
		cl.propose(50)
		cl.run(100 * time.Millisecond)
		l := cl.leader()
		var others []*member
		for _, name := range cl.names() {
			if name != l.name {
				others = append(others, cl.members[name])
			}
		}
		cl.stop(others[0])
		cl.add("m9")
		_, err := l.core.AddLearner(cl.clock(l), journaler.Member{
			Name: "m9",
		})
		c.Assert(err, qt.IsNil)
		_, err = l.core.Promote(cl.clock(l), "m9")
		c.Assert(errors.Is(err, replicator.ErrNotCaughtUp), qt.IsTrue, qt.Commentf("%v", err))
		_, err = l.core.Remove(cl.clock(l), others[0].name)
		c.Assert(errors.Is(err, replicator.ErrChangePending), qt.IsTrue, qt.Commentf("%v", err))
		cl.runEffects(l)
		// A host with an empty disk ignores all messages for three election timeouts.
		cl.run(2 * time.Second)
		_, err = l.core.Remove(cl.clock(l), others[0].name)
		c.Assert(err, qt.IsNil)
		cl.runEffects(l)
		cl.run(200 * time.Millisecond)
		_, err = l.core.Promote(cl.clock(l), "m9")
		c.Assert(err, qt.IsNil)
		cl.runEffects(l)
		cl.run(time.Duration(cl.rng.IntN(20)) * 5 * time.Millisecond)
		cl.stop(others[1])
		cl.run(4 * time.Second)
		cl.propose(1)
		cl.run(time.Second)
		c.Assert(cl.failure, qt.IsNil)
		c.Assert(cl.members["m9"].index, qt.Equals, uint64(len(cl.committed)))
	}
}
