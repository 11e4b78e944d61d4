package replicator

import (
	"iter"
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/leaser"
)

// Lead describes the leadership of this member: since when it leads, and until when its lease lasts, which each contact
// with a majority renews. Before Until no other member can be elected.
type Lead struct {
	Since time.Time
	Until time.Time
}

// Leading returns the leadership of this member, and whether its lease is valid. It is false for a leader that has not
// committed an entry of its term, because its state may lack commands that an earlier leader acknowledged.
func (r *Replicator) Leading(now time.Time) (Lead, bool) {
	if r.role != leader || r.commit < r.firstIndexOfTerm {
		return Lead{}, false
	}
	l := Lead{
		Since: r.electedAt,
		Until: r.leaseEnd(now),
	}
	return l, now.Before(l.Until)
}

// Presiding reports whether this member is the leader of its term, whether its lease is valid or not.
func (r *Replicator) Presiding() bool {
	return r.role == leader
}

// Leader returns the name of the leader of the term, or an empty string if it is unknown.
func (r *Replicator) Leader() string {
	return r.leader
}

// Term returns the newest term that this member has seen.
func (r *Replicator) Term() uint64 {
	return r.term
}

// MajorityContact returns the latest time at which this member is known to have had contact with the leader while the
// leader had contact with a majority.
func (r *Replicator) MajorityContact(now time.Time) time.Time {
	if r.role == leader {
		return r.majorityContact(now)
	}
	return r.contactAt
}

// CurrentAsOf returns the latest time up to which this member is known to have every committed entry. After a partition
// or a restart it is earlier than MajorityContact until the member has caught up.
func (r *Replicator) CurrentAsOf(now time.Time) time.Time {
	if r.role != leader {
		return r.currentAt
	}
	if r.commit < r.firstIndexOfTerm {
		return time.Time{}
	}
	return r.majorityContact(now)
}

// leaseLength returns the election timeout less the drift margin of the lease: voters reject other candidates for a
// whole election timeout after a message from the leader. The margin depends on the length, so the length is found by
// iteration.
func leaseLength(electionTimeout time.Duration) time.Duration {
	length := electionTimeout
	for range 4 {
		length = max(0, electionTimeout-leaser.DefaultMargin(length))
	}
	return length
}

func (r *Replicator) leaseEnd(now time.Time) time.Time {
	return r.majorityContact(now).Add(leaseLength(r.electionTimeout))
}

// majorityContact returns the latest time such that a majority has answered messages that were sent at or after it, or
// the zero time if there is none in this term.
func (r *Replicator) majorityContact(now time.Time) time.Time {
	var contacts []time.Duration
	n := 0
	for _, m := range r.members.current() {
		if m.Learner {
			continue
		}
		if m.Name == r.name {
			contacts = append(contacts, r.sinceStart(now))
			n++
			continue
		}
		if p, ok := r.progress[m.Name]; ok && p.answered && p.recovery == 0 {
			contacts = append(contacts, p.lastAckedSend)
			n++
		}
	}
	if n < r.members.majority() {
		return time.Time{}
	}
	slices.Sort(contacts)
	return r.started.Add(contacts[len(contacts)-r.members.majority()])
}

// noMajorityAge is the value of AppendMsg.MajorityAge if the leader had no contact with a majority in this term.
const noMajorityAge = time.Hour

func (r *Replicator) majorityAge(now time.Time) time.Duration {
	contact := r.majorityContact(now)
	if contact.IsZero() {
		return noMajorityAge
	}
	return now.Sub(contact)
}

// sortedProgress yields the other members in the order of their names, so that a run with a given seed is repeatable.
func (r *Replicator) sortedProgress() iter.Seq2[string, *progress] {
	return func(yield func(string, *progress) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.progress)) {
			if p := r.progress[name]; p != nil && !yield(name, p) {
				return
			}
		}
	}
}
