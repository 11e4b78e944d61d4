package relayer

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/receiver"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/signer"
)

// group is a set of hosts that serve the requests of others.
type group struct {
	c     *qt.C
	hosts []Host
	// served counts the requests that each host served, by name.
	mu     sync.Mutex
	served map[string]int
	age    time.Duration
}

func (g *group) add(dataCentre string, links bool, serve func(ctx context.Context) *acceptor.Answer) {
	name := fmt.Sprint("host-", len(g.hosts))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	g.c.Assert(err, qt.IsNil)
	a := &acceptor.Acceptor{
		Handler: &receiver.Receiver{
			Signer: signer.New("key"),
			Ready:  func() bool { return links },
			Serve: func(ctx context.Context, r *acceptor.Request) *acceptor.Answer {
				g.mu.Lock()
				g.served[name]++
				g.age = time.Since(r.Arrived)
				g.mu.Unlock()
				if serve != nil {
					return serve(ctx)
				}
				return &acceptor.Answer{
					Status: http.StatusCreated,
					Header: http.Header{
						"Seal": {r.Header.Get("Request-Id") + r.URI + string(bytes.Join(r.Body, nil))},
					},
					Body: []byte("ok"),
				}
			},
		},
	}
	a.Start(ln)
	g.c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.Finish(ctx)
	})
	g.hosts = append(g.hosts, Host{
		Name:       name,
		Addr:       netip.MustParseAddrPort(ln.Addr().String()),
		DataCentre: dataCentre,
	})
}

func newGroup(c *qt.C) *group {
	return &group{
		c:      c,
		served: make(map[string]int),
	}
}

func newSender(c *qt.C) *sender.Sender {
	s := sender.New(nil)
	c.Cleanup(s.Close)
	return s
}

func (g *group) relayer() *Relayer {
	r := New(Options{
		Hosts:      func() []Host { return append([]Host(nil), g.hosts...) },
		DataCentre: "a",
		Sender:     newSender(g.c),
		Signer:     signer.New("key"),
	})
	g.c.Cleanup(r.Close)
	r.Start()
	return r
}

// allSound reports whether all of the hosts are known to have links for the time d.
func (r *Relayer) allSound(hosts []Host, d time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, h := range hosts {
		if time.Until(r.state(h).soundUntil) < d {
			return false
		}
	}
	return true
}

func request() *acceptor.Request {
	return &acceptor.Request{
		Method: http.MethodPost,
		URI:    "/order/1?x=2",
		Host:   "shop.example",
		Header: http.Header{
			"Request-Id":            {"r1"},
			"Bramleyline-Relay-Age": {"999999"},
			"Connection":            {"X-Hop"},
			"X-Hop":                 {"1"},
		},
		Body:    [][]byte{[]byte("one board")},
		Arrived: time.Now().Add(-200 * time.Millisecond),
	}
}

// Guards against a request that reaches another host changed, without its identity or its age, or whose answer comes back
// with the headers between hosts.
func TestRequestIsPassedOnWhole(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	g.add("b", true, nil)
	a, fault := g.relayer().Relay(context.Background(), request(), time.Now().Add(time.Second))
	c.Assert(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
	c.Assert(a.Status, qt.Equals, http.StatusCreated)
	c.Assert(a.Header.Get("Seal"), qt.Equals, "r1/order/1?x=2one board")
	c.Assert(a.Header.Get(signer.HeaderID), qt.Equals, "")
	c.Assert(string(a.Body), qt.Equals, "ok")
	c.Assert(g.age >= 200*time.Millisecond && g.age < time.Second, qt.IsTrue, qt.Commentf("%s", g.age))
}

// Guards against a herd at one host, and against requests that stay with hosts that have no links either.
func TestHostsWithLinksShareTheRequests(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	for i := range 10 {
		g.add(string(rune('a'+i%2)), i >= 6, nil)
	}
	r := g.relayer()
	// Each round asks a part of the hosts, drawn at random.
	for end := time.Now().Add(20 * time.Second); !r.allSound(g.hosts[6:], time.Second); time.Sleep(10 * time.Millisecond) {
		c.Assert(time.Now().Before(end), qt.IsTrue)
	}
	const requests = 4000
	for range requests {
		_, fault := r.Relay(context.Background(), request(), time.Now().Add(time.Second))
		c.Assert(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
	}
	c.Assert(g.served, qt.HasLen, 4)
	for name, n := range g.served {
		c.Check(n >= requests/10 && n <= requests/2, qt.IsTrue, qt.Commentf("%s served %d of %d", name, n, requests))
	}
}

// Guards against a caller that waits although no host has links, and against a request that goes round in circles.
func TestNoHostHasLinks(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	for range 5 {
		g.add("a", false, nil)
	}
	r := g.relayer()
	began := time.Now()
	_, fault := r.Relay(context.Background(), request(), began.Add(10*time.Second))
	c.Assert(fault.Reason, qt.Equals, ReasonNoHost)
	c.Assert(fault.MayHaveRun, qt.IsFalse)
	c.Assert(time.Since(began) < time.Second, qt.IsTrue)
	c.Assert(g.served, qt.HasLen, 0)
}

// Guards against a request that is passed on again although the first host may have run it, and against one that goes on
// running after its caller has left.
func TestRequestThatMayHaveRunIsNotPassedOnAgain(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	for range 3 {
		g.add("a", true, func(context.Context) *acceptor.Answer {
			return &acceptor.Answer{
				Abort: true,
			}
		})
	}
	_, fault := g.relayer().Relay(context.Background(), request(), time.Now().Add(time.Second))
	c.Assert(fault.MayHaveRun, qt.IsTrue)
	c.Assert(g.served, qt.HasLen, 1)

	g = newGroup(c)
	left := make(chan struct{})
	g.add("a", true, func(ctx context.Context) *acceptor.Answer {
		<-ctx.Done()
		close(left)
		return &acceptor.Answer{
			Abort: true,
		}
	})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(50*time.Millisecond, cancel)
	_, fault = g.relayer().Relay(ctx, request(), time.Now().Add(10*time.Second))
	c.Assert(fault.MayHaveRun, qt.IsTrue)
	select {
	case <-left:
	case <-time.After(5 * time.Second):
		c.Fatal("the request goes on")
	}
}

// Guards against a host that counts as idle, or less than that, because requests of an earlier loss of links ended in a later
// one.
func TestRequestsInFlightOutliveALossOfLinks(t *testing.T) {
	c := qt.New(t)
	g := newGroup(c)
	entered, leave := make(chan struct{}), make(chan struct{})
	g.add("a", true, func(context.Context) *acceptor.Answer {
		close(entered)
		<-leave
		return &acceptor.Answer{
			Status: http.StatusOK,
		}
	})
	r := g.relayer()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = r.Relay(context.Background(), request(), time.Now().Add(10*time.Second))
	}()
	<-entered
	r.Stop()
	r.Start()
	close(leave)
	<-done
	r.mu.Lock()
	defer r.mu.Unlock()
	c.Assert(r.state(g.hosts[0]).inFlight, qt.Equals, 0)
}
