// Package recruiter is the membership policy of the control group. It decides on the control leader which members to
// remove, because they lost their disk or are unavailable for good, and which learners to promote in their place, one
// change at a time.
//
// A learner is promoted before the voter is removed whose place it takes, so that the group never has fewer voters than
// it should have. With 2n+1 voters or more, a majority of them keeps its log when n disks are lost, whatever the others
// do meanwhile: those that were only unresponsive come back with their logs.
package recruiter

import (
	"time"

	"bramleyline.example/bramleyline/replicator"
)

const (
	// replaceAfter is how long a voter may be unresponsive before a learner that stands ready takes its place. A restart
	// takes about a second. A host that is gone for good has to be replaced before its loss no longer counts, 4 s after
	// its successor has started: then the group must be able to lose another disk.
	replaceAfter = 2500 * time.Millisecond
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
	// slowest is the voter whose last answer is the longest ago.
	var candidate, slowest *replicator.Peer
	for i := range peers {
		p := &peers[i]
		switch {
		case !p.Learner:
			voters++
			if p.SinceAnswered < responsiveWithin {
				responsive++
			}
			if slowest == nil || p.SinceAnswered > slowest.SinceAnswered {
				slowest = p
			}
		case p.CaughtUp && p.SinceAnswered < responsiveWithin && candidate == nil:
			candidate = p
		}
	}
	replaced := replacedVoter(peers)
	switch {
	case voters > r.target(voters):
		removed := slowest
		if replaced != nil {
			removed = replaced
		}
		if safeToRemove(voters, responsive, removed) {
			return Change{
				Remove: removed.Name,
			}, true
		}
	case candidate == nil || !safeToPromote(voters, responsive):
	case voters < r.Voters || replaced != nil || slowest != nil && slowest.SinceAnswered > replaceAfter:
		return Change{
			Promote: candidate.Name,
		}, true
	}
	for _, p := range peers {
		if p.Learner && p.SinceAnswered > removeLearnerAfter {
			return Change{
				Remove: p.Name,
			}, true
		}
	}
	return Change{}, false
}

// target returns the number of voters to which a group shrinks. An odd number never shrinks, since each voter less is a lost disk
// less that the group survives; a fourth voter adds none.
func (r Recruiter) target(voters int) int {
	if voters <= 2 {
		return max(r.Voters, voters)
	}
	return max(r.Voters, (voters-1)|1)
}

// replacedVoter returns an unresponsive voter whose address now belongs to another member that has caught up, nil if
// there is none: the process and the disk of the voter are gone.
func replacedVoter(peers []replicator.Peer) *replicator.Peer {
	for i := range peers {
		p := &peers[i]
		if p.Learner || p.SinceAnswered < responsiveWithin {
			continue
		}
		for _, q := range peers {
			if q.Name != p.Name && q.Addr == p.Addr && q.CaughtUp && q.SinceAnswered < responsiveWithin {
				return p
			}
		}
	}
	return nil
}

// safeToPromote reports whether the responsive voters and a learner that becomes one are a majority of all voters then.
func safeToPromote(voters, responsive int) bool {
	return responsive+1 > (voters+1)/2
}

// safeToRemove reports whether the responsive voters are a majority both before and after a voter is removed.
func safeToRemove(voters, responsive int, removed *replicator.Peer) bool {
	remaining := responsive
	if removed.SinceAnswered < responsiveWithin {
		remaining--
	}
	return responsive > voters/2 && remaining > (voters-1)/2
}
