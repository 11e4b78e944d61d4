// Package replicator is a Raft core, the consensus algorithm of the control group, with pre-vote, check-quorum, leader
// leases, learners and membership changes of one voter at a time. A committed entry is never lost or replaced, a term
// has one leader at most, and at most one member holds the leader's lease.
//
// The core is synchronous and does no I/O. Its driver passes in the time and the received messages, and carries out the
// effects that the core returns.
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
	// ErrNotLeader reports a proposal or member change at a member that is not the leader.
	ErrNotLeader = errors.New("not the leader")
	// ErrChangePending reports a member change that was requested before the previous one, or the first entry of the
	// leader's term, was committed.
	ErrChangePending = errors.New("an earlier change is not committed yet")
	// ErrNotCaughtUp reports the promotion of a learner that lacks committed entries, recovers from the loss of its
	// disk or has not answered recently.
	ErrNotCaughtUp = errors.New("learner has not caught up")
	// ErrBadChange reports an invalid member change, such as the removal of the last voter.
	ErrBadChange = errors.New("invalid member change")
)

type role uint8

const (
	follower role = iota
	preCandidate
	candidate
	leader
)

// Replicator is the Raft core of one member of the control group. It is not safe for concurrent use. Make it with New.
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
	// emitted is the index of the last entry that Effects returned to be made durable, durable that of the last entry
	// that is durable, and applied that of the last entry that Effects returned as committed.
	emitted uint64
	durable uint64
	applied uint64

	// lastLeaderMessage is the time of the last message from the leader of the term, at first the start of the process:
	// a restarted voter may have acknowledged a leader just before the restart, and the lease of that leader relies on
	// this voter not electing another.
	lastLeaderMessage time.Time
	electionDeadline  time.Time
	votes             map[string]bool
	// contactAt is the latest time at which the leader is known to have had contact with a majority.
	contactAt time.Time
	// currentAt is the latest time up to which this member is known to have every committed entry.
	currentAt time.Time

	electedAt time.Time
	// firstIndexOfTerm is the index of the leader's first entry in its own term.
	firstIndexOfTerm uint64
	progress         map[string]*progress
	lastRound        uint64
	nextHeartbeat    time.Time
	// noVoteUntil is the end of this member's own lease if it stepped down as leader; it grants no vote before.
	noVoteUntil time.Time
	// incoming is the snapshot whose parts are being received.
	incoming *journaler.Snapshot

	recovery recovery

	emittedHardState journaler.HardState
	pendingEffects   Effects
}

// Options configures a Replicator.
type Options struct {
	Name string
	// Members is the initial member list. It is used as long as the log contains none.
	Members []journaler.Member
	// ElectionTimeout is the shortest time without a message from a leader after which a voter starts an election.
	ElectionTimeout time.Duration
	Seed            uint64
	// Unique reports that the name was never used with another disk, so that a member that starts with an empty disk
	// has not acknowledged anything before and needs no recovery.
	Unique bool
}

// New returns a member that continues from the state that its journal recovered.
func New(now time.Time, o Options, rec journaler.Recovered) (*Replicator, error) {
	h := fnv.New64a()
	_, _ = h.Write([]byte(o.Name))
	r := Replicator{
		name:              o.Name,
		electionTimeout:   o.ElectionTimeout,
		rng:               rand.New(rand.NewPCG(o.Seed, h.Sum64())),
		started:           now,
		lastLeaderMessage: now,
		term:              rec.HardState.Term,
		vote:              rec.HardState.Vote,
		emittedHardState:  rec.HardState,
	}
	r.members.add(0, o.Members)
	if s := rec.Snapshot; s != nil {
		r.snapshot = *s
		r.log.reset(s.Index, s.Term)
		r.members.reset(s.Index, s.Members)
		r.commit, r.applied = s.Index, s.Index
	}
	r.log.entries = rec.Entries
	r.emitted, r.durable = r.log.last(), r.log.last()
	for _, e := range rec.Entries {
		if err := r.members.addEntry(e); err != nil {
			return nil, err
		}
	}
	if term := r.log.lastTerm(); term > r.term {
		return nil, errors.Wrapf(journaler.ErrCorrupt, "log ends in term %d, hard state has term %d", term, r.term)
	}
	r.initRecovery(rec, o.Unique)
	r.resetElection(now)
	return &r, nil
}

// Step processes one received message. Messages may be lost, delayed, duplicated and reordered.
func (r *Replicator) Step(now time.Time, m Message) {
	if m.To != r.name || m.From == r.name {
		return
	}
	if !r.admit(now, m) {
		return
	}
	if m.Vote != nil {
		r.handleVote(now, m)
		return
	}
	if m.Term > r.term && (m.VoteAnswer == nil || !m.VoteAnswer.Pre || !m.VoteAnswer.Granted) {
		r.becomeFollower(now, m.Term, "")
	}
	switch {
	case m.VoteAnswer != nil:
		r.handleVoteAnswer(now, m)
	case m.Append != nil:
		if r.acceptLeader(now, m, m.Append.Round) {
			r.handleAppend(now, m)
		}
	case m.Snapshot != nil:
		if r.acceptLeader(now, m, m.Snapshot.Round) {
			r.handleSnapshot(m)
		}
	case m.AppendAnswer != nil:
		if r.role == leader && m.Term == r.term {
			r.handleAppendAnswer(now, m)
		}
	}
}

// Tick processes the passing of time: it starts elections and, on the leader, sends heartbeats. It has to be called
// several times within the election timeout.
func (r *Replicator) Tick(now time.Time) {
	if r.role == leader {
		r.tickLeader(now)
		return
	}
	if r.recovery.bootstrapping {
		r.probeMembers(now)
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
	r.broadcastEntries(now)
	return first, r.term, nil
}

// acceptLeader records the sender of m as the leader of the term and restarts the election timeout. It rejects a
// message of an older term, and then returns false.
func (r *Replicator) acceptLeader(now time.Time, m Message, round Round) bool {
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
		r.becomeFollower(now, m.Term, m.From)
	}
	r.lastLeaderMessage = now
	r.resetElection(now)
	return true
}

// becomeFollower makes the member a follower in term. leaderName is empty if the leader of the term is unknown.
func (r *Replicator) becomeFollower(now time.Time, term uint64, leaderName string) {
	if r.role == leader {
		r.noVoteUntil = r.leaseEnd(now)
		r.progress = nil
		r.resetElection(now)
	}
	if term > r.term {
		r.term, r.vote = term, ""
	}
	if r.leader != leaderName {
		r.incoming = nil
	}
	r.role = follower
	r.leader = leaderName
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
	r.pendingEffects.Messages = append(r.pendingEffects.Messages, m)
}

func (r *Replicator) resetElection(now time.Time) {
	r.electionDeadline = now.Add(r.electionTimeout + time.Duration(r.rng.Int64N(int64(r.electionTimeout)+1)))
}
