package replicator

import (
	"math"
	"slices"
	"time"

	"bramleyline.example/bramleyline/asserter"
)

const (
	// heartbeatsPerTimeout is the number of heartbeats within one election timeout: with a timeout of 400 ms, one is
	// sent every 50 ms.
	heartbeatsPerTimeout = 8
	// maxBatchEntries and maxBatchBytes bound the entries of one message.
	maxBatchEntries = 512
	maxBatchBytes   = 256 << 10
	// snapshotPartBytes is the size of the parts in which a snapshot is sent.
	snapshotPartBytes = 256 << 10
)

// progress is a leader's view of the replication to another member.
type progress struct {
	// match is the index up to which the member's log is known to equal the leader's, and next the index of the next
	// entry to send.
	match uint64
	next  uint64
	// sentCommit is the highest commit index that was sent to the member.
	sentCommit uint64
	// lastAckedSend is the latest sending time of a message that was answered, counted from the start of the leader's
	// process. Until answered is set, it is the time at which the leader began to track the member.
	lastAckedSend time.Duration
	answered      bool
	// lastStamp is the stamp of the member's last answer.
	lastStamp Stamp
	// outstandingRound is the number of the message with entries, or with a part of a snapshot, that awaits its answer,
	// zero if there is none.
	outstandingRound  uint64
	outstandingSentAt time.Time
	// snapshotIndex is the index of the snapshot that is being sent, zero if there is none, and snapshotReceived the
	// number of its bytes that have arrived.
	snapshotIndex    uint64
	snapshotReceived uint64
	// recovery is nonzero while the member recovers; recoverySeenAt is when the leader received the first answer that
	// reports it, and recoveryRound the last round sent before.
	recovery       uint64
	recoverySeenAt time.Time
	recoveryRound  uint64
}

func (r *Replicator) heartbeatInterval() time.Duration {
	return r.electionTimeout / heartbeatsPerTimeout
}

func (r *Replicator) sinceStart(now time.Time) time.Duration {
	return now.Sub(r.started)
}

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.electedAt) > r.electionTimeout && now.Sub(r.majorityContact(now)) > r.electionTimeout {
		// Without a majority nothing can be committed, and another leader may exist.
		r.becomeFollower(now, r.term, "")
		return
	}
	if now.Before(r.nextHeartbeat) {
		return
	}
	r.nextHeartbeat = now.Add(r.heartbeatInterval())
	for name, p := range r.sortedProgress() {
		r.sendHeartbeat(now, name, p)
		r.sendEntries(now, name, p)
	}
}

// syncProgress adds and removes tracked members after a change of the member list.
func (r *Replicator) syncProgress(now time.Time) {
	next := make(map[string]*progress)
	for _, m := range r.members.current() {
		if m.Name == r.name {
			continue
		}
		p, ok := r.progress[m.Name]
		if !ok {
			p = &progress{
				next:          r.log.last(),
				lastAckedSend: r.sinceStart(now),
			}
		}
		next[m.Name] = p
	}
	r.progress = next
}

func (r *Replicator) broadcastEntries(now time.Time) {
	for name, p := range r.sortedProgress() {
		r.sendEntries(now, name, p)
	}
}

// sendEntries sends the next entries, or the next part of a snapshot, unless an earlier message without an answer was
// sent less than half an election timeout ago. A member that does not answer gets only heartbeats until it answers one.
func (r *Replicator) sendEntries(now time.Time, name string, p *progress) {
	if p.outstandingRound != 0 && now.Sub(p.outstandingSentAt) < r.electionTimeout/2 {
		return
	}
	if r.sinceStart(now)-p.lastAckedSend > r.electionTimeout {
		return
	}
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok || p.snapshotIndex != 0 {
		r.sendSnapshot(now, name, p)
		return
	}
	entries := r.log.batch(p.next-1, maxBatchEntries, maxBatchBytes)
	if len(entries) == 0 {
		return
	}
	round := r.nextRound(now)
	p.outstandingRound, p.outstandingSentAt = round.Number, now
	p.sentCommit = max(p.sentCommit, min(r.commit, entries[len(entries)-1].Index))
	r.send(Message{
		To: name,
		Append: &AppendMsg{
			Round:       round,
			PrevIndex:   p.next - 1,
			PrevTerm:    prevTerm,
			Entries:     entries,
			Commit:      r.commit,
			Committed:   r.committed(),
			MajorityAge: r.majorityAge(now),
			Echo:        p.lastStamp,
			RecoverTo:   r.recoverTo(now, p),
			Recovery:    p.recovery,
		},
	})
}

// sendHeartbeat confirms the leader and the commit index. Its PrevIndex is an entry that the member is known to have,
// so the member never rejects it as a mismatch.
func (r *Replicator) sendHeartbeat(now time.Time, name string, p *progress) {
	prev := p.match
	prevTerm, ok := r.log.term(prev)
	if !ok {
		prev, prevTerm = 0, 0
	}
	p.sentCommit = max(p.sentCommit, min(r.commit, prev))
	r.send(Message{
		To: name,
		Append: &AppendMsg{
			Round:       r.nextRound(now),
			PrevIndex:   prev,
			PrevTerm:    prevTerm,
			Commit:      min(r.commit, prev),
			Committed:   r.committed(),
			MajorityAge: r.majorityAge(now),
			Echo:        p.lastStamp,
			RecoverTo:   r.recoverTo(now, p),
			Recovery:    p.recovery,
		},
	})
}

func (r *Replicator) sendSnapshot(now time.Time, name string, p *progress) {
	s := r.snapshot
	if p.snapshotIndex != s.Index {
		p.snapshotIndex, p.snapshotReceived = s.Index, 0
	}
	end := min(p.snapshotReceived+snapshotPartBytes, uint64(len(s.Data)))
	round := r.nextRound(now)
	p.outstandingRound, p.outstandingSentAt = round.Number, now
	r.send(Message{
		To: name,
		Snapshot: &SnapshotMsg{
			Round:   round,
			Index:   s.Index,
			Term:    s.Term,
			Members: s.Members,
			Offset:  p.snapshotReceived,
			Data:    s.Data[p.snapshotReceived:end],
			Done:    end == uint64(len(s.Data)),
		},
	})
}

func (r *Replicator) nextRound(now time.Time) Round {
	r.lastRound++
	return Round{
		Number: r.lastRound,
		SentAt: r.sinceStart(now),
	}
}

func (r *Replicator) handleAppendAnswer(now time.Time, m Message) {
	a := m.AppendAnswer
	p, ok := r.progress[m.From]
	if !ok {
		return
	}
	p.lastStamp = a.Stamp
	if !r.trackRecovery(now, p, a) {
		return
	}
	// The round was numbered by this process in this term, so a delayed answer only reports an earlier sending time.
	p.lastAckedSend = max(p.lastAckedSend, a.Round.SentAt)
	p.answered = true
	answersOutstanding := a.Round.Number == p.outstandingRound
	if answersOutstanding {
		p.outstandingRound = 0
	}
	switch {
	case a.Rejected && answersOutstanding:
		p.next = max(p.match, min(a.Hint, max(p.next, 2)-2)) + 1
	case a.Rejected:
	default:
		p.match = max(p.match, a.Match)
		p.next = max(p.next, p.match+1)
		if answersOutstanding && a.SnapshotIndex == p.snapshotIndex {
			p.snapshotReceived = min(a.Received, uint64(len(r.snapshot.Data)))
		}
		if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
			p.snapshotIndex, p.snapshotReceived = 0, 0
		}
	}
	r.advanceCommit(now)
	if r.role == leader {
		r.sendEntries(now, m.From, p)
		r.sendCommit(now, m.From, p)
	}
}

// sendCommit sends a member the commit index at once if more of its entries are committed. While a message is
// outstanding it does nothing, because the answer to that message calls it again.
func (r *Replicator) sendCommit(now time.Time, name string, p *progress) {
	if p.outstandingRound == 0 && p.sentCommit < min(r.commit, p.match) {
		r.sendHeartbeat(now, name, p)
	}
}

// advanceCommit commits the entries that a majority has saved, and sends the new commit index at once to members
// without an outstanding message.
func (r *Replicator) advanceCommit(now time.Time) {
	var matches []uint64
	for _, m := range r.members.current() {
		switch {
		case m.Learner:
		case m.Name != r.name && r.progress[m.Name].recovery != 0:
			matches = append(matches, 0)
		case m.Name == r.name:
			matches = append(matches, r.durable)
		default:
			matches = append(matches, r.progress[m.Name].match)
		}
	}
	slices.Sort(matches)
	index := matches[len(matches)-r.members.majority()]
	if term, ok := r.log.term(index); !ok || term != r.term || index <= r.commit {
		return
	}
	r.commitTo(index)
	if !r.members.isVoter(r.name) && r.members.index() <= r.commit {
		// The leader was removed; the others elect one of themselves.
		for name, p := range r.sortedProgress() {
			r.sendHeartbeat(now, name, p)
		}
		r.becomeFollower(now, r.term, "")
		return
	}
	for name, p := range r.sortedProgress() {
		r.sendCommit(now, name, p)
	}
}

// unknownCommit stands for a commit index that the leader has not determined yet.
const unknownCommit = math.MaxUint64

// committed returns the commit index of the leader, or unknownCommit if an earlier leader may have committed more.
func (r *Replicator) committed() uint64 {
	if r.commit < r.firstIndexOfTerm {
		return unknownCommit
	}
	return r.commit
}

func (r *Replicator) commitTo(index uint64) {
	if asserter.Check(index <= r.log.last(), asserter.DurableAssignment, "commit %d beyond log end %d", index, r.log.last()) {
		r.commit = max(r.commit, index)
	}
}
