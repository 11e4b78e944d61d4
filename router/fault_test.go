package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/locator"
)

// rawTarget is a target whose answers are written to the connection by a function, so that they may break HTTP. It
// counts the requests that arrived whole, by method and body.
type rawTarget struct {
	addr     netip.AddrPort
	mu       sync.Mutex
	received map[string]int
}

// newRawTarget starts a rawTarget. serve gets the n-th request of a connection, counted from one, and returns whether
// the connection stays open.
func newRawTarget(tb testing.TB, serve func(c net.Conn, n int, r *http.Request, body string) bool) *rawTarget {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	tb.Cleanup(func() { _ = l.Close() })
	t := rawTarget{
		addr:     netip.MustParseAddrPort(l.Addr().String()),
		received: map[string]int{},
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go t.serveConn(c, serve)
		}
	}()
	return &t
}

func (t *rawTarget) serveConn(c net.Conn, serve func(net.Conn, int, *http.Request, string) bool) {
	defer c.Close()
	br := bufio.NewReader(c)
	for n := 1; ; n++ {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		t.mu.Lock()
		t.received[r.Method+" "+string(body)]++
		t.mu.Unlock()
		if !serve(c, n, r, string(body)) {
			return
		}
	}
}

func (t *rawTarget) count(request string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.received[request]
}

// writeAnswer writes a complete answer.
func writeAnswer(c net.Conn, identity, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nContent-Length: %d\r\n\r\n%s", identity, len(body), body)
	return err == nil
}

func resetConn(c net.Conn) bool {
	_ = c.(*net.TCPConn).SetLinger(0)
	return false
}

// newTestSystemWithTarget returns a testSystem in which addr is the target of both services, without hedged attempts.
func newTestSystemWithTarget(tb testing.TB, addr netip.AddrPort, deadline time.Duration) *testSystem {
	s := newTestSystem(tb, func(http.ResponseWriter, *http.Request) {})
	s.addr = addr
	for i := range s.cfg.Services {
		s.cfg.Services[i].Deadline = deadline
		s.cfg.Services[i].Retry.HedgeAfter = time.Hour
	}
	s.publish(nil)
	return s
}

// Guards against answers that are wrong, cut or falsely notRun, and against running a POST twice, for each way in which
// a target can break an exchange. Checks the dispatching host and the forwarding host.
func TestBrokenExchanges(t *testing.T) {
	long := strings.Repeat("x", 64<<10)
	cases := []struct {
		name   string
		status int
		reason string
		runs   int
		serve  func(c net.Conn, n int, r *http.Request, body string) bool
	}{
		{"reset after the request", 502, "cut", 1, func(c net.Conn, _ int, _ *http.Request, _ string) bool { return resetConn(c) }},
		{"close after the request", 502, "cut", 1, func(net.Conn, int, *http.Request, string) bool { return false }},
		{"reset in the header", 502, "cut", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nBramleyline-Req")
			return false
		}},
		{"cut in a short body", 502, "cut", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Bramleyline-Request"))
			return false
		}},
		{"cut in a long body", 0, "", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nContent-Length: 100000\r\n\r\n%s", r.Header.Get("Bramleyline-Request"), long)
			return false
		}},
		{"cut in chunks", 0, "", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nTransfer-Encoding: chunked\r\n\r\n10000\r\n%s\r\n", r.Header.Get("Bramleyline-Request"), long)
			return false
		}},
		{"answer without a length", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\n\r\nall or not", r.Header.Get("Bramleyline-Request"))
			return false
		}},
		{"answer of another request", 502, "crossed", 1, func(c net.Conn, _ int, _ *http.Request, _ string) bool {
			return writeAnswer(c, "a-1-zz", "of another")
		}},
		{"answer without an identity", 502, "crossed", 1, func(c net.Conn, _ int, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
			return true
		}},
		{"no HTTP at all", 502, "malformed", 1, func(c net.Conn, _ int, _ *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "SSH-2.0-bastion\r\n\r\n")
			return true
		}},
		{"status 000 before an answer", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 000 Bad\r\nContent-Length: 0\r\n\r\n")
			return writeAnswer(c, r.Header.Get("Bramleyline-Request"), "not an answer any more")
		}},
		{"blank in a field name", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nX Y: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"blank after the name of the coding", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nTransfer-Encoding : chunked\r\nContent-Length: 12\r\n\r\n2\r\nok\r\n0\r\n\r\n", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"control byte in a field name", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nX\x01Y: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"blank before a field name", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nX: 1\r\n Y: 1\r\nContent-Length: 2\r\n\r\nok", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"blank in a field name of an informational answer", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = io.WriteString(c, "HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\n")
			return writeAnswer(c, r.Header.Get("Bramleyline-Request"), "ok")
		}},
		{"blank in a field name of a trailer", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nBramleyline-Request: %s\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n"+
				"2\r\n{}\r\n0\r\nX Y: 1\r\n\r\n", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"rejection cut in its body", 502, "cut", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nBramleyline-Request: %s\r\nBramleyline-Outcome: notRun\r\nBramleyline-Reason: overloaded\r\n"+
				"Content-Length: 100\r\n\r\nhalf", r.Header.Get("Bramleyline-Request"))
			return false
		}},
		{"rejection with a blank in a field name of its trailer", 502, "malformed", 1, func(c net.Conn, _ int, r *http.Request, _ string) bool {
			_, _ = fmt.Fprintf(c, "HTTP/1.1 503 Full\r\nBramleyline-Request: %s\r\nBramleyline-Outcome: notRun\r\nBramleyline-Reason: overloaded\r\n"+
				"Transfer-Encoding: chunked\r\n\r\n2\r\nno\r\n0\r\nX Y: 1\r\n\r\n", r.Header.Get("Bramleyline-Request"))
			return true
		}},
		{"never answers", 504, "deadline", 1, func(c net.Conn, _ int, _ *http.Request, _ string) bool {
			_, _ = io.Copy(io.Discard, c)
			return false
		}},
	}
	for _, tc := range cases {
		for host, path := range []string{"local", "forwarded"} {
			t.Run(tc.name+"/"+path, func(t *testing.T) {
				c := qt.New(t)
				target := newRawTarget(t, tc.serve)
				s := newTestSystemWithTarget(t, target.addr, 250*time.Millisecond)
				a := s.call(host, "POST", "/tally/baskets", "5 kg", "Idempotency-Key", "basket-1")
				if tc.status == 0 {
					c.Assert(a.err, qt.IsNotNil, qt.Commentf("a cut answer of %d bytes was passed on as whole", len(a.body)))
				} else {
					c.Assert(a.err, qt.IsNil)
					c.Assert(a.status, qt.Equals, tc.status, qt.Commentf("%+v", a))
					c.Assert(a.outcome, qt.Equals, "unknown")
					if host == 0 {
						c.Assert(a.reason, qt.Equals, tc.reason)
					}
				}
				c.Assert(target.count("POST 5 kg"), qt.Equals, tc.runs)
			})
		}
	}
}

// Guards against silent retries such as those of http.Transport: when a reused connection is closed during a POST with
// an Idempotency-Key, the request must not run a second time, and a GET is retried only within the router's budget.
func TestDyingReusedConnection(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		target := newRawTarget(t, func(c net.Conn, n int, r *http.Request, _ string) bool {
			if n > 1 {
				return false
			}
			return writeAnswer(c, r.Header.Get("Bramleyline-Request"), "ok")
		})
		s := newTestSystemWithTarget(t, target.addr, time.Second)
		c.Assert(s.call(host, "POST", "/tally", "first").status, qt.Equals, 200)
		a := s.call(host, "POST", "/tally", "second", "Idempotency-Key", "basket-2")
		c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
		c.Assert(target.count("POST second"), qt.Equals, 1)

		// After the failure the next request opens a new connection, which the one after it reuses.
		c.Assert(s.call(host, "POST", "/tally", "third").status, qt.Equals, 200)
		for i := range s.cfg.Services {
			s.cfg.Services[i].Retry.RetryBudget = 0
		}
		a = s.call(host, "GET", "/tally", "")
		c.Assert(a.outcome, qt.Equals, "unknown", qt.Commentf("%+v", a))
		c.Assert(target.count("GET "), qt.Equals, 1)
	}
}

// Guards against sending a request on a connection that the target closed, or on which it sent data, while it was idle.
func TestIdleConnectionIsCheckedBeforeReuse(t *testing.T) {
	c := qt.New(t)
	closed := make(chan struct{}, 1)
	target := newRawTarget(t, func(c net.Conn, _ int, r *http.Request, body string) bool {
		writeAnswer(c, r.Header.Get("Bramleyline-Request"), body)
		if body == "late" {
			// Without the check, this answer on the idle connection would be taken for that of the next request.
			go func() {
				time.Sleep(20 * time.Millisecond)
				writeAnswer(c, "a-1-zz", "crossed")
				closed <- struct{}{}
			}()
			return true
		}
		defer func() { closed <- struct{}{} }()
		return false
	})
	s := newTestSystemWithTarget(t, target.addr, time.Second)
	for _, body := range []string{"1", "late", "2", "late", "3"} {
		a := s.call(0, "POST", "/tally", body)
		c.Assert(a.status, qt.Equals, 200, qt.Commentf("%+v", a))
		c.Assert(a.body, qt.Equals, body)
		<-closed
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against an error for the caller when the owner of a key rejects requests for a moment, and against endless
// retries.
func TestOwnerThatRefusesIsAskedAgain(t *testing.T) {
	for host := range 2 {
		for _, reason := range []string{"overloaded", "cold"} {
			c := qt.New(t)
			refusals := 1
			target := newRawTarget(t, func(c net.Conn, _ int, r *http.Request, body string) bool {
				if refusals > 0 {
					refusals--
					_, _ = fmt.Fprintf(c, "HTTP/1.1 429 Too Many Requests\r\nBramleyline-Request: %s\r\nBramleyline-Outcome: notRun\r\n"+
						"Bramleyline-Reason: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Bramleyline-Request"), reason)
					return true
				}
				return writeAnswer(c, r.Header.Get("Bramleyline-Request"), body)
			})
			s := newTestSystemWithTarget(t, target.addr, time.Second)
			c.Assert(s.call(host, "POST", "/tally", "5 kg").status, qt.Equals, 200)
			c.Assert(target.count("POST 5 kg"), qt.Equals, 2)
			refusals = 1000
			a := s.call(host, "POST", "/tally", "6 kg")
			c.Assert(a.outcome, qt.Equals, "notRun")
			c.Assert(a.status, qt.Equals, 503)
			c.Assert(target.count("POST 6 kg"), qt.Equals, 3)
		}
	}
}

// Guards against an error for the caller when a new owner has not received its slot yet and rejects the epoch.
func TestNewOwnerThatRefusesTheEpochIsAskedAgain(t *testing.T) {
	for host := range 2 {
		c := qt.New(t)
		refusals := 3
		target := newRawTarget(t, func(c net.Conn, _ int, r *http.Request, body string) bool {
			if refusals--; refusals < 0 {
				return writeAnswer(c, r.Header.Get("Bramleyline-Request"), body)
			}
			_, _ = fmt.Fprintf(c, "HTTP/1.1 409 Conflict\r\nBramleyline-Request: %s\r\nBramleyline-Outcome: notRun\r\n"+
				"Bramleyline-Reason: staleEpoch\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Bramleyline-Request"))
			return true
		})
		s := newTestSystemWithTarget(t, target.addr, 10*time.Second)
		s.cfg.Services[0].Ownership.HandoverWait = 10 * time.Second
		c.Assert(s.call(host, "POST", "/tally", "5 kg").status, qt.Equals, 200)
		c.Assert(target.count("POST 5 kg"), qt.Equals, 4)
	}
}

// Guards against answering unknown when the target refuses the connection, and against a wait beyond HandoverWait.
func TestUnreachableTargetIsNotRun(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := netip.MustParseAddrPort(l.Addr().String())
	_ = l.Close()
	s := newTestSystemWithTarget(t, addr, time.Second)
	s.cfg.Services[0].Ownership.HandoverWait = 50 * time.Millisecond
	for host := range 2 {
		a := s.call(host, "POST", "/tally", "5 kg")
		c.Assert(a.status, qt.Equals, 503)
		c.Assert(a.outcome, qt.Equals, "notRun")
		c.Assert(a.reason, qt.Equals, "unreachable")
	}
}

// Guards against sending without a valid lease, to a target that takes no new requests, or under an old epoch; and
// against answering with an error although the next table has an owner.
func TestNoSendWithoutLeaseAndNewTableIsAwaited(t *testing.T) {
	changes := map[string]func(host int, r *locator.Route){
		"no lease":       func(_ int, r *locator.Route) { r.Lease = nil },
		"releasing":      func(_ int, r *locator.Route) { r.Releasing = true },
		"out of service": func(_ int, r *locator.Route) { r.OutOfService = true },
		"no owner":       func(_ int, r *locator.Route) { r.Target = "" },
		"stale hint":     func(host int, r *locator.Route) { r.Epoch -= fencer.Epoch(host) },
		"no peer":        func(_ int, r *locator.Route) { r.Local, r.Peer = false, netip.AddrPort{} },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
			s.cfg.Services[0].Ownership.HandoverWait = 50 * time.Millisecond
			s.publish(change)
			if name != "stale hint" {
				for host := range 2 {
					a := s.call(host, "POST", "/tally", "5 kg")
					c.Assert(a.status, qt.Equals, 503, qt.Commentf("%+v", a))
					c.Assert(a.outcome, qt.Equals, "notRun")
				}
				c.Assert(s.received.Load(), qt.Equals, int64(0))
			}
			s.cfg.Services[0].Ownership.HandoverWait = 10 * time.Second
			s.cfg.Services[0].Deadline = 10 * time.Second
			time.AfterFunc(30*time.Millisecond, func() { s.publish(nil) })
			for host := range 2 {
				c.Assert(s.call(host, "POST", "/tally", "5 kg").status, qt.Equals, 200)
			}
		})
	}
}
