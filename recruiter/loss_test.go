package recruiter

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

// fate is what has happened to a member.
type fate int

const (
	up fate = iota
	// away means that the member is unresponsive and comes back with its log.
	away
	// gone means that the machine was lost for good, wiped that it came back at its address with an empty disk.
	gone
	wiped
	// behind means that the member answers and never catches up.
	behind
)

// member is one member of a modelled group.
type member struct {
	replicator.Peer
	fate fate
}

// newMember returns a voter or a learner with a fate.
func newMember(number int, learner bool, f fate) member {
	m := member{
		Peer: replicator.Peer{
			Member: journaler.Member{
				Name:    fmt.Sprintf("m%d", number),
				Addr:    netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(number)}), 1),
				Learner: learner,
			},
			CaughtUp: f == up,
		},
		fate: f,
	}
	if f == away || f == gone || f == wiped {
		m.SinceAnswered = replaceAfter + time.Second
	}
	return m
}

// survivesLoss reports whether the voters that keep their logs are a majority for whichever further disks are lost.
func survivesLoss(members []member, losses int) bool {
	voters, kept := 0, 0
	for _, m := range members {
		if m.Learner {
			continue
		}
		voters++
		if m.fate != gone && m.fate != wiped {
			kept++
		}
	}
	return kept-losses > voters/2
}

// Guards against a moment between two changes of the member list at which one lost disk more ends the group although no
// more disks are lost than it has to bear. The first member leads.
func TestGroupSurvivesALossBetweenTwoChanges(t *testing.T) {
	for _, losses := range []int{1, 2} {
		target := 2*losses + 1
		for voters := target; voters <= target+1; voters++ {
			for _, fates := range [][]fate{
				{}, {away}, {gone}, {wiped}, {away, away}, {away, gone}, {gone, gone}, {wiped, wiped}, {wiped, away}, {gone, wiped},
			} {
				for _, learners := range [][]fate{{}, {up}, {up, up}, {behind}, {behind, up}, {away, up}} {
					if len(fates) > losses {
						continue
					}
					name := fmt.Sprintf("losses=%d/voters=%d/%v/%v", losses, voters, fates, learners)
					t.Run(name, func(t *testing.T) {
						playChanges(qt.New(t), target, losses, voters, fates, learners)
					})
				}
			}
		}
	}
}

func playChanges(c *qt.C, target, losses, voters int, fates, learners []fate) {
	var members []member
	for i := range voters {
		f := up
		if n := voters - 1 - i; n < len(fates) {
			f = fates[n]
		}
		members = append(members, newMember(i, false, f))
		if f == gone || f == wiped {
			// The lost disk is one of those that the group has to bear.
			losses--
		}
		if f == wiped {
			successor := newMember(i, true, up)
			successor.Name = fmt.Sprintf("new%d", i)
			members = append(members, successor)
		}
	}
	for i, f := range learners {
		members = append(members, newMember(voters+i, true, f))
	}
	policy := Recruiter{
		Voters: target,
	}
	c.Assert(survivesLoss(members, losses), qt.IsTrue)
	for step := 0; ; step++ {
		c.Assert(step < 20, qt.IsTrue, qt.Commentf("the changes do not end"))
		var peers []replicator.Peer
		for _, m := range members[1:] {
			peers = append(peers, m.Peer)
		}
		change, ok := policy.Decide(peers)
		if !ok {
			break
		}
		i := slices.IndexFunc(members, func(m member) bool { return m.Name == change.Promote+change.Remove })
		if change.Promote != "" {
			c.Assert(members[i].fate, qt.Equals, up)
			members[i].Learner = false
		} else {
			members = slices.Delete(members, i, i+1)
		}
		c.Assert(survivesLoss(members, losses), qt.IsTrue, qt.Commentf("after %+v", change))
	}
	ready, lost := 0, 0
	for _, m := range members {
		if m.Learner && m.fate == up {
			ready++
		}
		if !m.Learner && m.fate != up {
			lost++
		}
	}
	c.Assert(ready == 0 || lost == 0, qt.IsTrue, qt.Commentf("%d voters are not replaced by %d learners", lost, ready))
}
