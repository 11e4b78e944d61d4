package recruiter

import (
	"cmp"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
)

func peer(name string, learner bool, sinceAnswered time.Duration) replicator.Peer {
	return replicator.Peer{
		Member: journaler.Member{
			Name:    name,
			Addr:    netip.MustParseAddrPort("10.0.0." + name[1:2] + ":1"),
			Learner: learner,
		},
		SinceAnswered: sinceAnswered,
		CaughtUp:      sinceAnswered < time.Second,
	}
}

// Guards against a group that shrinks for ever, that removes a voter without which it has no majority, or that keeps a
// voter whose disk is gone.
func TestDecide(t *testing.T) {
	for _, test := range []struct {
		name string
		// voters is the number that the group should have, 3 if it is zero.
		voters int
		peers  []replicator.Peer
		want   Change
	}{
		{
			name:   "more voters than the losses need",
			voters: 1,
			peers:  []replicator.Peer{peer("b2", false, 0), peer("c3", false, 0), peer("d4", true, 0)},
		},
		{
			name:   "more voters than the losses need, and one is lost",
			voters: 1,
			peers:  []replicator.Peer{peer("b2", false, 5*time.Second), peer("c3", false, 0), peer("d4", true, 0)},
			want:   Change{Promote: "d4"},
		},
		{
			name:   "two voters",
			voters: 1,
			peers:  []replicator.Peer{peer("b2", false, 0)},
		},
		{
			name:  "complete group",
			peers: []replicator.Peer{peer("b2", false, 0), peer("c3", false, 0), peer("d4", true, 0)},
		},
		{
			name:  "voter is missing and a learner is ready",
			peers: []replicator.Peer{peer("b2", false, 0), peer("d4", true, 0)},
			want:  Change{Promote: "d4"},
		},
		{
			name:  "learner has not caught up",
			peers: []replicator.Peer{peer("b2", false, 0), peer("d4", true, 2*time.Second)},
		},
		{
			name:  "short absence",
			peers: []replicator.Peer{peer("b2", false, 2*time.Second), peer("c3", false, 0), peer("d4", true, 0)},
		},
		{
			name:  "long absence",
			peers: []replicator.Peer{peer("b2", false, 5*time.Second), peer("c3", false, 0), peer("d4", true, 0)},
			want:  Change{Promote: "d4"},
		},
		{
			name: "long absence after the learner has taken the place",
			peers: []replicator.Peer{
				peer("b2", false, 5*time.Second), peer("c3", false, 0), peer("d4", false, 0),
			},
			want: Change{Remove: "b2"},
		},
		{
			name:  "voter comes back after its place was taken",
			peers: []replicator.Peer{peer("b2", false, 20*time.Millisecond), peer("c3", false, 0), peer("d4", false, 0)},
			want:  Change{Remove: "b2"},
		},
		{
			name:  "long absence without a learner to take the place",
			peers: []replicator.Peer{peer("b2", false, 5*time.Second), peer("c3", false, 0)},
		},
		{
			name:  "voter whose address has another identity",
			peers: []replicator.Peer{peer("b2", false, 1500*time.Millisecond), peer("c3", false, 0), peer("x2", true, 0)},
			want:  Change{Promote: "x2"},
		},
		{
			name: "another identity has taken the place",
			peers: []replicator.Peer{
				peer("b2", false, 1500*time.Millisecond), peer("c3", false, 2*time.Second), peer("d4", false, 0), peer("e5", false, 0),
				peer("x2", false, 0),
			},
			want: Change{Remove: "b2"},
		},
		{
			name: "too few voters are responsive",
			peers: []replicator.Peer{
				peer("b2", false, 5*time.Second), peer("c3", false, 5*time.Second), peer("d4", true, 0),
			},
		},
		{
			name: "learner is unavailable for good",
			peers: []replicator.Peer{
				peer("b2", false, 0), peer("c3", false, 0), peer("d4", true, time.Minute),
			},
			want: Change{Remove: "d4"},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			c := qt.New(t)
			got, ok := Recruiter{
				Voters: cmp.Or(test.voters, 3),
			}.Decide(test.peers)
			c.Assert(ok, qt.Equals, test.want != Change{})
			c.Assert(got, qt.Equals, test.want)
		})
	}
}
