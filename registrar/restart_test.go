package registrar

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

// restart returns the registry that a process restores from a snapshot of r.
func restart(c *qt.C, r Registry) Registry {
	b, err := cbor.Marshal(r.ToWire())
	c.Assert(err, qt.IsNil)
	var w Wire
	c.Assert(cbor.Unmarshal(b, &w), qt.IsNil)
	return w.Registry()
}

// randomChange draws a change of a few targets that share addresses, restart under their IDs and stop.
func randomChange(rng *rand.Rand) Change {
	id := string(rune('a' + rng.IntN(6)))
	t := Target{
		Incarnation: Incarnation{
			ID:   id,
			Born: time.UnixMilli(int64(1 + rng.IntN(4))).UTC(),
		},
		Service:  "tally",
		Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(rng.IntN(5))}), 80),
		Slots:    4,
		Seq:      uint64(rng.IntN(20)),
		Cold:     rng.IntN(4) == 0,
		Draining: rng.IntN(6) == 0,
	}
	from := uint16(rng.IntN(1 << 16))
	switch rng.IntN(8) {
	case 0:
		return Change{
			Drain: &DrainMsg{
				ID: id,
			},
		}
	case 1:
		return Change{
			Remove: &t.Incarnation,
		}
	case 2:
		return Change{
			Grant: &GrantMsg{
				Service: "tally",
				Grants: []Grant{{
					From:  from,
					To:    from | 0xff,
					Owner: t.Incarnation,
				}},
			},
		}
	case 3:
		return Change{
			Release: &ReleaseMsg{
				Service: "tally",
				Spans: []Span{{
					From: from,
					To:   from | 0xff,
				}},
				Releasing: rng.IntN(2) == 0,
			},
		}
	case 4:
		return Change{
			Rate: &RateMsg{
				Ratings: []Rating{{
					Incarnation: t.Incarnation,
					Slowness:    1.5,
				}},
			},
		}
	default:
		return Change{
			Announce: &t,
		}
	}
}

// Guards against a removed target, or a key that was released, which is in use again after a restart: a process that
// restores a snapshot of any log index and then applies the rest of the log has to have the same registry as the others,
// and has to ignore the same late announcements of ended incarnations.
func TestRestartAtAnyMomentForgetsNothing(t *testing.T) {
	c := qt.New(t)
	for seed := range uint64(40) {
		rng := rand.New(rand.NewPCG(seed, 7))
		var steady, restarted Registry
		for index := uint64(1); index < 120; index++ {
			change := randomChange(rng)
			steady = steady.Apply(index, change)
			restarted = restarted.Apply(index, change)
			if rng.IntN(5) == 0 {
				restarted = restart(c, restarted)
			}
			c.Assert(reflect.DeepEqual(restarted.ToWire(), steady.ToWire()), qt.IsTrue, qt.Commentf("seed %d, index %d", seed, index))
			late := randomChange(rng)
			if late.Announce != nil {
				c.Assert(restarted.Changes(*late.Announce), qt.Equals, steady.Changes(*late.Announce))
			}
			since := rng.Uint64N(index)
			ids := func(r Registry) (ids []string) {
				for t := range r.ChangedSince(since) {
					ids = append(ids, t.ID)
				}
				slices.Sort(ids)
				return ids
			}
			c.Assert(ids(restarted), qt.DeepEquals, ids(steady))
		}
	}
}
