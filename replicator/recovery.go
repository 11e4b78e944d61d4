package replicator

import (
	"time"

	"bramleyline.example/bramleyline/journaler"
)

// isolationTimeouts is the number of election timeouts for which a member that lost its disk ignores all messages. A
// candidate that may have received its vote before gives up within two, and a leader that counted it needs a majority
// without it.
const isolationTimeouts = 3

// recovery protects the group from a member that starts with an empty disk. Before the disk was lost, the member may
// have acknowledged entries and cast votes that a majority depends on. Such a member grants no vote and is not counted
// until it has everything that a leader, with a majority of the others, has committed.
//
// An initial voter with an empty disk may also belong to a group that starts for the first time. It takes part at once
// if every other initial voter reports that its log is empty too.
type recovery struct {
	// bootstrapping is set while an initial voter with an empty disk has not determined whether the group starts for the
	// first time; emptyMembers are the other initial voters that reported an empty log.
	bootstrapping bool
	emptyMembers  map[string]bool
	nextProbe     time.Time
	// recovering is set while the member recovers from the loss of its disk.
	recovering bool
	// processID distinguishes this process from earlier ones of the same name, so that a permission to take part again
	// that was given to an earlier process is not taken for a new one.
	processID uint64
}

func (r *Replicator) initRecovery(rec journaler.Recovered, unique bool) {
	r.recovery.processID = r.rng.Uint64() | 1
	r.recovery.recovering = rec.HardState.Recovering
	if rec.HardState != (journaler.HardState{}) || rec.Snapshot != nil || len(rec.Entries) > 0 {
		return
	}
	switch {
	case !r.members.isVoter(r.name) && unique:
		// It has acknowledged nothing, and votes only after it was promoted.
	case !r.members.isVoter(r.name):
		r.recovery.recovering = true
	case len(r.members.current()) > 1:
		r.recovery.bootstrapping = true
		r.recovery.emptyMembers = make(map[string]bool)
	}
}

// finished reports whether the member neither recovers nor waits for the other initial voters, and so may vote.
func (c *recovery) finished() bool {
	return !c.bootstrapping && !c.recovering
}

// id returns the value of AppendAnswerMsg.Recovery.
func (c *recovery) id() uint64 {
	if c.finished() {
		return 0
	}
	return c.processID
}

// Recovering reports whether this member lost its disk and does not vote yet, or waits for the other initial voters.
func (r *Replicator) Recovering() bool {
	return !r.recovery.finished()
}

// admit finds out from m whether the group runs already, and reports whether the member may process m.
func (r *Replicator) admit(now time.Time, m Message) bool {
	if r.recovery.bootstrapping {
		if !m.Empty {
			r.recovery.bootstrapping, r.recovery.recovering = false, true
		} else if m.VoteAnswer != nil && m.VoteAnswer.Process == r.recovery.processID {
			// Any other message may be a delayed one from before the disk was lost.
			r.recovery.emptyMembers[m.From] = true
			r.finishBootstrap()
		}
	}
	return !r.recovery.recovering || now.Sub(r.started) >= isolationTimeouts*r.electionTimeout
}

// finishBootstrap ends the bootstrap if the logs of all initial voters are known to be empty.
func (r *Replicator) finishBootstrap() {
	for _, m := range r.members.current() {
		if m.Name != r.name && !r.recovery.emptyMembers[m.Name] {
			return
		}
	}
	r.recovery.bootstrapping = false
}

// probeMembers asks the other initial voters for an answer that reports whether their logs are empty. It uses a
// pre-vote, which does not change their state.
func (r *Replicator) probeMembers(now time.Time) {
	if now.Before(r.recovery.nextProbe) {
		return
	}
	r.recovery.nextProbe = now.Add(r.heartbeatInterval())
	for _, m := range r.members.current() {
		if m.Name != r.name {
			r.send(Message{
				To:   m.Name,
				Term: r.term + 1,
				Vote: &VoteMsg{
					Pre:     true,
					Process: r.recovery.processID,
				},
			})
		}
	}
}

// finishRecovery ends the recovery if the leader allows it in a and the log has reached a.RecoverTo.
func (r *Replicator) finishRecovery(a *AppendMsg, match uint64) {
	if r.recovery.recovering && a.Recovery == r.recovery.processID && a.RecoverTo != 0 && match >= a.RecoverTo {
		r.recovery.recovering = false
	}
}

// trackRecovery records in p whether a member recovers. It returns false if the answer must not be counted: the member
// may have given it before it lost its disk, or it is the first one that reports the recovery, which resets p.
func (r *Replicator) trackRecovery(now time.Time, p *progress, a *AppendAnswerMsg) bool {
	if a.Recovery == p.recovery {
		return true
	}
	if a.Recovery == 0 {
		if a.Round.Number <= p.recoveryRound {
			return false
		}
		p.recovery = 0
		return true
	}
	p.recovery, p.recoverySeenAt, p.recoveryRound = a.Recovery, now, r.lastRound
	p.match, p.next, p.outstandingRound = 0, 1, 0
	p.snapshotIndex, p.snapshotReceived = 0, 0
	return false
}

// recoverTo returns the index that the log of a recovering member has to reach before the member may take part again,
// zero while it may not. It is safe once a majority without that member has confirmed the leader after the leader
// learned of the recovery: every entry that the member helped to commit is then committed here.
func (r *Replicator) recoverTo(now time.Time, p *progress) uint64 {
	if p.recovery == 0 || r.commit < r.firstIndexOfTerm || r.majorityContact(now).Before(p.recoverySeenAt) {
		return 0
	}
	return r.commit
}
