package replicator

import (
	"time"

	"bramleyline.example/bramleyline/journaler"
)

// campaign requests the votes of all voters. A pre-vote comes first: it finds out whether an election could be won and
// does not raise the term, so that a voter that returns from a partition does not unseat a working leader.
func (r *Replicator) campaign(now time.Time, pre bool) {
	r.resetElection(now)
	if !r.members.isVoter(r.name) || !r.recovery.finished() {
		return
	}
	r.leader = ""
	term := r.term + 1
	if pre {
		r.role = preCandidate
	} else {
		r.role = candidate
		r.term, r.vote = term, r.name
	}
	r.votes = map[string]bool{r.name: true}
	if r.countVotes(now) {
		return
	}
	for _, m := range r.members.current() {
		if m.Learner || m.Name == r.name {
			continue
		}
		r.send(Message{
			To:   m.Name,
			Term: term,
			Vote: &VoteMsg{
				Pre:       pre,
				LastIndex: r.log.last(),
				LastTerm:  r.log.lastTerm(),
			},
		})
	}
}

// handleVote answers a vote request. A member that received a message from its leader within the election timeout
// rejects the request and keeps its term: the leader's lease relies on this. A leader or former leader does the same
// until its own lease ends, and a member that recovers always does.
func (r *Replicator) handleVote(now time.Time, m Message) {
	mustReject := now.Before(r.noVoteUntil) || now.Sub(r.lastLeaderMessage) < r.electionTimeout
	if r.role == leader {
		mustReject = now.Before(r.leaseEnd(now))
	}
	mustReject = mustReject || !r.recovery.finished()
	if !mustReject && !m.Vote.Pre && m.Term > r.term {
		r.becomeFollower(now, m.Term, "")
	}
	last, lastTerm := r.log.last(), r.log.lastTerm()
	upToDate := m.Vote.LastTerm > lastTerm || m.Vote.LastTerm == lastTerm && m.Vote.LastIndex >= last
	granted := upToDate && !mustReject
	if m.Vote.Pre {
		granted = granted && m.Term > r.term
	} else {
		granted = granted && m.Term == r.term && (r.vote == "" || r.vote == m.From)
	}
	answer := Message{
		To: m.From,
		VoteAnswer: &VoteAnswerMsg{
			Pre:     m.Vote.Pre,
			Granted: granted,
			Process: m.Vote.Process,
		},
	}
	if granted {
		answer.Term = m.Term
		if !m.Vote.Pre {
			r.vote = m.From
			r.resetElection(now)
		}
	}
	r.send(answer)
}

func (r *Replicator) handleVoteAnswer(now time.Time, m Message) {
	pre := m.VoteAnswer.Pre
	asked := r.role == preCandidate && pre && m.Term == r.term+1 || r.role == candidate && !pre && m.Term == r.term
	if !asked || !m.VoteAnswer.Granted {
		return
	}
	r.votes[m.From] = true
	r.countVotes(now)
}

// countVotes goes on from the pre-vote to the election, or from the election to leadership, if a majority has granted
// its votes. It reports whether one has.
func (r *Replicator) countVotes(now time.Time) bool {
	n := 0
	for name := range r.votes {
		if r.members.isVoter(name) {
			n++
		}
	}
	if n < r.members.majority() {
		return false
	}
	if r.role == preCandidate {
		r.campaign(now, false)
	} else {
		r.becomeLeader(now)
	}
	return true
}

// becomeLeader makes the member the leader and appends a first entry of its term, because only an entry of the leader's
// own term may be committed by counting the members that have it. As long as the log has no member list, this entry
// holds it.
func (r *Replicator) becomeLeader(now time.Time) {
	r.role = leader
	r.leader = r.name
	r.votes = nil
	r.electedAt = now
	r.firstIndexOfTerm = r.log.last() + 1
	r.progress = make(map[string]*progress)
	kind, data := journaler.KindEmpty, []byte(nil)
	if r.members.index() == 0 {
		if b, err := journaler.EncodeMembers(r.members.current()); err == nil {
			kind, data = journaler.KindMembers, b
		}
	}
	r.append(kind, data)
	if kind == journaler.KindMembers {
		r.members.add(r.log.last(), r.members.current())
	}
	r.syncProgress(now)
	r.broadcastEntries(now)
	r.nextHeartbeat = now.Add(r.heartbeatInterval())
}
