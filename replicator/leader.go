package replicator

import (
	"math"
	"slices"
	"time"

	"bramleyline.example/bramleyline/asserter"
)

const (
	// heartbeatShare is the number of heartbeats within the election timeout: 50 ms at 400 ms.
	heartbeatShare = 8
	// batchEntries and batchBytes bound the entries of one message.
	batchEntries = 512
	batchBytes   = 256 << 10
	// snapshotPart is the size of the parts in which a snapshot is sent.
	snapshotPart = 256 << 10
)

// progress is what a leader knows of another member.
type progress struct {
	match uint64
	next  uint64
	// commit is the last entry that the member was told to be committed.
	commit uint64
	// acked is the latest sending time of a message that was answered, on the leader's clock; answered says that there
	// was one.
	acked    time.Duration
	answered bool
	// echo is the stamp of the member's last answer.
	echo Stamp
	// outstanding is the number of the message with entries, or a part of a snapshot, that waits for its answer.
	outstanding uint64
	sentAt      time.Time
	// snapshotIndex is set while a snapshot is sent, and received says how much of it arrived.
	snapshotIndex uint64
	received      uint64
	// recovery is not zero while the member recovers; recoveryAt is when the leader learned that, and recoveryRound the
	// last round before.
	recovery      uint64
	recoveryAt    time.Time
	recoveryRound uint64
}

func (r *Replicator) heartbeat() time.Duration {
	return r.electionTimeout / heartbeatShare
}

func (r *Replicator) since(now time.Time) time.Duration {
	return now.Sub(r.started)
}

func (r *Replicator) tickLeader(now time.Time) {
	if now.Sub(r.elected) > r.electionTimeout && now.Sub(r.majorityContact(now)) > r.electionTimeout {
		// Without a majority nothing can be committed, and another leader may exist.
		r.follow(now, r.term, "")
		return
	}
	if now.Before(r.heartbeatAt) {
		return
	}
	r.heartbeatAt = now.Add(r.heartbeat())
	for name, p := range r.sortedProgress() {
		r.sendHeartbeat(now, name, p)
		r.sendEntries(now, name, p)
	}
}

// syncProgress adds and removes members after a change of the member list.
func (r *Replicator) syncProgress(now time.Time) {
	next := make(map[string]*progress)
	for _, m := range r.members.current() {
		if m.Name == r.name {
			continue
		}
		p, ok := r.progress[m.Name]
		if !ok {
			p = &progress{
				next:  r.log.last(),
				acked: r.since(now),
			}
		}
		next[m.Name] = p
	}
	r.progress = next
}

func (r *Replicator) sendAll(now time.Time) {
	for name, p := range r.sortedProgress() {
		r.sendEntries(now, name, p)
	}
}

// sendEntries sends the next entries, or the next part of a snapshot, unless an earlier message waits for its answer. A
// member that does not answer gets heartbeats only, until it answers one.
func (r *Replicator) sendEntries(now time.Time, name string, p *progress) {
	if p.outstanding != 0 && now.Sub(p.sentAt) < r.electionTimeout/2 {
		return
	}
	if r.since(now)-p.acked > r.electionTimeout {
		return
	}
	prevTerm, ok := r.log.term(p.next - 1)
	if !ok || p.snapshotIndex != 0 {
		r.sendSnapshot(now, name, p)
		return
	}
	entries := r.log.batch(p.next-1, batchEntries, batchBytes)
	if len(entries) == 0 {
		return
	}
	round := r.nextRound(now)
	p.outstanding, p.sentAt = round.Number, now
	p.commit = max(p.commit, min(r.commit, entries[len(entries)-1].Index))
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
			Echo:        p.echo,
			RecoverTo:   r.recoverTo(now, p),
			Recovery:    p.recovery,
		},
	})
}

// sendHeartbeat confirms the leader and the commit index. It refers to an entry that the member is known to have, so that
// it is never rejected.
func (r *Replicator) sendHeartbeat(now time.Time, name string, p *progress) {
	prev := p.match
	prevTerm, ok := r.log.term(prev)
	if !ok {
		prev, prevTerm = 0, 0
	}
	p.commit = max(p.commit, min(r.commit, prev))
	r.send(Message{
		To: name,
		Append: &AppendMsg{
			Round:       r.nextRound(now),
			PrevIndex:   prev,
			PrevTerm:    prevTerm,
			Commit:      min(r.commit, prev),
			Committed:   r.committed(),
			MajorityAge: r.majorityAge(now),
			Echo:        p.echo,
			RecoverTo:   r.recoverTo(now, p),
			Recovery:    p.recovery,
		},
	})
}

func (r *Replicator) sendSnapshot(now time.Time, name string, p *progress) {
	s := r.snapshot
	if p.snapshotIndex != s.Index {
		p.snapshotIndex, p.received = s.Index, 0
	}
	end := min(p.received+snapshotPart, uint64(len(s.Data)))
	round := r.nextRound(now)
	p.outstanding, p.sentAt = round.Number, now
	r.send(Message{
		To: name,
		Snapshot: &SnapshotMsg{
			Round:   round,
			Index:   s.Index,
			Term:    s.Term,
			Members: s.Members,
			Offset:  p.received,
			Data:    s.Data[p.received:end],
			Done:    end == uint64(len(s.Data)),
		},
	})
}

func (r *Replicator) nextRound(now time.Time) Round {
	r.round++
	return Round{
		Number: r.round,
		SentAt: r.since(now),
	}
}

func (r *Replicator) takeAppendAnswer(now time.Time, m Message) {
	a := m.AppendAnswer
	p, ok := r.progress[m.From]
	if !ok {
		return
	}
	p.echo = a.Stamp
	if !r.noteRecovery(now, p, a) {
		return
	}
	// Rounds are numbered by this process and term, so a late answer only tells about an earlier time.
	p.acked = max(p.acked, a.Round.SentAt)
	p.answered = true
	current := a.Round.Number == p.outstanding
	if current {
		p.outstanding = 0
	}
	switch {
	case a.Rejected && current:
		p.next = max(p.match, min(a.Hint, max(p.next, 2)-2)) + 1
	case a.Rejected:
	default:
		p.match = max(p.match, a.Match)
		p.next = max(p.next, p.match+1)
		if current && a.SnapshotIndex == p.snapshotIndex {
			p.received = min(a.Received, uint64(len(r.snapshot.Data)))
		}
		if p.snapshotIndex != 0 && p.match >= p.snapshotIndex {
			p.snapshotIndex, p.received = 0, 0
		}
	}
	r.advance(now)
	if r.role == leader {
		r.sendEntries(now, m.From, p)
		r.sendCommit(now, m.From, p)
	}
}

// sendCommit tells a member at once that more of its entries are committed, unless a message is on its way after whose
// answer it will be told.
func (r *Replicator) sendCommit(now time.Time, name string, p *progress) {
	if p.outstanding == 0 && p.commit < min(r.commit, p.match) {
		r.sendHeartbeat(now, name, p)
	}
}

// advance commits what a majority has saved, and tells it at once to members that have nothing else to receive.
func (r *Replicator) advance(now time.Time) {
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
		r.follow(now, r.term, "")
		return
	}
	for name, p := range r.sortedProgress() {
		r.sendCommit(now, name, p)
	}
}

// unknownCommit stands for a commit index that the leader does not know yet.
const unknownCommit = math.MaxUint64

// committed returns the commit index of the leader, unknownCommit if an earlier leader may have committed more.
func (r *Replicator) committed() uint64 {
	if r.commit < r.firstIndex {
		return unknownCommit
	}
	return r.commit
}

func (r *Replicator) commitTo(index uint64) {
	if asserter.Check(index <= r.log.last(), asserter.DurableAssignment, "commit %d beyond log end %d", index, r.log.last()) {
		r.commit = max(r.commit, index)
	}
}
