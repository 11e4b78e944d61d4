package coordinator

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

// Guards against a registry that grows with each target that ever left, and against the removal of one that may still serve, or
// that holds keys.
func TestTargetsThatLeftAreRemoved(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(1000, 0)
	var reg registrar.Registry
	for i := range 4 {
		reg = reg.Announce(uint64(i+1), registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   fmt.Sprint("t", i),
				Born: now,
			},
			Service:  "desk",
			Addr:     netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80),
			Draining: i > 0,
		})
	}
	owner, _ := reg.Target("t3")
	reg = reg.Grant(5, "desk", []registrar.Grant{{
		From:  0,
		To:    65535,
		Owner: owner.Incarnation,
	}})
	var d departures
	_, ok := d.due(now, reg)
	c.Assert(ok, qt.IsFalse)
	_, ok = d.due(now.Add(removeAfter-1), reg)
	c.Assert(ok, qt.IsFalse)
	removed := make(map[string]bool)
	for i := range 5 {
		at := now.Add(removeAfter + time.Duration(i)*removeInterval)
		inc, ok := d.due(at, reg)
		if !ok {
			break
		}
		removed[inc.ID] = true
		_, again := d.due(at, reg)
		c.Assert(again, qt.IsFalse)
		reg = reg.Remove(uint64(10+i), inc)
	}
	c.Assert(removed, qt.DeepEquals, map[string]bool{
		"t1": true,
		"t2": true,
	})
}
