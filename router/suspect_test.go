package router

import (
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/locator"
)

// Guards against a request that crashes one target after the other because its caller sends it again through another
// host, and against refusing an innocent request at the same targets.
func TestCrashRequestIsRefusedAfterTheLimit(t *testing.T) {
	c := qt.New(t)
	target := newRawTarget(t, func(c net.Conn, _ int, r *http.Request, body string) bool {
		if body == "poison" {
			return resetConn(c)
		}
		return writeAnswer(c, r.Header.Get("Bramleyline-Request"), body)
	})
	s := newTestSystemWithTarget(t, target.addr, time.Second)
	for i := range uint64(2) {
		a := s.call(int(i), "POST", "/tally/baskets", "poison")
		c.Assert(a.outcome, qt.Equals, "unknown")
		// The tracker reports the target as lost, and its next incarnation owns the slot.
		s.routers[0].Traffic().Lost("tally", "tally1", 1+i)
		s.publish(func(_ int, r *locator.Route) {
			r.Incarnation = 2 + i
			r.Epoch += 1
		})
		s.routers[1].Traffic().AddSuspects(s.routers[0].Traffic().Suspects())
	}
	for host := range 2 {
		a := s.call(host, "POST", "/tally/baskets", "poison")
		c.Assert(a.status, qt.Equals, 422, qt.Commentf("%+v", a))
		c.Assert(a.outcome, qt.Equals, "notRun")
		c.Assert(a.reason, qt.Equals, "suspect")
		c.Assert(s.call(host, "POST", "/tally/baskets", "innocent").status, qt.Equals, 200)
	}
	c.Assert(target.count("POST poison"), qt.Equals, 2)
	c.Assert(s.routers[1].Traffic().Suspects(), qt.HasLen, 1)
}
