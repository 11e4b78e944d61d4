// Package balancer is a load balancer over the targets of a shared service. It picks by power of two choices with the
// requests in progress and the recent latency, avoids targets that fail repeatedly, and sets the delay of hedged
// attempts.
package balancer

import (
	"sync"
	"sync/atomic"
	"time"

	"bramleyline.example/bramleyline/locator"
)

const (
	// maxDraws is the number of times that two targets are drawn before all are scanned, where an unhealthy one is
	// accepted if there is no other.
	maxDraws = 4
	// panicPercent is the panic threshold: the share of unhealthy targets, in percent, from which all count as healthy.
	// Then the fault is more likely shared (the network, this host) than the targets', and the rest could not carry the
	// load.
	panicPercent = 50
	// tiePercent is the difference, in percent, below which two scores count as equal.
	tiePercent = 10
)

// Balancer picks by power of two choices. It is safe for concurrent use; picking takes no lock unless the table
// changed.
type Balancer struct {
	// DataCentre is the data centre of this host. Its targets are preferred to others that are equal.
	DataCentre string
	// Seed makes the draws repeatable.
	Seed uint64

	draws atomic.Uint64
	view  atomic.Pointer[view]
	p95   quantile
	mu    sync.Mutex
	stats map[string]*stat
}

// view joins the routes of one table to the statistics of their targets.
type view struct {
	table *locator.Table
	// stats holds the statistics of each route, in the order of the table.
	stats []*stat
	// unhealthy is the number of unhealthy targets.
	unhealthy atomic.Int64
}

// viewOf returns the view of t, and makes it if the table has changed. Incarnations that are already known keep their
// statistics.
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
	v.recountUnhealthy(now)
	b.view.Store(&v)
	return &v
}

func (v *view) recountUnhealthy(now time.Time) {
	n := int64(0)
	for _, s := range v.stats {
		if !s.healthy(now) {
			n++
		}
	}
	v.unhealthy.Store(n)
}

// Choose returns the route for a request, nil if no target takes new requests. Targets named in except are chosen only
// if there is no other. The caller has to call Begin before it sends the request.
func (b *Balancer) Choose(t *locator.Table, now time.Time, except ...string) *locator.Route {
	n := len(t.Routes)
	if n == 0 {
		return nil
	}
	v := b.viewOf(t, now)
	ignoreHealth := v.unhealthy.Load()*100 >= int64(n)*panicPercent
	for range maxDraws {
		draw := mix(b.Seed + b.draws.Add(1))
		i := int(draw % uint64(n))
		j := i
		if n > 1 {
			j = (i + 1 + int((draw>>32)%uint64(n-1))) % n
		}
		okI := b.usable(v, i, now, ignoreHealth, except)
		okJ := b.usable(v, j, now, ignoreHealth, except)
		switch {
		case okI && okJ:
			return &t.Routes[b.better(v, i, j, now)]
		case okI:
			return &t.Routes[i]
		case okJ:
			return &t.Routes[j]
		}
	}
	// No draw found a usable target, so all are scanned for one, or else for any that takes new requests.
	start := int(mix(b.Seed+b.draws.Add(1)) % uint64(n))
	var fallback *locator.Route
	for k := range n {
		i := (start + k) % n
		if b.usable(v, i, now, ignoreHealth, except) {
			return &t.Routes[i]
		}
		if r := &t.Routes[i]; takesWork(r) && (fallback == nil || contains(except, fallback.Target)) {
			fallback = r
		}
	}
	return fallback
}

func takesWork(r *locator.Route) bool {
	return !r.Releasing && !r.OutOfService
}

// usable reports whether the i-th target may be chosen in a draw.
func (b *Balancer) usable(v *view, i int, now time.Time, ignoreHealth bool, except []string) bool {
	r := &v.table.Routes[i]
	return takesWork(r) && !contains(except, r.Target) && (ignoreHealth || v.stats[i].healthy(now))
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
	si := (v.stats[i].load(now) + 1) * float64(max(1, li))
	sj := (v.stats[j].load(now) + 1) * float64(max(1, lj))
	if diff := si - sj; diff*100 < tiePercent*sj && -diff*100 < tiePercent*si {
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
	if s := b.statOf(t, route, now); s != nil {
		s.inFlight.Add(1)
	}
}

// End records the result of a request. ok says that the target answered. counted is false for a result that shows
// nothing about the target, such as that of a cancelled request.
func (b *Balancer) End(t *locator.Table, route *locator.Route, now time.Time, latency time.Duration, ok, counted bool) {
	s := b.statOf(t, route, now)
	if s == nil {
		return
	}
	s.inFlight.Add(-1)
	if !counted {
		return
	}
	wasHealthy := s.healthy(now)
	s.record(latency, ok, now)
	if ok {
		b.p95.add(latency)
	}
	if v := b.view.Load(); v != nil && (!ok || !wasHealthy) {
		v.recountUnhealthy(now)
	}
}

// Cancelled records that a request was cancelled after elapsed, because a hedged one was answered first. Its latency is
// at least elapsed.
func (b *Balancer) Cancelled(t *locator.Table, route *locator.Route, now time.Time, elapsed time.Duration) {
	s := b.statOf(t, route, now)
	if s == nil {
		return
	}
	s.inFlight.Add(-1)
	if elapsed > s.latency(now) {
		s.observe(elapsed, now)
	}
}

// Report records the load, in requests, that a target or the host that dispatches for it reported at reportedAt. It is
// ignored after maxAge.
func (b *Balancer) Report(t *locator.Table, route *locator.Route, load float64, reportedAt time.Time, maxAge time.Duration) {
	if s := b.statOf(t, route, reportedAt); s != nil {
		s.report.Store(&report{
			load:  load,
			until: reportedAt.Add(maxAge),
		})
	}
}

// HedgeDelay returns the wait before a hedged attempt: after, or the recent 95th percentile if that is greater.
func (b *Balancer) HedgeDelay(after time.Duration) time.Duration {
	return max(after, b.p95.value())
}

// statOf returns the statistics of the target of route, nil if its incarnation is no longer known: the table may have
// been replaced while the request was in progress.
func (b *Balancer) statOf(t *locator.Table, route *locator.Route, now time.Time) *stat {
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
