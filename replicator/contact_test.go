package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

// heartbeat passes an AppendMsg of leader b to member a, with echo as the stamp of a's last answer that b received, and
// returns the stamp of a's answer.
func (s *harness) heartbeat(echo replicator.Stamp, committed uint64, entries ...journaler.Entry) replicator.Stamp {
	s.core.Step(s.now, replicator.Message{
		From: "b",
		To:   "a",
		Term: 5,
		Append: &replicator.AppendMsg{
			Entries:   entries,
			Commit:    uint64(len(entries)),
			Committed: committed,
			Echo:      echo,
		},
	})
	for _, m := range s.effects().Messages {
		if m.AppendAnswer != nil {
			return m.AppendAnswer.Stamp
		}
	}
	s.c.Fatal("no answer to a heartbeat")
	return replicator.Stamp{}
}

// Guards against a member that was paused or cut off and takes messages that were delayed in the network for recent
// ones: its information is as old as its own stamp that they return, however late they arrive.
func TestDelayedMessagesDoNotRenewContact(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	start := s.now
	stamp := s.heartbeat(replicator.Stamp{}, 0)
	c.Assert(s.core.MajorityContact(s.now).IsZero(), qt.IsTrue)
	s.now = s.now.Add(50 * time.Millisecond)
	stamp = s.heartbeat(stamp, 0)
	c.Assert(s.core.MajorityContact(s.now), qt.Equals, start)
	s.now = s.now.Add(7 * time.Second)
	_ = s.heartbeat(stamp, 0)
	c.Assert(s.core.MajorityContact(s.now), qt.Equals, start.Add(50*time.Millisecond))
	c.Assert(s.core.CurrentAsOf(s.now), qt.Equals, start.Add(50*time.Millisecond))
}

// Guards against a member that has contact with the leader again, but counts its state as current before it has caught
// up.
func TestCurrentWaitsForCommittedEntries(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	start := s.now
	stamp := s.heartbeat(replicator.Stamp{}, 2)
	s.now = s.now.Add(50 * time.Millisecond)
	stamp = s.heartbeat(stamp, 2)
	c.Assert(s.core.MajorityContact(s.now), qt.Equals, start)
	c.Assert(s.core.CurrentAsOf(s.now).IsZero(), qt.IsTrue)
	entries := []journaler.Entry{
		{
			Index: 1,
			Term:  5,
		},
		{
			Index: 2,
			Term:  5,
		},
	}
	s.now = s.now.Add(50 * time.Millisecond)
	_ = s.heartbeat(stamp, 2, entries...)
	c.Assert(s.core.CurrentAsOf(s.now), qt.Equals, start.Add(50*time.Millisecond))
}

// Guards against the use of a stamp of an earlier process of the same member, whose clock started at another time.
func TestStampOfAnotherProcessIsIgnored(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	stamp := s.heartbeat(replicator.Stamp{}, 0)
	stamp.Process++
	stamp.At += time.Hour
	_ = s.heartbeat(stamp, 0)
	c.Assert(s.core.MajorityContact(s.now).IsZero(), qt.IsTrue)
}
