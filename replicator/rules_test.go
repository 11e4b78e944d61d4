package replicator_test

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

// single is one member of three whose peers the test plays.
type single struct {
	c    *qt.C
	core *replicator.Replicator
	now  time.Time
}

func newSingle(c *qt.C, rec journaler.Recovered) *single {
	// A disk without a term would be an empty one.
	rec.HardState.Term = max(1, rec.HardState.Term)
	s := &single{
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

// effects returns everything that the core wants done, as if it was done.
func (s *single) effects() replicator.Effects {
	var all replicator.Effects
	for {
		e := s.core.Effects()
		if e.Empty() {
			return all
		}
		all.Messages = append(append(all.Messages, e.Early...), e.Messages...)
		all.Entries = append(all.Entries, e.Entries...)
		if e.HardState != nil {
			all.HardState = e.HardState
		}
		s.core.Saved(s.now, e)
	}
}

func (s *single) vote(from string, term uint64) bool {
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

// elect makes the member leader with the votes of b.
func (s *single) elect() replicator.Effects {
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

func (s *single) answer(from string, to replicator.Message, match uint64) {
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

// A voter that forgot its vote in a crash could vote twice in one term.
func TestVoteIsNotForgotten(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, journaler.Recovered{})
	s.now = s.now.Add(electionTimeout)
	// The term is known before, so that only the vote has to be saved.
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
	s = newSingle(c, journaler.Recovered{
		HardState: *e.HardState,
	})
	s.now = s.now.Add(electionTimeout)
	c.Assert(s.vote("c", 5), qt.IsFalse)
	c.Assert(s.vote("b", 5), qt.IsTrue)
}

// A voter that restarted may have acknowledged a leader just before; that leader's lease rests on it.
func TestRestartedVoterRefusesVotesForOneElectionTimeout(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, journaler.Recovered{})
	s.now = s.now.Add(electionTimeout - 1)
	c.Assert(s.vote("b", 5), qt.IsFalse)
	s.now = s.now.Add(1)
	c.Assert(s.vote("b", 5), qt.IsTrue)
}

// A former leader must not help to elect another while its own lease runs.
func TestFormerLeaderRefusesVotesUntilItsLeaseEnds(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, journaler.Recovered{})
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

// An entry of an earlier term that a majority has may still be replaced by another leader, so it must not count as
// committed before an entry of the leader's own term (figure 8 of the Raft paper).
func TestEntryOfEarlierTermIsNotCommittedByCounting(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, journaler.Recovered{
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

// Two leaders that change the members one after the other, without a commit in between, could each have a majority.
func TestMemberChangeNeedsACommitInTheTerm(t *testing.T) {
	c := qt.New(t)
	s := newSingle(c, journaler.Recovered{
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
