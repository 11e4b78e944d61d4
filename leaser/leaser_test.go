package leaser

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// The granter must never see a lease as lapsed while its holder still sees it as valid, for any delay of the request
// and of the answer and any drift of the holder's clock within the margin.
func TestHolderEndsBeforeGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ttl := time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(2*time.Second)).Draw(t, "ttl"))
		there := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "there"))
		back := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "back"))
		slow := rapid.Float64Range(0, 0.04).Draw(t, "slow")

		asked := time.Unix(1000, 0)
		var h Holder
		var g Granter
		h.Renewed(asked, ttl)
		g.Granted(asked.Add(there), ttl)

		// The holder's clock runs slow, so its lease ends late in true time.
		end := asked.Add(time.Duration(float64(ttl) * (1 + slow)))
		if received := asked.Add(there + back); received.After(end) {
			return
		}
		if g.Lapsed(end) {
			t.Fatalf("granter gave the lease up %s before the holder", end.Sub(g.Until()))
		}
	})
}

func TestRenewalOutOfOrderKeepsTheLongerLease(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var s Shared
	s.Renewed(start.Add(time.Second), time.Second)
	s.Renewed(start, time.Second)
	c.Assert(s.Valid(start.Add(1500*time.Millisecond)), qt.IsTrue)
	c.Assert(s.Valid(start.Add(2*time.Second)), qt.IsFalse)
	s.Drop()
	c.Assert(s.Valid(start), qt.IsFalse)
}

func TestZeroValuesHoldNothing(t *testing.T) {
	c := qt.New(t)
	var h Holder
	var g Granter
	var s *Shared
	c.Assert(h.Valid(time.Now()), qt.IsFalse)
	c.Assert(g.Lapsed(time.Now()), qt.IsTrue)
	c.Assert(s.Valid(time.Now()), qt.IsFalse)
}
