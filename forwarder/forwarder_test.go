package forwarder

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/shaper"
)

// Guards against a non-idempotent request that runs twice, or is reported as not run, after its answer was lost.
func TestNonIdempotentRequestWithLostAnswerIsNotRetriedNorRefused(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var n atomic.Int32
	b.target("a", "desk", hangUp(&n))
	b.target("b", "desk", hangUp(&n))
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(n.Load(), qt.Equals, int32(1))
}

// Guards against an idempotent request that fails because its answer is lost, although another target can answer it.
func TestIdempotentRequestWithLostAnswerIsRetriedElsewhere(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var failed, answered atomic.Int32
	b.target("a", "desk", hangUp(&failed))
	b.target("b", "desk", answerWith(&answered, "three boards"))
	for range 10 {
		a := b.send(context.Background(), http.MethodGet, "/lookup/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
		c.Assert(string(a.Body), qt.Equals, "three boards")
	}
}

// Guards against a request that fails because one target is overloaded and rejects it, although another target can run
// it, and against a refusal without a Retry-After delay.
func TestRejectedRequestIsRetriedElsewhereOrRefused(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	overloaded := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testOutcome, "notRun")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	b.target("a", "desk", overloaded)
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(a.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	var n atomic.Int32
	b.target("b", "desk", answerWith(&n, "done"))
	for range 5 {
		a = b.send(context.Background(), http.MethodPost, "/order/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
	}
	c.Assert(n.Load(), qt.Equals, int32(5))
}

// Guards against the answer to another request, as its echoed ID shows, that is delivered as the answer to this one.
func TestAnswerOfAnotherRequestIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(testRequest, "another")
		_, _ = io.WriteString(w, "not yours")
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(a.Body, qt.HasLen, 0)
}

// Guards against an answer shorter than its Content-Length that is delivered as a complete one.
func TestTruncatedAnswerIsNotDelivered(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
	c.Assert(a.Body, qt.HasLen, 0)
}

// Guards against a request that keeps running after its caller has disconnected: the connection to the target must be
// closed.
func TestCallerDisconnectCancelsTheAttempt(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
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
		c.Fatal("the target still runs the request")
	}
	c.Assert((<-answers).Abort, qt.IsTrue)
}

// Guards against refusals during the hand-over of a key: the request must wait for the next owner, and must not be sent
// to the owner that is releasing the key.
func TestRequestWaitsForTheNextOwnerDuringHandover(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var old, next atomic.Int32
	b.target("a", "tally", answerWith(&old, "old"))
	b.target("b", "tally", answerWith(&next, "next"))
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

// Guards against a 404 for a route that a newer table has, which has not reached this host because its link is overloaded, and
// against a 503 instead of it on hosts whose link is not scheduled.
func TestUnknownRouteIsRefusedWithAnOldTable(t *testing.T) {
	for name, tc := range map[string]struct {
		link   *shaper.Shaper
		age    time.Duration
		status int
	}{
		"old":          {link: shaper.New(2, nil), age: 2 * maxTableAge, status: http.StatusServiceUnavailable},
		"fresh":        {link: shaper.New(2, nil), age: maxTableAge / 2, status: http.StatusNotFound},
		"no scheduler": {age: 2 * maxTableAge, status: http.StatusNotFound},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := newFixture(c)
			b.putTable()
			tc.link.SetActive(true)
			b.f.opts.Link = tc.link
			b.f.opts.ViewAge = func() time.Duration { return tc.age }
			a := b.send(context.Background(), http.MethodGet, "/unknown/1")
			c.Assert(a.Status, qt.Equals, tc.status)
			c.Assert(a.Header.Get("Retry-After") != "", qt.Equals, tc.status == http.StatusServiceUnavailable)
		})
	}
}

// Guards against a 404 answer from a host that has no traffic table yet and so cannot tell whether the route exists.
func TestUnknownRouteIsNotFoundOnlyWithATable(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	a := b.send(context.Background(), http.MethodGet, "/lookup/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	b.putTable()
	a = b.send(context.Background(), http.MethodGet, "/nowhere/")
	c.Assert(a.Status, qt.Equals, http.StatusNotFound)
}

// Guards against requests to targets that are draining.
func TestDrainingTargetGetsNoRequests(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var n atomic.Int32
	tg := b.target("a", "desk", answerWith(&n, "done"))
	tg.Draining = true
	b.commit(registrar.Change{
		Announce: &tg,
	})
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(n.Load(), qt.Equals, int32(0))
}

// Guards against a cold target that gets more requests than its limit, even where it is the only target.
func TestColdTargetGetsNoMoreThanItsLimit(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	var n atomic.Int32
	tg := b.target("a", "desk", answerWith(&n, "done"))
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

// Guards against a request that hangs because no process listens at the address of its owner: it must be refused at
// once, which says that it did not run.
func TestRequestForUnreachableOwnerIsRefusedAtOnce(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
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

// Guards against a request that crashes one target after the other: after two lost targets it must be refused, while
// other requests are still served.
func TestRequestThatCrashesItsTargetsIsRefused(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
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

// Guards against a split route whose services get shares far from their weights over a small number of requests.
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
		seen[f.chooseService(&route)]++
	}
	c.Assert(seen["c"], qt.Equals, 0)
	c.Assert(seen["b"] >= 9 && seen["b"] <= 11, qt.IsTrue, qt.Commentf("%v", seen))
}

// Guards against a refusal in the short time between the commit of a new owner and the arrival of its grant, while the
// new owner still rejects requests for the key.
func TestOwnerWhoseGrantIsLateIsRetried(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
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

// Guards against a failure in place of an answer to HEAD: its Content-Length is the size of a body that does not follow.
func TestHeadIsAnsweredWithoutABody(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	b.target("a", "desk", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("Content-Length", "12") })
	a := b.send(context.Background(), http.MethodHead, "/lookup/1")
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(a.Header.Get("Content-Length"), qt.Equals, "12")
	c.Assert(a.Body, qt.HasLen, 0)
}
