package replicator

import (
	"iter"
	"maps"
	"slices"
	"time"

	"bramleyline.example/bramleyline/leaser"
)

// Lead says since when this member leads and until when its contact with a majority is recent. Before Until no other
// member can be elected.
type Lead struct {
	Since time.Time
	Until time.Time
}

// Leading returns the leadership of this member. It is false for a leader that has not committed an entry of its term,
// because its state may lack commands that an earlier leader acknowledged.
func (r *Replicator) Leading(now time.Time) (Lead, bool) {
	if r.role != leader || r.commit < r.firstIndex {
		return Lead{}, false
	}
	l := Lead{
		Since: r.elected,
		Until: r.leaseEnd(now),
	}
	return l, now.Before(l.Until)
}

// Leader returns the name of the leader of the term, empty if it is not known.
func (r *Replicator) Leader() string {
	return r.leader
}

// Term returns the newest term that this member knows.
func (r *Replicator) Term() uint64 {
	return r.term
}

// Contact returns when the leader is known to have had contact with a majority while this member had contact with it.
func (r *Replicator) Contact(now time.Time) time.Time {
	if r.role == leader {
		return r.majorityContact(now)
	}
	return r.contact
}

// Current returns the latest time up to which this member is known to have every entry that was committed. After a
// partition or a restart it stays behind Contact until the member has caught up.
func (r *Replicator) Current(now time.Time) time.Time {
	if r.role != leader {
		return r.current
	}
	if r.commit < r.firstIndex {
		return time.Time{}
	}
	return r.majorityContact(now)
}

// leaseLength is what is left of the election timeout when the drift margin of the lease is taken off: voters refuse
// another candidate for the whole election timeout after they heard the leader.
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

// majorityContact returns the latest time at which messages were sent that a majority answered since, the zero time
// if there is none in this term.
func (r *Replicator) majorityContact(now time.Time) time.Time {
	var times []time.Duration
	n := 0
	for _, m := range r.members.current() {
		if m.Learner {
			continue
		}
		if m.Name == r.name {
			times = append(times, r.since(now))
			n++
			continue
		}
		if p, ok := r.progress[m.Name]; ok && p.answered && p.recovery == 0 {
			times = append(times, p.acked)
			n++
		}
	}
	if n < r.members.majority() {
		return time.Time{}
	}
	slices.Sort(times)
	return r.started.Add(times[len(times)-r.members.majority()])
}

// noMajorityAge stands for no contact in this term.
const noMajorityAge = time.Hour

func (r *Replicator) majorityAge(now time.Time) time.Duration {
	at := r.majorityContact(now)
	if at.IsZero() {
		return noMajorityAge
	}
	return now.Sub(at)
}

// sortedProgress yields the other members by name, so that a run with a seed can be repeated.
func (r *Replicator) sortedProgress() iter.Seq2[string, *progress] {
	return func(yield func(string, *progress) bool) {
		for _, name := range slices.Sorted(maps.Keys(r.progress)) {
			if p := r.progress[name]; p != nil && !yield(name, p) {
				return
			}
		}
	}
}
