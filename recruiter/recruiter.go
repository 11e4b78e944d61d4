// Package recruiter is the membership policy of the control group. It decides on the control leader which members to
// remove, because they lost their disk or are unavailable for good, and which learners to promote in their place, one
// change at a time.
package recruiter

import (
	"time"

	"bramleyline.example/bramleyline/replicator"
)

const (
	// replaceAfter is how long a voter may be unresponsive before it is removed and a learner that stands ready takes its
	// place. A restart takes about a second, and most network partitions last a few seconds.
	replaceAfter = 4 * time.Second
	// responsiveWithin is the longest time since the last answer of a member that still counts as responsive.
	responsiveWithin = time.Second
	// removeLearnerAfter is how long a learner may be unresponsive before it is removed. It asks to join again when it
	// returns.
	removeLearnerAfter = 20 * time.Second
)

// Change is one change of the member list. Exactly one of the names is set.
type Change struct {
	// Promote is the learner that becomes a voter.
	Promote string
	// Remove is the voter or learner that is removed.
	Remove string
}

// Recruiter is the membership policy of a group. The zero value is for a group of one voter.
type Recruiter struct {
	// Voters is the number of voters that the group should have, the leader among them.
	Voters int
}

// Decide returns the next change that the leader should make, false if there is none. peers are the other members.
func (r Recruiter) Decide(peers []replicator.Peer) (Change, bool) {
	voters, responsive := 1, 1
	var candidate string
	for _, p := range peers {
		switch {
		case !p.Learner:
			voters++
			if p.SinceAnswered < responsiveWithin {
				responsive++
			}
		case p.CaughtUp && p.SinceAnswered < responsiveWithin && candidate == "":
			candidate = p.Name
		}
	}
	if name, ok := replacedVoter(peers); ok && safeToRemove(voters, responsive) {
		return Change{
			Remove: name,
		}, true
	}
	if voters < r.Voters && candidate != "" {
		return Change{
			Promote: candidate,
		}, true
	}
	for _, p := range peers {
		switch {
		case p.Learner && p.SinceAnswered > removeLearnerAfter:
			return Change{
				Remove: p.Name,
			}, true
		case !p.Learner && p.SinceAnswered > replaceAfter && candidate != "" && safeToRemove(voters, responsive):
			return Change{
				Remove: p.Name,
			}, true
		}
	}
	return Change{}, false
}

// replacedVoter returns an unresponsive voter whose address now belongs to another member that has caught up: the
// process and the disk of the voter are gone.
func replacedVoter(peers []replicator.Peer) (string, bool) {
	for _, p := range peers {
		if p.Learner || p.SinceAnswered < responsiveWithin {
			continue
		}
		for _, q := range peers {
			if q.Name != p.Name && q.Addr == p.Addr && q.CaughtUp && q.SinceAnswered < responsiveWithin {
				return p.Name, true
			}
		}
	}
	return "", false
}

// safeToRemove reports whether the responsive voters are a majority both before and after an unresponsive voter is
// removed.
func safeToRemove(voters, responsive int) bool {
	return responsive > voters/2 && responsive > (voters-1)/2
}
