package replicator

import (
	"time"

	"bramleyline.example/bramleyline/journaler"
)

// muteTimeouts is the number of election timeouts for which a member that lost its disk ignores all messages. A candidate
// for which it may have voted before gives up within two, and a leader that counted it has to do without it.
const muteTimeouts = 3

// recovery keeps a member that starts with an empty disk from harm. It may have acknowledged entries and cast votes before
// the disk was lost, which a majority may rest on. Such a member gives no vote and does not count until it has
// everything that a leader, with a majority of the others, has committed.
//
// A first voter with an empty disk may also belong to a group that starts for the first time. It takes part at once if
// every other first voter says that its log is empty too.
type recovery struct {
	fresh      bool
	empty      map[string]bool
	probeAt    time.Time
	recovering bool
	// process tells this process from earlier ones of the same name, so that an old permission is not taken for a new one.
	process uint64
}

func (r *Replicator) startRecovery(rec journaler.Recovered, unique bool) {
	r.recovery.process = r.rng.Uint64() | 1
	r.recovery.recovering = rec.HardState.Recovering
	if rec.HardState != (journaler.HardState{}) || rec.Snapshot != nil || len(rec.Entries) > 0 {
		return
	}
	switch {
	case !r.members.isVoter(r.name) && unique:
		// It votes only after it was promoted.
	case !r.members.isVoter(r.name):
		r.recovery.recovering = true
	case len(r.members.current()) > 1:
		r.recovery.fresh = true
		r.recovery.empty = make(map[string]bool)
	}
}

// done reports whether the member may vote.
func (c *recovery) done() bool {
	return !c.fresh && !c.recovering
}

// id returns the value of AppendAnswerMsg.Recovery.
func (c *recovery) id() uint64 {
	if c.done() {
		return 0
	}
	return c.process
}

// Recovering reports whether this member lost its disk and does not vote yet, or waits for the other first voters.
func (r *Replicator) Recovering() bool {
	return !r.recovery.done()
}

// takesPart learns from m whether the group runs already, and reports whether the member may take m.
func (r *Replicator) takesPart(now time.Time, m Message) bool {
	if r.recovery.fresh {
		if !m.Empty {
			r.recovery.fresh, r.recovery.recovering = false, true
		} else if m.VoteAnswer != nil && m.VoteAnswer.Process == r.recovery.process {
			// Any other message may be late, from before the disk was lost.
			r.recovery.empty[m.From] = true
			r.startGroup()
		}
	}
	return !r.recovery.recovering || now.Sub(r.started) >= muteTimeouts*r.electionTimeout
}

// startGroup ends the wait when the logs of all first voters are empty.
func (r *Replicator) startGroup() {
	for _, m := range r.members.current() {
		if m.Name != r.name && !r.recovery.empty[m.Name] {
			return
		}
	}
	r.recovery.fresh = false
}

// probe asks the other first voters for a message. A pre-vote does not change their state.
func (r *Replicator) probe(now time.Time) {
	if now.Before(r.recovery.probeAt) {
		return
	}
	r.recovery.probeAt = now.Add(r.heartbeat())
	for _, m := range r.members.current() {
		if m.Name != r.name {
			r.send(Message{
				To:   m.Name,
				Term: r.term + 1,
				Vote: &VoteMsg{
					Pre:     true,
					Process: r.recovery.process,
				},
			})
		}
	}
}

// finishRecovery ends the recovery when the leader allows it and the log reaches the index that it gave.
func (r *Replicator) finishRecovery(a *AppendMsg, match uint64) {
	if r.recovery.recovering && a.Recovery == r.recovery.process && a.RecoverTo != 0 && match >= a.RecoverTo {
		r.recovery.recovering = false
	}
}

// noteRecovery takes note whether a member recovers. It returns false for an answer that the member may have given before
// it lost its disk.
func (r *Replicator) noteRecovery(now time.Time, p *progress, a *AppendAnswerMsg) bool {
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
	p.recovery, p.recoveryAt, p.recoveryRound = a.Recovery, now, r.round
	p.match, p.next, p.outstanding = 0, 1, 0
	p.snapshotIndex, p.received = 0, 0
	return false
}

// recoverTo returns the index from which a recovering member may take part. It is safe once a majority without that member
// confirmed the leader after it knew: every entry that the member helped to commit is then committed here.
func (r *Replicator) recoverTo(now time.Time, p *progress) uint64 {
	if p.recovery == 0 || r.commit < r.firstIndex || r.majorityContact(now).Before(p.recoveryAt) {
		return 0
	}
	return r.commit
}
