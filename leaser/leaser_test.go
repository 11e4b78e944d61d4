package leaser

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"
)

// Guards against a lease that has expired at the granter while it is still valid at its holder. The granter has to
// outlast the holder for any delay of the request and of the answer and any drift of the holder's clock within the
// margin.
func TestHolderEndsBeforeGranter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ttl := time.Duration(rapid.Int64Range(int64(50*time.Millisecond), int64(2*time.Second)).Draw(t, "ttl"))
		requestDelay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "there"))
		answerDelay := time.Duration(rapid.Int64Range(0, int64(5*time.Second)).Draw(t, "back"))
		drift := rapid.Float64Range(0, 0.04).Draw(t, "slow")

		requested := time.Unix(1000, 0)
		var h Holder
		var g Granter
		h.Renewed(requested, ttl)
		g.Granted(requested.Add(requestDelay), ttl)

		// The holder's clock runs slow, so its lease ends late in true time.
		end := requested.Add(time.Duration(float64(ttl) * (1 + drift)))
		if received := requested.Add(requestDelay + answerDelay); received.After(end) {
			return
		}
		if g.Lapsed(end) {
			t.Fatalf("lease expired at the granter %s before it expired at the holder", end.Sub(g.Until()))
		}
	})
}

func TestRenewalOutOfOrderKeepsTheLongerLease(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(1000, 0)
	var s SharedHolder
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
	var s *SharedHolder
	c.Assert(h.Valid(time.Now()), qt.IsFalse)
	c.Assert(g.Lapsed(time.Now()), qt.IsTrue)
	c.Assert(s.Valid(time.Now()), qt.IsFalse)
}
