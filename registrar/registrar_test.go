package registrar

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/fxamacker/cbor/v2"
)

func target(id string, born int64, port uint16, seq uint64) Target {
	return Target{
		Incarnation: Incarnation{
			ID:   id,
			Born: time.UnixMilli(born).UTC(),
		},
		Service:    "tally",
		Addr:       netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port),
		DataCentre: "a",
		Slots:      4,
		Seq:        seq,
	}
}

// current returns the current incarnation of a target.
func current(r Registry, id string) Target {
	t, _ := r.Target(id)
	return t
}

// Guards against a late announcement of an ended incarnation that displaces the running one at its address.
func TestLateAnnouncementOfAnEndedIncarnationChangesNothing(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r = r.Announce(1, target("old", 100, 80, 5))
	r = r.Announce(2, target("new", 200, 80, 1))
	c.Assert(r.Targets().Len(), qt.Equals, 1)
	c.Assert(r.Changes(target("old", 100, 80, 6)), qt.IsFalse)
	r = r.Announce(3, target("old", 100, 80, 6))
	c.Assert(current(r, "new").Born, qt.Equals, time.UnixMilli(200).UTC())
	c.Assert(r.Targets().Len(), qt.Equals, 1)
}

// Guards against a target that restarts under its ID and inherits the sequence numbers and the drain of the incarnation
// before it.
func TestNextIncarnationUnderTheSameIDStartsAnew(t *testing.T) {
	c := qt.New(t)
	var r Registry
	old := target("a", 100, 80, 50)
	old.Draining = true
	r = r.Announce(1, old)
	r = r.Announce(2, target("a", 200, 80, 1))
	c.Assert(current(r, "a").Draining, qt.IsFalse)
	c.Assert(r.Alive(old.Incarnation), qt.IsFalse)
	r = r.Announce(3, target("a", 100, 80, 51))
	c.Assert(current(r, "a").Born, qt.Equals, time.UnixMilli(200).UTC())
}

// Guards against a later announcement that cancels a drain: a drain is final for its incarnation.
func TestDrainIsFinal(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r = r.Announce(1, target("a", 100, 80, 1))
	r = r.Drain(2, "a")
	cold := target("a", 100, 80, 9)
	cold.Cold = true
	r = r.Announce(3, cold)
	c.Assert(current(r, "a").Draining, qt.IsTrue)
}

// Guards against an older table that replaces a newer one, and against another text under the version in force.
func TestTableOnlyGoesForward(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r = r.PutTable(1, 7, []byte("seven"))
	r = r.PutTable(2, 5, []byte("five"))
	r = r.PutTable(3, 7, []byte("other"))
	c.Assert(string(r.Table.Body), qt.Equals, "seven")
	r = r.PutTable(4, 9, []byte("nine"))
	c.Assert(r.Table.Version, qt.Equals, uint64(9))
}

// keyFences holds the fence and the owner of each key after the changes so far.
type keyFences struct {
	fences [1 << 16]uint64
	owners [1 << 16]Incarnation
}

// check checks that the ranges of r cover all keys once, that no fence has fallen since the last call, and that each key
// with another owner has a higher one.
func (k *keyFences) check(c *qt.C, r Registry) {
	next := 0
	for _, rg := range r.RangeList("tally") {
		c.Assert(int(rg.From), qt.Equals, next)
		next = int(rg.To) + 1
		for key := int(rg.From); key <= int(rg.To); key++ {
			if rg.Fence < k.fences[key] || rg.Owner != k.owners[key] && rg.Fence == k.fences[key] {
				c.Fatalf("key %d of %s has fence %d after %d of %s", key, rg.Owner.ID, rg.Fence, k.fences[key], k.owners[key].ID)
			}
			k.fences[key], k.owners[key] = rg.Fence, rg.Owner
		}
	}
	c.Assert(next, qt.Equals, 1<<16)
}

// Guards against ranges that overlap or leave gaps and against fences that fall, after each of a number of random changes;
// and against a snapshot that differs from the state.
func TestRangesStayWholeAndFencesRise(t *testing.T) {
	c := qt.New(t)
	rng := rand.New(rand.NewPCG(1, 2))
	for range 20 {
		var r Registry
		var fences keyFences
		for id := range 3 {
			r = r.Announce(1, target(fmt.Sprint(id), 1, uint16(81+id), 1))
		}
		r = r.Grant(1, "tally", []Grant{{
			From:  0,
			To:    65535,
			Owner: target("a", 1, 80, 1).Incarnation,
		}})
		for index := uint64(2); index < 60; index++ {
			fences.check(c, r)
			from := uint16(rng.IntN(1 << 16))
			to := from + uint16(rng.IntN(int(65535-from)+1))
			if rng.IntN(10) == 0 {
				r = r.Refence(index, "tally")
				continue
			}
			if rng.IntN(3) == 0 {
				r = r.Release("tally", []Span{{
					From: from,
					To:   to,
				}}, rng.IntN(2) == 0)
				continue
			}
			r = r.Grant(index, "tally", []Grant{{
				From:  from,
				To:    to,
				Owner: target(fmt.Sprint(rng.IntN(5)), 1, 80, 1).Incarnation,
			}})
		}
		fences.check(c, r)
		b, err := cbor.Marshal(r.ToWire())
		c.Assert(err, qt.IsNil)
		var w Wire
		c.Assert(cbor.Unmarshal(b, &w), qt.IsNil)
		c.Assert(w.Registry().RangeList("tally"), qt.DeepEquals, r.RangeList("tally"))
	}
}

// Guards against two spans that are released for different targets and merged into one.
func TestSpansThatAreGivenUpStayApart(t *testing.T) {
	c := qt.New(t)
	var r Registry
	r = r.Grant(1, "tally", []Grant{{
		From:  0,
		To:    65535,
		Owner: target("a", 1, 80, 1).Incarnation,
	}})
	spans := []Span{
		{
			From: 100,
			To:   200,
		},
		{
			From: 201,
			To:   201,
		},
	}
	r = r.Release("tally", spans, true)
	for _, s := range spans {
		got, ok := Find(r.RangeList("tally"), s.From)
		c.Assert(ok, qt.IsTrue)
		c.Assert(got.From, qt.Equals, s.From)
		c.Assert(got.To, qt.Equals, s.To)
	}
	r = r.Release("tally", spans, false)
	c.Assert(r.RangeList("tally"), qt.HasLen, 1)
}

// Guards against an older target that announces another address and so removes the target that started there later. One that
// started earlier has ended.
func TestAnnouncedAddressOfALaterTargetIsNotTaken(t *testing.T) {
	c := qt.New(t)
	older, later := target("a", 1, 80, 1), target("b", 2, 81, 1)
	r := Registry{}.Announce(1, older).Announce(2, later)
	claimed := r.Announce(3, target("a", 1, 81, 2))
	c.Assert(claimed.Alive(later.Incarnation), qt.IsTrue)
	kept, _ := claimed.Target("a")
	c.Assert(kept.Addr, qt.Equals, older.Addr)
	moved := r.Announce(3, target("b", 2, 80, 2))
	c.Assert(moved.Alive(later.Incarnation), qt.IsTrue)
	c.Assert(moved.Alive(older.Incarnation), qt.IsFalse)
}

// Guards against a range that keeps its old fence under a new leader, and against a new fence for a range whose owner
// has ended.
func TestRefenceReachesAllRangesOfLivingOwners(t *testing.T) {
	c := qt.New(t)
	alive, ended := target("a", 1, 80, 1), target("b", 1, 81, 1)
	r := Registry{}.Announce(1, alive).Grant(2, "tally", []Grant{
		{
			From:     0,
			To:       9,
			Owner:    alive.Incarnation,
			Handover: "h",
		},
		{
			From:  10,
			To:    19,
			Owner: ended.Incarnation,
		},
		{
			From:  20,
			To:    65535,
			Owner: alive.Incarnation,
		},
	})
	r = r.Release("tally", []Span{{
		From: 30,
		To:   39,
	}}, true)
	r = r.Refence(7, "tally")
	c.Assert(r.RangeList("tally"), qt.DeepEquals, []Range{
		{
			From:  0,
			To:    9,
			Owner: alive.Incarnation,
			Fence: 7,
		},
		{
			From:  10,
			To:    19,
			Owner: ended.Incarnation,
			Fence: 2,
		},
		{
			From:  20,
			To:    65535,
			Owner: alive.Incarnation,
			Fence: 7,
		},
	})
}

// Guards against a change that loses a part when it is encoded for the log.
func TestChangesSurviveTheirEncoding(t *testing.T) {
	c := qt.New(t)
	tg := target("a", 100, 80, 3)
	inc := tg.Incarnation
	for _, change := range []Change{
		{
			PutTable: &PutTableMsg{
				Version: 3,
				Body:    []byte("x"),
			},
		},
		{
			Announce: &tg,
		},
		{
			Drain: &DrainMsg{
				ID: "a",
			},
		},
		{
			Remove: &inc,
		},
		{
			Grant: &GrantMsg{
				Service: "tally",
				Grants: []Grant{{
					From:     1,
					To:       2,
					Owner:    inc,
					Handover: "h",
				}},
			},
		},
		{
			Release: &ReleaseMsg{
				Service: "tally",
				Spans: []Span{{
					From: 1,
					To:   2,
				}},
				Releasing: true,
			},
		},
		{
			Refence: &RefenceMsg{
				Service: "tally",
			},
		},
		{
			Rate: &RateMsg{
				Ratings: []Rating{{
					Incarnation: inc,
					Slowness:    1.5,
				}},
			},
		},
		{
			Limit: &LimitMsg{
				Limits: []StatedLimit{
					{
						Incarnation: inc,
						Limit:       limitFromWire(new(int64)),
					},
					{
						Incarnation: inc,
					},
				},
			},
		},
	} {
		b, err := cbor.Marshal(change.ToWire())
		c.Assert(err, qt.IsNil)
		var w ChangeWire
		c.Assert(cbor.Unmarshal(b, &w), qt.IsNil)
		c.Assert(reflect.DeepEqual(w.Change(), change), qt.IsTrue, qt.Commentf("%+v", w.Change()))
	}
}

// Guards against a limit that outlives the incarnation which stated it, gets lost with an announcement or in a snapshot, or
// is given to the target that takes over the address.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	c := qt.New(t)
	limit := 6.3
	first := Target{
		Incarnation: Incarnation{
			ID:   "a",
			Born: time.UnixMilli(1).UTC(),
		},
		Service: "tally",
		Addr:    netip.MustParseAddrPort("10.0.0.1:80"),
	}
	stated := func(inc Incarnation) []StatedLimit {
		return []StatedLimit{{
			Incarnation: inc,
			Limit:       &limit,
		}}
	}
	limitOf := func(r Registry, id string) string {
		got, ok := r.Target(id)
		c.Assert(ok, qt.IsTrue)
		if got.Limit == nil {
			return "none"
		}
		return fmt.Sprint(*got.Limit)
	}
	var r Registry
	r = r.Announce(1, first).Limit(stated(first.Incarnation))
	c.Assert(limitOf(r, "a"), qt.Equals, "6.3")
	cold := first
	cold.Seq, cold.Cold = 1, true
	r = r.Announce(2, cold)
	c.Assert(limitOf(r, "a"), qt.Equals, "6.3")
	c.Assert(limitOf(r.ToWire().Registry(), "a"), qt.Equals, "6.3")

	next := first
	next.Born = time.UnixMilli(2).UTC()
	c.Assert(limitOf(r.Announce(3, next), "a"), qt.Equals, "none")
	c.Assert(limitOf(r.Announce(3, next).Limit(stated(first.Incarnation)), "a"), qt.Equals, "none")
	other := next
	other.ID = "b"
	c.Assert(limitOf(r.Announce(3, other), "b"), qt.Equals, "none")
	c.Assert(limitOf(r.Limit([]StatedLimit{{Incarnation: first.Incarnation}}), "a"), qt.Equals, "none")
}

// ExampleFind looks up the owner of a key.
func ExampleFind() {
	var r Registry
	r = r.Grant(12, "tally", []Grant{
		{
			From: 0,
			To:   4095,
			Owner: Incarnation{
				ID: "a",
			},
		},
		{
			From: 4096,
			To:   65535,
			Owner: Incarnation{
				ID: "b",
			},
		},
	})
	owner, ok := Find(r.RangeList("tally"), 5000)
	fmt.Println(owner.Owner.ID, owner.Fence, ok)
	// Output: b 12 true
}
