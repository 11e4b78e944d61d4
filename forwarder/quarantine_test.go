package forwarder

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/registrar"
)

// crashing announces a target that ends at its first request that reject does not answer. It counts the arrivals in n.
func (b *fixture) crashing(id, service string, n *atomic.Int32, reject func(http.ResponseWriter) bool) {
	var s *httptest.Server
	s = httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		n.Add(1)
		w.Header().Set(testRequest, r.Header.Get(testRequest))
		if reject != nil && reject(w) {
			return
		}
		_ = s.Listener.Close()
		hangUp(&atomic.Int32{})(w, r)
	}))
	b.c.Cleanup(s.Close)
	b.announce(id, service, netip.MustParseAddrPort(s.Listener.Addr().String()))
}

// neighbour announces a sound target, which shows that the links of this host work.
func (b *fixture) neighbour(service string) {
	b.target("neighbour", service, func(http.ResponseWriter, *http.Request) {})
}

// Guards against a request that goes on crashing targets because one of them rejected it, or answered with an error,
// between two crashes.
func TestCrashesAreCountedAcrossRejections(t *testing.T) {
	for _, status := range []int{http.StatusServiceUnavailable, http.StatusMisdirectedRequest, http.StatusInternalServerError} {
		c := qt.New(t)
		b := newFixture(c)
		b.f.opts.Quarantiner = &quarantiner.Quarantiner{}
		b.putTable()
		b.neighbour("tally")
		var reached atomic.Int32
		var rejecting atomic.Bool
		for i := range crashLimit + 1 {
			rejecting.Store(true)
			id := fmt.Sprint("t", i)
			b.crashing(id, "tally", &reached, func(w http.ResponseWriter) bool {
				if !rejecting.Load() {
					return false
				}
				if status != http.StatusInternalServerError {
					w.Header().Set(testOutcome, "notRun")
				}
				w.WriteHeader(status)
				return true
			})
			b.own("tally", id)
			b.send(context.Background(), http.MethodPost, "/tally/bad", testKey, "7")
			rejecting.Store(false)
			b.send(context.Background(), http.MethodPost, "/tally/bad", testKey, "7")
		}
		before := reached.Load()
		a := b.send(context.Background(), http.MethodPost, "/tally/bad", testKey, "7")
		c.Check(a.Status, qt.Equals, http.StatusServiceUnavailable, qt.Commentf("status %d between crashes", status))
		c.Check(reached.Load(), qt.Equals, before)
		c.Check(a.Header.Get("Retry-After"), qt.Equals, "30.00", qt.Commentf("refused for another reason, status %d", status))
	}
}

// Guards against a request whose crashes are counted anew after its route has moved to another service.
func TestCrashesAreCountedAcrossServices(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.f.opts.Quarantiner = &quarantiner.Quarantiner{}
	b.putTable()
	b.neighbour("tally")
	var reached atomic.Int32
	for i, service := range []string{"desk", "tally", "desk"} {
		id := fmt.Sprint("t", i)
		b.crashing(id, service, &reached, nil)
		if service == "tally" {
			b.own("tally", id)
		}
		routes := slices.Clone(b.table.Routes)
		for r := range routes {
			if routes[r].Name == "order" {
				routes[r].Split = []matcher.Part{{
					Service: service,
					Weight:  1,
				}}
			}
		}
		b.table = matcher.New(uint64(i+2), routes, b.table.Services, b.table.Limits)
		b.commit(registrar.Change{
			PutTable: &registrar.PutTableMsg{
				Version: uint64(i + 2),
			},
		})
		b.send(context.Background(), http.MethodPost, "/order/bad", testKey, "7")
	}
	c.Assert(reached.Load(), qt.Equals, int32(crashLimit))
}

// Guards against a host that has lost its own links to targets and reports the requests there as lost with them.
func TestHostWithoutLinksLosesNoTargets(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.f.opts.Quarantiner = &quarantiner.Quarantiner{}
	b.putTable()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	gone := netip.MustParseAddrPort(ln.Addr().String())
	c.Assert(ln.Close(), qt.IsNil)
	b.announce("other", "tally", gone)
	for i := range crashLimit {
		id := fmt.Sprint("t", i)
		b.crashing(id, "tally", &atomic.Int32{}, nil)
		b.own("tally", id)
		b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	}
	c.Assert(b.f.opts.Quarantiner.Losses(time.Now(), 10), qt.HasLen, 0)
}
