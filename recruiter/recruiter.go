// Package recruiter decides, on the control leader, which members the control group has: hosts that lost their disk or
// are gone for good leave it, and learners take their place, one change at a time.
package recruiter

import (
	"time"

	"bramleyline.example/bramleyline/replicator"
)

const (
	// absence is how long a voter may be silent before a standing learner takes its place. A restart takes about a second
	// and most cuts a few seconds.
	absence = 4 * time.Second
	// presence is the longest silence of a member that counts as there.
	presence = time.Second
	// forgetAfter is how long a learner may be silent before it is removed. It asks to join again when it returns.
	forgetAfter = 20 * time.Second
)

// Change is one change of the member list. Exactly one of the names is set.
type Change struct {
	Promote string
	Remove  string
}

// Recruiter decides for a group. The zero value wants one voter.
type Recruiter struct {
	// Voters is the number of voters that the group should have, the leader among them.
	Voters int
}

// Decide returns the next change that the leader should make, false if there is none. peers are the other members.
func (r Recruiter) Decide(peers []replicator.Peer) (Change, bool) {
	voters, present := 1, 1
	var candidate string
	for _, p := range peers {
		switch {
		case !p.Learner:
			voters++
			if p.Silence < presence {
				present++
			}
		case p.CaughtUp && p.Silence < presence && candidate == "":
			candidate = p.Name
		}
	}
	if name, ok := replaced(peers); ok && safeWithout(voters, present) {
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
		case p.Learner && p.Silence > forgetAfter:
			return Change{
				Remove: p.Name,
			}, true
		case !p.Learner && p.Silence > absence && candidate != "" && safeWithout(voters, present):
			return Change{
				Remove: p.Name,
			}, true
		}
	}
	return Change{}, false
}

// replaced returns a voter at whose address another member has started: its own process and disk are gone.
func replaced(peers []replicator.Peer) (string, bool) {
	for _, p := range peers {
		if p.Learner || p.Silence < presence {
			continue
		}
		for _, q := range peers {
			if q.Name != p.Name && q.Addr == p.Addr && q.CaughtUp && q.Silence < presence {
				return p.Name, true
			}
		}
	}
	return "", false
}

// safeWithout reports whether the present voters are a majority both before and after a silent voter is removed.
func safeWithout(voters, present int) bool {
	return present > voters/2 && present > (voters-1)/2
}
