// Package balancer picks a target for a request of a shared service.
package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyline.example/bramleyline/locator"
)

const (
	// tries is the number of times that two targets are drawn before an unhealthy one is accepted.
	tries = 4
	// guardShare is the share of unhealthy targets, in percent, from which all count as healthy: then the fault is more
	// likely shared (the network, this host) than the targets', and the rest could not carry the load.
	guardShare = 50
	// equalShare is the difference, in percent, below which two scores count as equal.
	equalShare = 10
)

// Balancer picks by power of two choices. It is safe for concurrent use; picking takes no lock unless the table
// changed.
type Balancer struct {
	// DataCentre is that of this host.
	DataCentre string
	// Seed makes the draws repeatable.
	Seed uint64

	draws atomic.Uint64
	view  atomic.Pointer[view]
	p95   quantile
	mu    sync.Mutex
	stats map[string]*stat
}

// view joins the routes of one table to what is known of their targets.
type view struct {
	table     *locator.Table
	stats     []*stat
	unhealthy atomic.Int64
}

func (b *Balancer) viewOf(t *locator.Table, now time.Time) *view {
	if v := b.view.Load(); v != nil && v.table == t {
		return v
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.view.Load(); v != nil && v.table == t {
		return v
	}
	v := view{
		table: t,
		stats: make([]*stat, len(t.Routes)),
	}
	stats := make(map[string]*stat, len(t.Routes))
	for i := range t.Routes {
		r := &t.Routes[i]
		s := b.stats[r.Target]
		if s == nil || s.incarnation != r.Incarnation {
			s = &stat{
				incarnation: r.Incarnation,
			}
		}
		stats[r.Target], v.stats[i] = s, s
	}
	b.stats = stats
	v.recount(now)
	b.view.Store(&v)
	return &v
}

func (v *view) recount(now time.Time) {
	n := int64(0)
	for _, s := range v.stats {
		if !s.healthy(now) {
			n++
		}
	}
	v.unhealthy.Store(n)
}

// Choose returns the route for a request, nil if no target may take work. Targets named in except are taken only if
// there is no other. Begin has to follow for the chosen target.
func (b *Balancer) Choose(t *locator.Table, now time.Time, except ...string) *locator.Route {
	n := len(t.Routes)
	if n == 0 {
		return nil
	}
	v := b.viewOf(t, now)
	guard := v.unhealthy.Load()*100 >= int64(n)*guardShare
	for range tries {
		draw := mix(b.Seed + b.draws.Add(1))
		i := int(draw % uint64(n))
		j := i
		if n > 1 {
			j = (i + 1 + int((draw>>32)%uint64(n-1))) % n
		}
		okI := b.usable(v, i, now, guard, except)
		okJ := b.usable(v, j, now, guard, except)
		switch {
		case okI && okJ:
			return &t.Routes[b.better(v, i, j, now)]
		case okI:
			return &t.Routes[i]
		case okJ:
			return &t.Routes[j]
		}
	}
	// Most draws failed, so all targets are looked at: first the healthy ones, then all that may take work.
	start := int(mix(b.Seed+b.draws.Add(1)) % uint64(n))
	var last *locator.Route
	for k := range n {
		i := (start + k) % n
		if b.usable(v, i, now, guard, except) {
			return &t.Routes[i]
		}
		if r := &t.Routes[i]; takesWork(r) && (last == nil || contains(except, last.Target)) {
			last = r
		}
	}
	return last
}

func takesWork(r *locator.Route) bool {
	return !r.Releasing && !r.OutOfService
}

func (b *Balancer) usable(v *view, i int, now time.Time, guard bool, except []string) bool {
	r := &v.table.Routes[i]
	return takesWork(r) && !contains(except, r.Target) && (guard || v.stats[i].healthy(now))
}

func contains(names []string, name string) bool {
	for _, n := range names {
		if n == name {
			return true
		}
	}
	return false
}

// better returns the one of two targets with the lower expected wait. A target without a recent latency is taken to be
// as fast as the other, so that a new target does not draw all requests to itself.
func (b *Balancer) better(v *view, i, j int, now time.Time) int {
	li, lj := v.stats[i].latency(now), v.stats[j].latency(now)
	if li == 0 {
		li = lj
	}
	if lj == 0 {
		lj = li
	}
	si := (v.stats[i].work(now) + 1) * float64(max(1, li))
	sj := (v.stats[j].work(now) + 1) * float64(max(1, lj))
	if diff := si - sj; diff*100 < equalShare*sj && -diff*100 < equalShare*si {
		ownI, ownJ := v.table.Routes[i].DataCentre == b.DataCentre, v.table.Routes[j].DataCentre == b.DataCentre
		if ownI != ownJ {
			if ownI {
				return i
			}
			return j
		}
	}
	if sj < si {
		return j
	}
	return i
}

// mix spreads the bits of a counter (the finaliser of splitmix64).
func mix(x uint64) uint64 {
	x *= 0x9e3779b97f4a7c15
	x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9
	x = (x ^ (x >> 27)) * 0x94d049bb133111eb
	return x ^ (x >> 31)
}

// Begin records that a request was sent to the target of route.
func (b *Balancer) Begin(t *locator.Table, route *locator.Route, now time.Time) {
	if s := b.stat(t, route, now); s != nil {
		s.inFlight.Add(1)
	}
}

// End records the result of a request. ok says that the target answered; a request that was cancelled tells nothing and
// is recorded with counted set to false.
func (b *Balancer) End(t *locator.Table, route *locator.Route, now time.Time, latency time.Duration, ok, counted bool) {
	s := b.stat(t, route, now)
	if s == nil {
		return
	}
	s.inFlight.Add(-1)
	if !counted {
		return
	}
	before := s.healthy(now)
	s.record(latency, ok, now)
	if ok {
		b.p95.add(latency)
	}
	if v := b.view.Load(); v != nil && (!ok || !before) {
		v.recount(now)
	}
}

// Overtaken records that a request was given up after elapsed, because a hedged one was answered first. Its latency is
// at least elapsed.
func (b *Balancer) Overtaken(t *locator.Table, route *locator.Route, now time.Time, elapsed time.Duration) {
	s := b.stat(t, route, now)
	if s == nil {
		return
	}
	s.inFlight.Add(-1)
	if elapsed > s.latency(now) {
		s.observe(elapsed, now)
	}
}

// Report records the load that a target, or the host that dispatches for it, stated at at.
func (b *Balancer) Report(t *locator.Table, route *locator.Route, load float64, at time.Time, maxAge time.Duration) {
	if s := b.stat(t, route, at); s != nil {
		s.report.Store(&report{
			load:  load,
			until: at.Add(maxAge),
		})
	}
}

// HedgeDelay returns the wait before a hedged attempt: after, or the recent 95th percentile if that is greater.
func (b *Balancer) HedgeDelay(after time.Duration) time.Duration {
	return max(after, b.p95.value())
}

// stat finds what is known of a target. The table may have been replaced while its request was in progress.
func (b *Balancer) stat(t *locator.Table, route *locator.Route, now time.Time) *stat {
	v := b.view.Load()
	if v == nil {
		v = b.viewOf(t, now)
	}
	if v.table == t {
		for i := range t.Routes {
			if &t.Routes[i] == route {
				return v.stats[i]
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if s := b.stats[route.Target]; s != nil && s.incarnation == route.Incarnation {
		return s
	}
	return nil
}
