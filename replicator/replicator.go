// Package replicator is the consensus core of the control group: Raft with pre-vote, check-quorum, learners and
// changes of one voter at a time.
//
// The core is synchronous. It takes the time and messages, and returns effects that its driver carries out.
package replicator

import (
	"hash/fnv"
	"math/rand/v2"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/journaler"
)

var (
	// ErrNotLeader reports a proposal to a member that does not lead.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending reports a member change before the one before it, or the first entry of the leader's term, was
	// committed.
	ErrChangePending = errors.New("an earlier change is not committed yet")
	// ErrNotCaughtUp reports the promotion of a learner that lacks committed entries.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrBadChange reports a member change that cannot be made.
	ErrBadChange = errors.New("impossible member change")
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replicator is one member of the control group. It is not safe for concurrent use. Make it with New.
type Replicator struct {
	name            string
	electionTimeout time.Duration
	rng             *rand.Rand
	started         time.Time

	role   role
	term   uint64
	vote   string
	leader string

	log      entryLog
	members  memberLog
	snapshot journaler.Snapshot
	commit   uint64
	// saved is the last entry that was handed out to be made durable, durable the last that is, and applied the last
	// that was handed out as committed.
	saved   uint64
	durable uint64
	applied uint64

	// heard is when the leader of the term was last heard, or when the process started: a restarted voter may have
	// acknowledged a leader just before, whose lease depends on this voter not electing another.
	heard            time.Time
	electionDeadline time.Time
	votes            map[string]bool
	// contact is when the leader last had contact with a majority, as far as this member knows.
	contact time.Time
	// current is the latest time up to which this member is known to have everything that was committed.
	current time.Time

	elected     time.Time
	firstIndex  uint64
	progress    map[string]*progress
	round       uint64
	heartbeatAt time.Time
	// noVoteUntil is the end of the own lease of a leader that stepped down.
	noVoteUntil time.Time
	incoming    *journaler.Snapshot

	recovery recovery

	savedHard journaler.HardState
	pending   Effects
}

// Options are the settings of a Replicator.
type Options struct {
	Name string
	// Members is the first member list. It is used as long as the log holds none.
	Members []journaler.Member
	// ElectionTimeout is the shortest time without a leader after which a voter starts an election.
	ElectionTimeout time.Duration
	Seed            uint64
	// Unique says that the name was never used with another disk, so a member that starts with an empty one has not
	// acknowledged anything before and needs no recovery.
	Unique bool
}

// New returns a member that continues from what its journal recovered.
func New(now time.Time, o Options, rec journaler.Recovered) (*Replicator, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.Name))
	r := Replicator{
		name:            o.Name,
		electionTimeout: o.ElectionTimeout,
		rng:             rand.New(rand.NewPCG(o.Seed, h.Sum64())),
		started:         now,
		heard:           now,
		term:            rec.HardState.Term,
		vote:            rec.HardState.Vote,
		savedHard:       rec.HardState,
	}
	r.members.set(0, o.Members)
	if s := rec.Snapshot; s != nil {
		r.snapshot = *s
		r.log.reset(s.Index, s.Term)
		r.members.reset(s.Index, s.Members)
		r.commit, r.applied = s.Index, s.Index
	}
	r.log.entries = rec.Entries
	r.saved, r.durable = r.log.last(), r.log.last()
	for _, e := range rec.Entries {
		if err := r.members.learn(e); err != nil {
			return nil, err
		}
	}
	if term := r.log.lastTerm(); term > r.term {
		return nil, errors.Wrapf(journaler.ErrCorrupt, "log has term %d, hard state %d", term, r.term)
	}
	r.startRecovery(rec, o.Unique)
	r.resetElection(now)
	return &r, nil
}

// Step takes one message. Messages may be lost, late, repeated and out of order.
func (r *Replicator) Step(now time.Time, m Message) {
	if m.To != r.name || m.From == r.name {
		return
	}
	if !r.takesPart(now, m) {
		return
	}
	if m.Vote != nil {
		r.takeVote(now, m)
		return
	}
	if m.Term > r.term && (m.VoteAnswer == nil || !m.VoteAnswer.Pre || !m.VoteAnswer.Granted) {
		r.follow(now, m.Term, "")
	}
	switch {
	case m.VoteAnswer != nil:
		r.takeVoteAnswer(now, m)
	case m.Append != nil:
		if r.hear(now, m, m.Append.Round) {
			r.takeAppend(now, m)
		}
	case m.Snapshot != nil:
		if r.hear(now, m, m.Snapshot.Round) {
			r.takeSnapshot(m)
		}
	case m.AppendAnswer != nil:
		if r.role == leader && m.Term == r.term {
			r.takeAppendAnswer(now, m)
		}
	}
}

// Tick lets time pass. It has to be called several times within the election timeout.
func (r *Replicator) Tick(now time.Time) {
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if r.recovery.fresh {
		r.probe(now)
		return
	}
	if !now.Before(r.electionDeadline) {
		r.campaign(now, true)
	}
}

// Propose appends commands to the log of the leader and returns the index of the first one and the term. The commands
// are committed only if entries with this term appear at these indexes among the committed ones.
func (r *Replicator) Propose(now time.Time, commands [][]byte) (first, term uint64, err error) {
	if r.role != leader {
		return 0, 0, ErrNotLeader
	}
	first = r.log.last() + 1
	for _, c := range commands {
		r.append(journaler.KindCommand, c)
	}
	r.sendAll(now)
	return first, r.term, nil
}

// hear takes note of the leader of the term, and reports false for a leader of an older term.
func (r *Replicator) hear(now time.Time, m Message, round Round) bool {
	if m.Term < r.term {
		r.send(Message{
			To: m.From,
			AppendAnswer: &AppendAnswerMsg{
				Round:    round,
				Rejected: true,
				Recovery: r.recovery.id(),
			},
		})
		return false
	}
	asserter.Check(r.role != leader, asserter.DurableAssignment, "%s and %s lead in term %d", m.From, r.name, m.Term)
	if r.role != follower || r.leader != m.From {
		r.follow(now, m.Term, m.From)
	}
	r.heard = now
	r.resetElection(now)
	return true
}

// follow makes the member a follower in term.
func (r *Replicator) follow(now time.Time, term uint64, of string) {
	if r.role == leader {
		r.noVoteUntil = r.leaseEnd(now)
		r.progress = nil
		r.resetElection(now)
	}
	if term > r.term {
		r.term, r.vote = term, ""
	}
	if r.leader != of {
		r.incoming = nil
	}
	r.role = follower
	r.leader = of
	r.votes = nil
}

func (r *Replicator) append(kind journaler.Kind, data []byte) {
	e := journaler.Entry{
		Index: r.log.last() + 1,
		Term:  r.term,
		Kind:  kind,
		Data:  data,
	}
	r.log.entries = append(r.log.entries, e)
}

func (r *Replicator) send(m Message) {
	m.From = r.name
	m.Empty = r.log.last() == 0
	if m.Term == 0 {
		m.Term = r.term
	}
	r.pending.Messages = append(r.pending.Messages, m)
}

func (r *Replicator) resetElection(now time.Time) {
	r.electionDeadline = now.Add(r.electionTimeout + time.Duration(r.rng.Int64N(int64(r.electionTimeout)+1)))
}
