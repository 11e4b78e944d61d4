package dispatcher

import (
	"context"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"strconv"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/sender"
)

func TestMain(m *testing.M) {
	asserter.SetFatal(true)
	os.Exit(m.Run())
}

// host is a dispatcher with one target for each address. The targets share the hash slots of a keyed service.
type host struct {
	svc     configurer.Service
	current locator.Current
	lease   leaser.SharedHolder
	d       *Dispatcher
}

func newHost(addrs ...netip.AddrPort) *host {
	h := host{
		svc: configurer.DefaultService("tally"),
	}
	h.svc.Keyed = true
	h.svc.KeySource = "header:Picker"
	h.svc.Slots = 131_072
	h.lease.Renewed(time.Now(), time.Hour)
	h.publish(1, addrs...)
	h.d = New(Options{
		Locator: &h.current,
		Sender:  sender.New(nil),
	})
	return &h
}

// publish stores a routing table with one target of the given incarnation for each address.
func (h *host) publish(incarnation uint64, addrs ...netip.AddrPort) {
	k, _ := keyer.New(h.svc.KeySource, h.svc.Slots)
	t := locator.Table{
		Service: "tally",
		Keyed:   true,
		Keyer:   k,
		Owners:  make([]int32, h.svc.Slots),
	}
	for i, a := range addrs {
		t.Routes = append(t.Routes, locator.Route{
			Target:      "t" + strconv.Itoa(i),
			Incarnation: incarnation,
			Addr:        a,
			Epoch:       fencer.NewEpoch(1, uint32(i)),
			Local:       true,
			Lease:       &h.lease,
		})
	}
	for i := range t.Owners {
		t.Owners[i] = int32(i % len(addrs))
	}
	h.current.Store(locator.New(1, 1, []*locator.Table{&t}))
}

// route makes the routing decision for r, from its key to a request slot at a target, and frees the slot. It reports
// whether the request was admitted.
func (h *host) route(r *http.Request, j *Job) bool {
	table, _ := h.current.Load().Table("tally")
	key, err := table.Keyer.Key(r)
	if err != nil {
		return false
	}
	j.Service, j.Key, j.Table = &h.svc, key, table
	j.Slot, j.Route = table.OwnerOf(key)
	if h.d.check(j) != nil {
		return false
	}
	l := h.d.lane(laneID{
		service:     h.svc.Name,
		target:      j.Route.Target,
		incarnation: j.Route.Incarnation,
	})
	now := time.Now()
	if l.acquire(context.Background(), &h.svc.Limits, key, j.Slot, now, now.Add(time.Second)) != nil {
		return false
	}
	l.mu.Lock()
	l.release()
	l.mu.Unlock()
	return true
}

func requestWithKey(i int) *http.Request {
	return &http.Request{
		URL:    &url.URL{},
		Header: http.Header{"Picker": {"picker" + strconv.Itoa(i)}},
	}
}

// Guards against an allocation in the routing decision, from the key to the admission.
func TestDecisionDoesNotAllocate(t *testing.T) {
	h, r, j := newHost(netip.AddrPort{}), requestWithKey(7), Job{}
	qt.Assert(t, h.route(r, &j), qt.IsTrue)
	qt.Assert(t, testing.AllocsPerRun(1000, func() { h.route(r, &j) }), qt.Equals, 0.0)
}

// BenchmarkDecision measures one routing decision with 20 targets and 131,072 slots.
func BenchmarkDecision(b *testing.B) {
	h := newHost(make([]netip.AddrPort, 20)...)
	b.Run("alone", func(b *testing.B) {
		r, j := requestWithKey(7), Job{}
		b.ReportAllocs()
		for b.Loop() {
			h.route(r, &j)
		}
	})
	b.Run("parallel", func(b *testing.B) {
		h.svc.Limits.ColdAllowance = 4
		b.ReportAllocs()
		b.RunParallel(func(pb *testing.PB) {
			var requests [64]*http.Request
			for i := range requests {
				requests[i] = requestWithKey(i)
			}
			var j Job
			for i := 0; pb.Next(); i++ {
				h.route(requests[i%64], &j)
			}
		})
	})
}
