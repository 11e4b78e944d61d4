package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/revalidator"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	staleLifetime = 200 * time.Millisecond
	healthPath    = "/health"
)

// staleFixture is a fixture whose view has a settable age.
type staleFixture struct {
	*fixture
	staleness atomic.Int64
}

func newStaleFixture(c *qt.C) *staleFixture {
	b := staleFixture{
		fixture: newFixture(c),
	}
	b.f.opts.Staleness = func() time.Duration { return time.Duration(b.staleness.Load()) }
	b.f.opts.Validity = &revalidator.Revalidator[registrar.Incarnation]{
		Lifetime: staleLifetime,
	}
	b.f.opts.Limits.DrainBound = staleLifetime
	services := make(map[string]matcher.Service)
	for _, name := range []string{"desk", "tally"} {
		s := b.table.Services[name]
		s.HealthPath = healthPath
		services[name] = s
	}
	b.table.Services = services
	b.putTable()
	return &b
}

// leavingTarget is a target that counts what reaches it.
type leavingTarget struct {
	id       string
	leaves   atomic.Bool
	health   atomic.Int32
	requests atomic.Int32
	// slowHealth delays the answers to health checks.
	slowHealth time.Duration
}

func (l *leavingTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	if l.leaves.Load() {
		w.Header().Set("Connection", "close")
	}
	if r.URL.Path != healthPath {
		l.requests.Add(1)
		return
	}
	time.Sleep(l.slowHealth)
	l.health.Add(1)
	w.Header().Set(testTarget, l.id)
	if l.leaves.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (b *staleFixture) leavingTarget(id, service string) *leavingTarget {
	l := &leavingTarget{
		id: id,
	}
	b.target(id, service, l.ServeHTTP)
	return l
}

// Guards against requests that a host with a stale view sends to targets that may have left: what reaches targets, by the age of the
// view and by what the target says.
func TestRequestsByStaleViews(t *testing.T) {
	var out strings.Builder
	for _, service := range []string{"desk", "tally"} {
		for _, stale := range []bool{false, true} {
			for _, leaves := range []string{"stays", "leaves", "is gone", "has answered", "has left since it answered"} {
				c := qt.New(t)
				b := newStaleFixture(c)
				var l *leavingTarget
				if leaves == "is gone" {
					l = &leavingTarget{}
					ln, err := net.Listen("tcp", "127.0.0.1:0")
					c.Assert(err, qt.IsNil)
					b.announce("a", service, netip.MustParseAddrPort(ln.Addr().String()))
					c.Assert(ln.Close(), qt.IsNil)
				} else {
					l = b.leavingTarget("a", service)
				}
				path := "/order/1"
				if service == "tally" {
					b.own("tally", "a")
					path = "/tally/1"
				}
				switch leaves {
				case "leaves":
					l.leaves.Store(true)
				case "has answered":
					b.send(context.Background(), http.MethodPost, path, testKey, "7")
				case "has left since it answered":
					l.leaves.Store(true)
					b.send(context.Background(), http.MethodPost, path, testKey, "7")
				}
				l.requests.Store(0)
				if stale {
					b.staleness.Store(int64(time.Minute))
				}
				a := b.send(context.Background(), http.MethodPost, path, testKey, "7")
				fmt.Fprintf(&out, "%s, stale %t, target %s: status %d, health checks %d, requests %d\n", service, stale, leaves, a.Status,
					l.health.Load(), l.requests.Load())
			}
		}
	}
	c := qt.New(t)
	want, err := os.ReadFile("testdata/staleViews.golden")
	c.Assert(err, qt.IsNil)
	c.Assert(out.String(), qt.Equals, string(want))
}

// Guards against a caller that is refused by a host with a stale view although another target confirms that it takes requests, and
// against retries that are charged for targets that got nothing.
func TestAnotherTargetServesIfTheFirstDoesNotConfirm(t *testing.T) {
	c := qt.New(t)
	b := newStaleFixture(c)
	b.f.opts.Limits.RetryShare, b.f.opts.Limits.RetrySlack = 0, 0
	b.f.retryBudget("desk").Resize(0)
	stays := b.leavingTarget("a", "desk")
	var others []*leavingTarget
	for _, id := range []string{"b", "c"} {
		l := b.leavingTarget(id, "desk")
		l.leaves.Store(true)
		others = append(others, l)
	}
	b.staleness.Store(int64(time.Minute))
	for range 20 {
		a := b.send(context.Background(), http.MethodPost, "/order/1")
		c.Assert(a.Status, qt.Equals, http.StatusOK)
	}
	c.Check(stays.requests.Load(), qt.Equals, int32(20))
	for _, l := range others {
		c.Check(l.requests.Load(), qt.Equals, int32(0))
	}
}

// Guards against a request that is written after its view has become stale during a wait: the health check is made before.
func TestViewThatBecomesStaleDuringAWaitIsNoticed(t *testing.T) {
	c := qt.New(t)
	b := newStaleFixture(c)
	b.f.opts.Validity.Lifetime = time.Hour
	l := b.leavingTarget("a", "desk")
	first := true
	b.f.opts.Staleness = func() time.Duration {
		// The first look is that after the choice of the target.
		if first {
			first = false
			return 0
		}
		return 2 * time.Hour
	}
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(l.requests.Load(), qt.Equals, int32(0))
}

// Guards against a target that gets a request after it was seen to leave during a wait, whatever the size of the body.
func TestShortRequestIsCheckedBeforeItIsWritten(t *testing.T) {
	c := qt.New(t)
	b := newStaleFixture(c)
	left := b.leavingTarget("a", "desk")
	b.f.opts.Staleness = func() time.Duration {
		b.f.opts.Staleness = nil
		b.commit(registrar.Change{
			Drain: &registrar.DrainMsg{
				ID: "a",
			},
		})
		return 0
	}
	a := b.send(context.Background(), http.MethodPost, "/order/1")
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(left.requests.Load(), qt.Equals, int32(0))
}

// Guards against an owner that still gets requests because this host learned late that it leaves.
func TestOwnerThatLeavesIsBoundedByTheCommit(t *testing.T) {
	c := qt.New(t)
	b := newStaleFixture(c)
	l := b.leavingTarget("a", "tally")
	b.own("tally", "a")
	b.f.opts.Limits.DrainTime = time.Hour
	late := timekeeper.Now().Add(-2 * staleLifetime)
	b.builder.LastCurrent = func() time.Time { return late }
	b.commit(registrar.Change{
		Drain: &registrar.DrainMsg{
			ID: "a",
		},
	})
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(l.requests.Load(), qt.Equals, int32(0))
}

// Guards against many health checks of one target at the same time, and against requests that wait for one until their deadline.
func TestRequestsShareHealthChecks(t *testing.T) {
	c := qt.New(t)
	b := newStaleFixture(c)
	l := b.leavingTarget("a", "desk")
	l.slowHealth = 50 * time.Millisecond
	b.staleness.Store(int64(time.Minute))
	var wg sync.WaitGroup
	answers := make([]*acceptor.Answer, 16)
	for i := range answers {
		wg.Go(func() {
			answers[i] = b.send(context.Background(), http.MethodPost, "/order/1", testRequest, fmt.Sprint("r", i))
		})
	}
	wg.Wait()
	for _, a := range answers {
		c.Check(a.Status, qt.Equals, http.StatusOK)
	}
	c.Check(l.health.Load() <= 2, qt.IsTrue, qt.Commentf("%d health checks", l.health.Load()))

	mute := b.leavingTarget("b", "tally")
	mute.slowHealth = 2 * time.Second
	b.own("tally", "b")
	began := time.Now()
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Check(time.Since(began) < 900*time.Millisecond, qt.IsTrue, qt.Commentf("refused after %s", time.Since(began)))
	c.Check(mute.requests.Load(), qt.Equals, int32(0))
}
