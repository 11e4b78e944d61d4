package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

// harness runs the core of one member, a, of three; the test sends the messages of the other two.
type harness struct {
	c    *qt.C
	core *replicator.Replicator
	now  time.Time
}

func newHarness(c *qt.C, rec journaler.Recovered) *harness {
	// With term zero, the disk would count as empty.
	rec.HardState.Term = max(1, rec.HardState.Term)
	s := &harness{
		c:   c,
		now: time.Unix(0, 0),
	}
	var err error
	s.core, err = replicator.New(s.now, replicator.Options{
		Name: "a",
		Members: []journaler.Member{{
			Name: "a",
		}, {
			Name: "b",
		}, {
			Name: "c",
		}},
		ElectionTimeout: electionTimeout,
	}, rec)
	c.Assert(err, qt.IsNil)
	return s
}

// effects collects all effects of the core, and reports each as carried out.
func (s *harness) effects() replicator.Effects {
	var all replicator.Effects
	for {
		e := s.core.Effects()
		if e.Empty() {
			return all
		}
		all.Messages = append(append(all.Messages, e.EarlyMessages...), e.Messages...)
		all.Entries = append(all.Entries, e.Entries...)
		if e.HardState != nil {
			all.HardState = e.HardState
		}
		s.core.Saved(s.now, e)
	}
}

// vote requests a vote of the member for candidate from, whose log is longer, and reports whether it was granted.
func (s *harness) vote(from string, term uint64) bool {
	s.core.Step(s.now, replicator.Message{
		From: from,
		To:   "a",
		Term: term,
		Vote: &replicator.VoteMsg{
			LastIndex: 100,
			LastTerm:  term - 1,
		},
	})
	for _, m := range s.effects().Messages {
		if m.VoteAnswer != nil {
			return m.VoteAnswer.Granted
		}
	}
	return false
}

// elect makes the member the leader with the votes of b.
func (s *harness) elect() replicator.Effects {
	s.now = s.now.Add(2 * electionTimeout)
	s.core.Tick(s.now)
	for range 2 {
		for _, m := range s.effects().Messages {
			s.core.Step(s.now, replicator.Message{
				From: m.To,
				To:   "a",
				Term: m.Term,
				VoteAnswer: &replicator.VoteAnswerMsg{
					Pre:     m.Vote.Pre,
					Granted: m.To == "b",
				},
			})
		}
	}
	s.c.Assert(s.core.Leader(), qt.Equals, "a")
	return s.effects()
}

// answer acknowledges the message to, as member from, up to index match.
func (s *harness) answer(from string, to replicator.Message, match uint64) {
	s.core.Step(s.now, replicator.Message{
		From: from,
		To:   "a",
		Term: to.Term,
		AppendAnswer: &replicator.AppendAnswerMsg{
			Round: to.Append.Round,
			Match: match,
		},
	})
}

// Guards against a voter that loses its vote in a crash and votes twice in one term.
func TestVoteSurvivesRestart(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	s.now = s.now.Add(electionTimeout)
	// The member receives the term first, so that only the vote remains to be saved.
	s.core.Step(s.now, replicator.Message{
		From:         "c",
		To:           "a",
		Term:         5,
		AppendAnswer: &replicator.AppendAnswerMsg{},
	})
	c.Assert(s.effects().HardState, qt.IsNotNil)
	s.core.Step(s.now, replicator.Message{
		From: "b",
		To:   "a",
		Term: 5,
		Vote: &replicator.VoteMsg{},
	})
	e := s.effects()
	c.Assert(*e.HardState, qt.Equals, journaler.HardState{
		Term: 5,
		Vote: "b",
	})
	s = newHarness(c, journaler.Recovered{
		HardState: *e.HardState,
	})
	s.now = s.now.Add(electionTimeout)
	c.Assert(s.vote("c", 5), qt.IsFalse)
	c.Assert(s.vote("b", 5), qt.IsTrue)
}

// Guards against a restarted voter that elects another leader while a lease is valid: it may have acknowledged a leader
// just before the restart, and that leader's lease relies on it.
func TestRestartedVoterRefusesVotesForOneElectionTimeout(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	s.now = s.now.Add(electionTimeout - 1)
	c.Assert(s.vote("b", 5), qt.IsFalse)
	s.now = s.now.Add(1)
	c.Assert(s.vote("b", 5), qt.IsTrue)
}

// Guards against a former leader that helps to elect another while its own lease is valid.
func TestFormerLeaderRefusesVotesUntilItsLeaseEnds(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{})
	e := s.elect()
	s.answer("b", e.Messages[0], 1)
	lead, ok := s.core.Leading(s.now)
	c.Assert(ok, qt.IsTrue)
	s.core.Step(s.now, replicator.Message{
		From:         "c",
		To:           "a",
		Term:         9,
		AppendAnswer: &replicator.AppendAnswerMsg{},
	})
	c.Assert(s.core.Leader(), qt.Equals, "")
	c.Assert(s.vote("c", 10), qt.IsFalse)
	s.now = lead.Until
	c.Assert(s.vote("c", 10), qt.IsTrue)
}

// Guards against committing an entry of an earlier term because a majority has it: another leader may still replace it,
// so it is committed only with an entry of the leader's own term (figure 8 of the Raft paper).
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{
		HardState: journaler.HardState{
			Term: 1,
		},
		Entries: []journaler.Entry{{
			Index: 1,
			Term:  1,
		}},
	})
	e := s.elect()
	s.answer("b", e.Messages[0], 1)
	_, ok := s.core.Leading(s.now)
	c.Assert(ok, qt.IsFalse)
	c.Assert(s.core.Effects().Committed, qt.HasLen, 0)
	s.answer("b", e.Messages[0], 2)
	c.Assert(s.core.Effects().Committed, qt.HasLen, 2)
}

// Guards against two leaders that change the members one after the other without a commit in between: each could then
// have a majority of its own list.
func TestMemberChangeNeedsCommitInTerm(t *testing.T) {
	c := qt.New(t)
	s := newHarness(c, journaler.Recovered{
		HardState: journaler.HardState{
			Term: 1,
		},
		Snapshot: &journaler.Snapshot{
			Index: 1,
			Term:  1,
			Members: []journaler.Member{{
				Name: "a",
			}, {
				Name: "b",
			}, {
				Name: "c",
			}},
		},
	})
	e := s.elect()
	_, err := s.core.Remove(s.now, "c")
	c.Assert(errors.Is(err, replicator.ErrChangePending), qt.IsTrue)
	s.answer("b", e.Messages[0], 2)
	_, err = s.core.Remove(s.now, "c")
	c.Assert(err, qt.IsNil)
	_, err = s.core.AddLearner(s.now, journaler.Member{
		Name: "d",
	})
	c.Assert(errors.Is(err, replicator.ErrChangePending), qt.IsTrue)
}
