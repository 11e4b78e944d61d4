package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/registrar"
)

// Guards against an order that runs twice, and against a promise that it has not run, when its answer is lost.
func TestOrderWithLostAnswerIsNotRepeatedAndNotCalledNotRun(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var n atomic.Int32
	b.target("a", "desk", hangUp(&n))
	b.target("b", "desk", hangUp(&n))
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(n.Load(), qt.Equals, int32(1))
}

// Guards against a lookup that is given up although another target can answer it.
func TestLookupWithLostAnswerIsRepeatedElsewhere(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var broken, whole atomic.Int32
	b.target("a", "desk", hangUp(&broken))
	b.target("b", "desk", ok(&whole, "three boards"))
	for range 10 {
		a := b.send(context.Background(), http.MethodGet, "/lookup/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
		c.Assert(string(a.Body), qt.Equals, "three boards")
	}
}

// Guards against an order that is lost because one target is full, and against a refusal without a time to come back.
func TestOrderThatDidNotRunGoesElsewhereOrIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	full := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testOutcome, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	b.target("a", "desk", full)
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	var n atomic.Int32
	b.target("b", "desk", ok(&n, "done"))
	for range 5 {
		a = b.send(context.Background(), http.MethodPost, "/order/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
	}
	c.Assert(n.Load(), qt.Equals, int32(5))
}

// Guards against an answer of another request that is taken for this one's.
func TestAnswerOfAnotherRequestIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testRequest, "another")
		_, _ = io.WriteString(w, "not yours")
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(a.Body, qt.HasLen, 0)
}

// Guards against an answer that was cut and is delivered as a whole one.
func TestCutAnswerIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(a.Body, qt.HasLen, 0)
}

// Guards against work that goes on after its caller has left: the connection to the target ends.
func TestCallerThatLeavesEndsTheAttempt(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	started := make(chan struct{})
	ended := make(chan struct{})
	b.target("a", "desk", func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		close(started)
		<-r.Context().Done()
		close(ended)
	})
	ctx, cancel := context.WithCancel(context.Background())
	answers := make(chan *acceptor.Answer, 1)
	go func() { answers <- b.send(ctx, http.MethodGet, "/lookup/1") }()
	<-started
	cancel()
	select {
	case <-ended:
	case <-time.After(5 * time.Second):
		c.Fatal("the target still works")
	}
	c.Assert((<-answers).Abort, qt.IsTrue)
}

// Guards against refusals while a key is being moved: the request waits for the next owner, and never goes to the one
// that gives the key up.
func TestRequestWaitsForTheNextOwnerOfItsKey(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var old, next atomic.Int32
	b.target("a", "tally", ok(&old, "old"))
	b.target("b", "tally", ok(&next, "next"))
	b.own("tally", "a")
	b.commit(registrar.Change{
		Release: &registrar.ReleaseMsg{
			Service: "tally",
			Spans: []registrar.Span{{
				From: 0,
				To:   65535,
			}},
			Releasing: true,
		},
	})
	answers := make(chan *acceptor.Answer, 1)
	go func() { answers <- b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7") }()
	time.Sleep(20 * time.Millisecond)
	b.own("tally", "b")
	a := <-answers
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(string(a.Body), qt.Equals, "next")
	c.Assert(old.Load(), qt.Equals, int32(0))
}

// Guards against a caller that is told that its page does not exist while the host only does not know it yet.
func TestUnknownRouteIsNotFoundOnlyWithATable(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	a := b.send(context.Background(), http.MethodGet, "/lookup/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	b.putTable()
	a = b.send(context.Background(), http.MethodGet, "/nowhere/")
	c.Assert(a.Status, qt.Equals, http.StatusNotFound)
}

// Guards against work for targets that are leaving, or whose data centre was taken out.
func TestDrainingTargetGetsNothing(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var n atomic.Int32
	tg := b.target("a", "desk", ok(&n, "done"))
	tg.Draining = true
	b.commit(registrar.Change{
		Announce: &tg,
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(n.Load(), qt.Equals, int32(0))
}

// Guards against a cold target that gets more than it bears, also where it is the only one.
func TestColdTargetGetsNoMoreThanItBears(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var n atomic.Int32
	tg := b.target("a", "desk", ok(&n, "done"))
	tg.Cold, tg.Seq = true, 1
	b.commit(registrar.Change{
		Announce: &tg,
	})
	served := 0
	for range 50 {
		if b.send(context.Background(), http.MethodGet, "/lookup/1").Status == http.StatusOK {
			served++
		}
	}
	c.Assert(served, qt.Equals, int(n.Load()))
	c.Assert(served > 0 && served <= 10, qt.IsTrue, qt.Commentf("%d", served))
}

// Guards against a request that hangs where nobody listens: it is answered at once, with the truth that it has not run.
func TestOwnerThatIsGoneIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	addr := netip.MustParseAddrPort(ln.Addr().String())
	c.Assert(ln.Close(), qt.IsNil)
	b.announce("a", "tally", addr)
	b.own("tally", "a")
	start := time.Now()
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(start) < 500*time.Millisecond, qt.IsTrue)
}

// Guards against a request that crashes one target after the other: after two losses it is refused with the truth, while
// other requests go on.
func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.f.opts.Quarantiner = &quarantiner.Quarantiner{}
	b.putTable()
	for _, id := range []string{"a", "b", "c"} {
		var s *httptest.Server
		s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set(testRequest, r.Header.Get(testRequest))
			if r.URL.Path == "/order/bad" {
				_ = s.Listener.Close()
				hangUp(&atomic.Int32{})(w, r)
			}
		}))
		c.Cleanup(s.Close)
		b.announce(id, "desk", netip.MustParseAddrPort(s.Listener.Addr().String()))
	}
	lost := 0
	for range 40 {
		switch a := b.send(context.Background(), http.MethodPost, "/order/bad"); a.Status {
		case http.StatusBadGateway:
			lost++
		case http.StatusServiceUnavailable:
		default:
			c.Fatalf("status %d", a.Status)
		}
	}
	c.Assert(lost, qt.Equals, crashLimit)
	c.Assert(b.send(context.Background(), http.MethodGet, "/lookup/1").Status, qt.Equals, http.StatusOK)
}

// Guards against shares of a split route that are far from their weights after few requests.
func TestSplitKeepsItsWeights(t *testing.T) {
	c := qt.New(t)
	f := New(Options{})
	route := matcher.Route{
		Name: "split",
		Split: []matcher.Part{
			{
				Service: "a",
				Weight:  90,
			},
			{
				Service: "b",
				Weight:  10,
			},
			{
				Service: "c",
			},
		},
	}
	seen := make(map[string]int)
	for range 100 {
		seen[f.serviceOf(&route)]++
	}
	c.Assert(seen["c"], qt.Equals, 0)
	c.Assert(seen["b"] >= 9 && seen["b"] <= 11, qt.IsTrue, qt.Commentf("%v", seen))
}

// Guards against headers of one connection that reach another.
func TestHeadersOfOneConnectionAreNotForwarded(t *testing.T) {
	c := qt.New(t)
	got := forwarded(http.Header{
		"Connection":  {"keep-alive, X-Hop"},
		"Keep-Alive":  {"timeout=5"},
		"X-Hop":       {"1"},
		"X-End":       {"2"},
		testDeadline:  {"100"},
		"Te":          {"trailers"},
		"Content-Len": {"3"},
	}, testCodec{}.Own)
	names := make([]string, 0, len(got))
	for name := range got {
		names = append(names, name)
	}
	c.Assert(strings.Contains(fmt.Sprint(names), "X-End"), qt.IsTrue)
	c.Assert(names, qt.HasLen, 2)
}

// Guards against refusals in the moment between the commit of a new owner and the arrival of its grant.
func TestOwnerWhoseGrantIsLateIsTriedAgain(t *testing.T) {
	c := qt.New(t)
	b := newBed(c)
	b.putTable()
	var n atomic.Int32
	b.target("a", "tally", func(w http.ResponseWriter, _ *http.Request) {
		if n.Add(1) == 1 {
			w.WriteHeader(http.StatusMisdirectedRequest)
		}
	})
	b.own("tally", "a")
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(n.Load(), qt.Equals, int32(2))
}
