// Package dispatcher is the admission control in front of each target: an adaptive concurrency limit and a bounded
// queue that is fair between keys. A host sends requests only to targets that it dispatches for and whose lease it
// holds, and refuses a request that would have to wait and cannot be answered before its deadline.
package dispatcher

import (
	"context"
	"expvar"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/timekeeper"
)

var counters = expvar.NewMap("dispatcher")

var (
	errQueueFull = errors.New("queue of the target is full")
	errTooLate   = errors.New("request can no longer be run before its deadline")
	errLost      = errors.New("target was lost while the request was waiting")
)

// Sketch finds the hot keys of one target. A lane calls it under its lock, so it need not be safe for concurrent use.
type Sketch interface {
	Add(key string)
	// Top returns the hot keys with their counts.
	Top() map[string]uint32
}

// Links notices the loss of a host's links to targets from its attempts.
type Links interface {
	// Begin and End record an attempt, and whether the target answered it. Failed records one that failed for lack of a
	// connection.
	Begin(now time.Time)
	End(now time.Time, answered bool)
	Failed(now time.Time)
}

// Options configures a Dispatcher.
type Options struct {
	Locator *locator.Current
	Sender  *sender.Sender
	// Quarantiner refuses requests that crash their targets.
	Quarantiner *quarantiner.Quarantiner
	// Sketch returns a new Sketch for one incarnation of a target. If it is nil, hot keys are not reported.
	Sketch func() Sketch
	// Links notices the loss of this host's links to targets; it may be nil.
	Links Links
	// Log receives the changes of limits that targets state; it may be nil.
	Log *log.Logger
}

// Job is a request for a target that this host dispatches for.
type Job struct {
	Service *configurer.Service
	// Table is the routing table that Route was looked up in.
	Table *locator.Table
	// Key is empty if the request has none, which only a shared service allows.
	Key    string
	Slot   keyer.Slot
	Route  *locator.Route
	Method string
	URI    string
	Host   string
	Header http.Header
	Body   []byte
	// Identity is the request ID that the router assigned. CallerIdentity is the caller's own, empty if it sent none.
	Identity       string
	CallerIdentity string
	Fingerprint    uint64
	Deadline       time.Time
	// MayRetry reports whether the retry budget allows another attempt, after the target itself rejected one as
	// overloaded or cold. It is nil for a request that another target can run.
	MayRetry func() bool
	// Queued is the total time that the request waited for a request slot. Dispatch adds to it.
	Queued time.Duration
}

// suspectID identifies the request in the records of suspect requests, by the caller's identity if it gave one.
func (j *Job) suspectID() quarantiner.Request {
	r := quarantiner.Request{
		Service:     j.Service.Name,
		Identity:    j.CallerIdentity,
		Fingerprint: j.Fingerprint,
	}
	if r.Identity == "" {
		r.Identity = j.Identity
	}
	return r
}

// Dispatcher holds a lane for each incarnation of a target. Make it with New.
type Dispatcher struct {
	opts Options
	mu   sync.Mutex
	// lanes is copied on write under mu, so that readers take no lock.
	lanes atomic.Pointer[map[laneID]*lane]
}

// New returns a Dispatcher without lanes.
func New(opts Options) *Dispatcher {
	if opts.Quarantiner == nil {
		opts.Quarantiner = &quarantiner.Quarantiner{}
	}
	d := Dispatcher{
		opts: opts,
	}
	d.lanes.Store(&map[laneID]*lane{})
	return &d
}

// lane returns the lane of id, and makes it if there is none.
func (d *Dispatcher) lane(id laneID) *lane {
	if l, ok := (*d.lanes.Load())[id]; ok {
		return l
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	old := *d.lanes.Load()
	if l, ok := old[id]; ok {
		return l
	}
	l := lane{
		id:         id,
		quarantine: d.opts.Quarantiner.Tracker(id.service, id.target, id.incarnation, time.Now()),
	}
	if d.opts.Sketch != nil {
		l.sketch = d.opts.Sketch()
	}
	lanes := make(map[laneID]*lane, len(old)+1)
	for k, v := range old {
		lanes[k] = v
	}
	lanes[id] = &l
	d.lanes.Store(&lanes)
	return &l
}

// Admissible reports whether a request may be sent on route at now: this host dispatches for the target and holds a
// valid lease, the route is not being handed over, and the target is not out of service.
func Admissible(route *locator.Route, now time.Time) bool {
	return route != nil && route.Local && !route.Releasing && !route.OutOfService && route.Lease.Valid(now)
}

// resolve returns the route of j in the current routing table, nil if there is none: the route of its key, or for a
// shared service that of its target.
func (d *Dispatcher) resolve(j *Job) *locator.Route {
	table, ok := d.opts.Locator.Load().Table(j.Service.Name)
	if !ok {
		return nil
	}
	if table == j.Table {
		return j.Route
	}
	if table.Keyed {
		_, route := table.OwnerOf(j.Key)
		return route
	}
	for i := range table.Routes {
		if table.Routes[i].Target == j.Route.Target {
			return &table.Routes[i]
		}
	}
	return nil
}

// check returns a fault if the route of j is no longer current or admissible, or if the request is suspected of
// crashing its targets.
func (d *Dispatcher) check(j *Job) *sender.Fault {
	now := time.Now()
	route := d.resolve(j)
	if !Admissible(route, timekeeper.Now()) {
		return sender.NewRefusal(sender.ReasonStaleRoute, "this host may not send to the target")
	}
	if route != j.Route && (route.Target != j.Route.Target || route.Incarnation != j.Route.Incarnation || route.Epoch != j.Route.Epoch) {
		return sender.NewRefusal(sender.ReasonStaleRoute, "the slot has another owner or epoch")
	}
	cfg := &j.Service.Suspect
	if d.opts.Quarantiner.MustRefuse(j.suspectID(), cfg.CrashLimit, cfg.SuspectTime, now) {
		return sender.NewFault("suspect", http.StatusUnprocessableEntity, errors.New("targets were lost while they ran this request"))
	}
	return nil
}

// Dispatch waits for a free request slot at the target of j and sends the request. It returns the answer once its
// header has been read, or a fault.
func (d *Dispatcher) Dispatch(ctx context.Context, j *Job) (*sender.Response, *sender.Fault) {
	if f := d.check(j); f != nil {
		return nil, f
	}
	l := d.lane(laneID{
		service:     j.Service.Name,
		target:      j.Route.Target,
		incarnation: j.Route.Incarnation,
	})
	for retries := 0; ; retries++ {
		start := time.Now()
		if f := l.acquire(ctx, &j.Service.Limits, j.Key, j.Slot, start, j.Deadline); f != nil {
			return nil, f
		}
		j.Queued += time.Since(start)
		resp, f := d.send(ctx, l, j)
		if f == nil || !f.StatedByPeer || retries >= maxRejectionRetries || (f.Reason != "overloaded" && f.Reason != "cold") ||
			j.MayRetry == nil || !j.MayRetry() {
			return resp, f
		}
		select {
		case <-time.After(rejectionBackoff << retries):
		case <-ctx.Done():
			return nil, f
		}
	}
}

// A target that rejects a request, although it has a free request slot by this host's count, is still busy with an
// abandoned request, or became cold. rejectionBackoff is the wait before the first retry and doubles for each further
// one; maxRejectionRetries bounds the retries.
const (
	rejectionBackoff    = 5 * time.Millisecond
	maxRejectionRetries = 2
)

// send makes one attempt. The request occupies its slot in l until the answer has ended.
func (d *Dispatcher) send(ctx context.Context, l *lane, j *Job) (*sender.Response, *sender.Fault) {
	start := time.Now()
	fields := make([]sender.Field, 0, 6)
	fields = append(fields,
		sender.Field{Name: "Bramleyline-Service", Value: j.Service.Name},
		sender.Field{Name: "Bramleyline-Request", Value: j.Identity},
		sender.Field{Name: "Bramleyline-Deadline", Value: strconv.FormatInt(max(1, time.Until(j.Deadline).Milliseconds()), 10)},
	)
	// A target of a shared service owns no hash slot, and would reject a request that names one.
	if j.Service.Keyed {
		fields = append(fields,
			sender.Field{Name: "Bramleyline-Slot", Value: strconv.FormatUint(uint64(j.Slot), 10)},
			sender.Field{Name: "Bramleyline-Epoch", Value: strconv.FormatUint(uint64(j.Route.Epoch), 10)},
		)
	}
	if j.CallerIdentity != "" {
		fields = append(fields, sender.Field{Name: "Bramleyline-Caller-Request", Value: j.CallerIdentity})
	}
	req := j.suspectID()
	run := l.quarantine.Begin(req)
	if d.opts.Links != nil {
		d.opts.Links.Begin(start)
	}
	resp, fault := d.opts.Sender.Send(ctx, &sender.Request{
		Addr:        j.Route.Addr,
		Method:      j.Method,
		URI:         j.URI,
		Host:        j.Host,
		Header:      j.Header,
		Fields:      fields,
		Body:        [][]byte{j.Body},
		Identity:    j.Identity,
		Deadline:    j.Deadline,
		Connections: j.Service.Limits.TargetConnections,

		UniqueIdentity: true,
		Check: func() error {
			if f := d.check(j); f != nil {
				return f
			}
			if l.id.incarnation != j.Route.Incarnation || j.Route.OutOfService || j.Route.Releasing {
				asserter.Check(false, asserter.DrainedTarget, "request %s for target %s, which takes no new work", j.Identity,
					j.Route.Target)
			}
			return nil
		},
	})
	d.observeLinks(fault)
	if fault == nil {
		if limit, logDue := l.observeLimit(resp.Header); logDue && d.opts.Log != nil {
			d.opts.Log.Info("limit of target", "target", l.id.target, "service", l.id.service, "limit", limiter.Text(limit))
		}
		resp, fault = parseRejection(resp)
	}
	if fault != nil {
		l.finish(run, req, start, false, fault)
		return nil, fault
	}
	resp.OnEnd = func(whole bool, f *sender.Fault) {
		l.finish(run, req, start, whole, f)
	}
	return resp, nil
}

// observeLinks passes the end of an attempt to Links. An answer shows links once its header has arrived.
func (d *Dispatcher) observeLinks(f *sender.Fault) {
	if d.opts.Links == nil {
		return
	}
	now := time.Now()
	d.opts.Links.End(now, f == nil)
	if f != nil && (f.Reason == sender.ReasonUnreachable || f.Severed) {
		d.opts.Links.Failed(now)
	}
}

// parseRejection returns a fault in place of an answer whose headers state that the target did not run the request. A rejection
// that breaks off proves nothing.
func parseRejection(resp *sender.Response) (*sender.Response, *sender.Fault) {
	switch resp.Status {
	case http.StatusConflict, http.StatusTooManyRequests, http.StatusServiceUnavailable:
	default:
		return resp, nil
	}
	if resp.Header.Get("Bramleyline-Outcome") != "notRun" {
		return resp, nil
	}
	_, f := resp.ReadAll()
	_ = resp.Close()
	if f != nil {
		return nil, f
	}
	f = sender.NewRefusal(resp.Header.Get("Bramleyline-Reason"), "target did not run the request")
	f.StatedByPeer = true
	return nil, f
}
