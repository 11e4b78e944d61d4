package router

import (
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/responder"
)

// Guards against the part of an answer that is delivered as a whole one, if the target answers a long request at once and resets
// the connection while the request is still being written. Checks the dispatching host and the forwarding host.
func TestEarlyAnswers(t *testing.T) {
	for _, tt := range []struct {
		name   string
		text   string
		reset  bool
		status int
		body   string
	}{
		{
			name:   "no length, reset",
			text:   "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\n\r\nhalf",
			reset:  true,
			status: http.StatusBadGateway,
		},
		{
			name:   "no length, closed",
			text:   "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\n\r\nhalf",
			status: http.StatusBadGateway,
		},
		{
			name:   "length too long, reset",
			text:   "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nContent-Length: 9\r\n\r\nhalf",
			reset:  true,
			status: http.StatusBadGateway,
		},
		{
			name:   "whole",
			text:   "HTTP/1.1 413 Content Too Large\r\nBramleyline-Request: %s\r\nContent-Length: 4\r\n\r\nlong",
			status: http.StatusRequestEntityTooLarge,
			body:   "long",
		},
	} {
		for host, path := range []string{"local", "forwarded"} {
			t.Run(tt.name+"/"+path, func(t *testing.T) {
				c := qt.New(t)
				p := responder.Responder{
					Answer: func(r *http.Request) string {
						return strings.Replace(tt.text, "%s", r.Header.Get("Bramleyline-Request"), 1)
					},
					Pause: 10 * time.Millisecond,
					Reset: tt.reset,
				}
				c.Assert(p.Start(), qt.IsNil)
				c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
				s := newTestSystemWithTarget(t, p.Addr(), 10*time.Second)
				s.cfg.Services[0].Limits.MaxBody = 16 << 20
				a := s.call(host, http.MethodPost, "/tally", strings.Repeat("x", 8<<20))
				c.Assert(a.err, qt.IsNil)
				c.Check(a.status, qt.Equals, tt.status)
				if tt.status == http.StatusBadGateway {
					c.Check(a.outcome, qt.Equals, "unknown")
				} else {
					c.Check(a.body, qt.Equals, tt.body)
				}
				c.Check(p.Requests(), qt.Equals, int64(1))
			})
		}
	}
}

// Guards against a refusal of the dispatching host that breaks off, and is taken for a proof that the request did not run.
func TestRefusalOfAHostThatBreaksOffProvesNothing(t *testing.T) {
	c := qt.New(t)
	p := responder.Responder{
		Answer: func(r *http.Request) string {
			return "HTTP/1.1 503 Full\r\nBramleyline-Request: " + r.Header.Get("Bramleyline-Request") +
				"\r\nBramleyline-Outcome: notRun\r\nBramleyline-Reason: overloaded\r\nContent-Length: 100\r\n\r\nhalf"
		},
		ReadBefore: -1,
	}
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
	s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
	s.publish(func(host int, r *locator.Route) {
		if host == 1 {
			r.Peer = p.Addr()
		}
	})
	a := s.call(1, http.MethodPost, "/tally", "5 kg")
	c.Assert(a.err, qt.IsNil)
	c.Check(a.status, qt.Equals, http.StatusBadGateway)
	c.Check(a.outcome, qt.Equals, "unknown")
	c.Check(p.Requests(), qt.Equals, int64(1))
}

// Guards against memory that stays reserved for the header of an answer whose body breaks off, until the host can read no more
// long headers.
func TestMemoryOfBrokenAnswersIsReleased(t *testing.T) {
	head := "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 20<<10) + "\r\nContent-Type: application/json\r\nBramleyline-Request: "
	for _, rest := range []string{
		"\r\nContent-Length: 100\r\n\r\nhalf",
		"\r\nTransfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\nX Y: 1\r\n\r\n",
		"\r\nBramleyline-Outcome: notRun\r\nContent-Length: 100\r\n\r\nhalf",
		"\r\nContent-Length: 2\r\n\r\n{}",
	} {
		for host := range 2 {
			c := qt.New(t)
			p := responder.Responder{
				Answer: func(r *http.Request) string {
					return head + r.Header.Get("Bramleyline-Request") + rest
				},
				ReadBefore: -1,
			}
			c.Assert(p.Start(), qt.IsNil)
			s := newTestSystemWithTarget(t, p.Addr(), 10*time.Second)
			a := s.call(host, http.MethodPost, "/tally", "5 kg")
			c.Check(a.err, qt.IsNil)
			// The caller may have a long answer before the host has released it.
			for end := time.Now().Add(5 * time.Second); s.answersHeld() > 0 && time.Now().Before(end); {
				time.Sleep(time.Millisecond)
			}
			c.Check(s.answersHeld(), qt.Equals, int64(0), qt.Commentf("%q", rest))
			c.Check(p.Close(), qt.IsNil)
		}
	}
}

// answersHeld returns the memory that both hosts hold of answers.
func (s *testSystem) answersHeld() int64 {
	return s.routers[0].answers.Held() + s.routers[1].answers.Held()
}
