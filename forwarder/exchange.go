package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

// Reasons of refusals and failures, as logs and counters show them.
const (
	reasonNoTable    = "noTable"
	reasonNoRoute    = "noRoute"
	reasonBadRequest = "badRequest"
	reasonNoOwner    = "noOwner"
	reasonNoTarget   = "noTarget"
	reasonOverloaded = "overloaded"
	// reasonUnreachable is for an owner that did not answer the last attempts of this host.
	reasonUnreachable = "ownerUnreachable"
	reasonDeadline    = "deadline"
	reasonUnknown     = "outcomeUnknown"
	reasonCallerLeft  = "callerLeft"
)

const (
	// ownerWait bounds the wait for the owner of a key that is being moved: a hand-over takes as long as the work in
	// progress on the key.
	ownerWait = 600 * time.Millisecond
	// ownerWaitShare is the share of the time left that this wait may take.
	ownerWaitShare = 0.4
	// minAttempt is the shortest time left in which another attempt is worth a target's work.
	minAttempt = 10 * time.Millisecond
	// misdirectWait is the wait for news after a target did not hold the key that it should own.
	misdirectWait = 150 * time.Millisecond
	// returnNoOwner, returnNoTarget and returnNoTable are the times after which a refused caller may come back: about
	// how long it takes until a key has an owner again, a target is free again, and a host that started has its table.
	returnNoOwner  = 500 * time.Millisecond
	returnNoTarget = 200 * time.Millisecond
	returnNoTable  = time.Second
	// returnAtOnce is for callers whom a target turned away although it could have served them.
	returnAtOnce = 10 * time.Millisecond
	// sampleOf is the number of answers on time of which one is logged.
	sampleOf = 64
	// connectionShare is the share of a target's connections that all hosts together use: a target allows fewer while its
	// queue is long, and control hosts need one.
	connectionShare = 0.7
	// minConnections is what a host may use where there are many hosts.
	minConnections = 2
)

// exchange is one caller's request on its way.
type exchange struct {
	f       *Forwarder
	req     *acceptor.Request
	call    Call
	route   *matcher.Route
	service matcher.Service
	limit   time.Time
	header  http.Header

	tried []registrar.Life
	sends int
	// maybeRun says that a target may have run the request, and ranAt which.
	maybeRun bool
	lastErr  string
	result   string
	// comeBack is when a caller may return after the last attempt was turned away.
	comeBack time.Duration
}

func (x *exchange) run(ctx context.Context) *acceptor.Answer {
	a := x.answer(ctx)
	x.record(a)
	return a
}

func (x *exchange) answer(ctx context.Context) *acceptor.Answer {
	v, _ := x.f.opts.View()
	if v == nil || v.Table == nil {
		return x.refuse(reasonNoTable, returnNoTable)
	}
	route, ok := v.Table.Match(x.req.Host, x.req.Path)
	if !ok {
		return x.fail(http.StatusNotFound, reasonNoRoute)
	}
	x.route = route
	var err error
	if x.call, err = x.f.opts.Codec.Call(x.req.Header); err != nil {
		x.lastErr = err.Error()
		return x.fail(http.StatusBadRequest, reasonBadRequest)
	}
	patience := route.Timeout
	if p := x.call.Patience; p > 0 && (patience == 0 || p < patience) {
		patience = p
	}
	if patience == 0 {
		patience = matcher.MaxTimeout
	}
	x.limit = x.req.Arrived.Add(patience)
	name := x.f.serviceOf(route)
	pool, ok := v.Pool(name)
	if !ok {
		return x.refuse(reasonNoTarget, returnNoTarget)
	}
	x.service = pool.Service
	if x.service.Keyed && !x.call.HasKey {
		x.lastErr = "request has no key"
		return x.fail(http.StatusBadRequest, reasonBadRequest)
	}
	x.header = forwarded(x.req.Header, x.f.opts.Codec.Own)
	x.f.budget(name).First(x.f.opts.Limits.RetryShare)
	if x.service.Keyed && x.f.opts.Meter != nil {
		x.f.opts.Meter.Demand(name, x.call.Key, x.f.workOf(route.Name).expected())
	}
	ctx, cancel := context.WithDeadline(ctx, x.limit)
	defer cancel()
	return x.attempts(ctx)
}

// attempts sends the request until there is an answer to deliver or nothing is left to try.
func (x *exchange) attempts(ctx context.Context) *acceptor.Answer {
	for {
		t, refusal := x.target(ctx)
		if t == nil {
			if ctx.Err() != nil {
				return x.timedOut(ctx)
			}
			return refusal
		}
		if x.sends > 0 && !x.f.budget(x.service.Name).Take(x.f.opts.Limits.RetryShare) {
			return x.giveUp(reasonOverloaded, returnNoTarget)
		}
		a, again := x.attempt(ctx, t)
		if a != nil {
			return a
		}
		if ctx.Err() != nil {
			return x.timedOut(ctx)
		}
		if !again || len(x.tried) >= max(1, x.route.MaxAttempts) || time.Until(x.limit) < minAttempt {
			return x.giveUp(x.result, x.comeBack)
		}
	}
}

// target returns where the request goes next, or the answer if it can go nowhere.
func (x *exchange) target(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	if x.service.Keyed {
		return x.owner(ctx)
	}
	now := time.Now()
	v, _ := x.f.opts.View()
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, x.giveUp(reasonNoTarget, returnNoTarget)
	}
	need := selector.Need{
		Work:      x.f.workOf(x.route.Name).expected(),
		Objective: x.route.Objective - now.Sub(x.req.Arrived),
		Limit:     x.limit.Sub(now),
	}
	if t := x.f.opts.Selector.Choose(now, pool, need, x.tried); t != nil {
		if e := x.f.opts.Selector.Estimate(now, t, need.Work); e.Wait < need.Limit {
			return t, nil
		}
		return nil, x.giveUp(reasonOverloaded, returnNoTarget)
	}
	if t := x.coldTarget(now, v, pool); t != nil {
		return t, nil
	}
	return nil, x.giveUp(reasonNoTarget, returnNoTarget)
}

// coldTarget returns a cold target that this host may still send to, nil if there is none.
func (x *exchange) coldTarget(now time.Time, v *viewer.View, pool *viewer.Pool) *viewer.Target {
	for i := range pool.Targets {
		t := &pool.Targets[i]
		if !t.Cold || t.Draining || t.Out || containsLife(x.tried, t.Life) {
			continue
		}
		if x.takeCold(now, v, t) {
			return t
		}
	}
	return nil
}

func (x *exchange) takeCold(now time.Time, v *viewer.View, t *viewer.Target) bool {
	l := x.f.opts.Limits
	share := selector.ColdShare(x.service.ColdRate*l.ColdFactor+l.ColdSlack, v, t)
	return x.f.opts.Selector.TakeCold(now, t, share)
}

// owner returns the target that owns the key. While the key is being moved it waits for its next owner, within bounds.
func (x *exchange) owner(ctx context.Context) (*viewer.Target, *acceptor.Answer) {
	wait := min(ownerWait, time.Duration(ownerWaitShare*float64(time.Until(x.limit))))
	until := time.Now().Add(wait)
	for {
		v, changed := x.f.opts.View()
		now := time.Now()
		t, releasing := x.ownerIn(v, now)
		if t != nil {
			return x.admit(now, v, t)
		}
		if !releasing || !now.Before(until) {
			return nil, x.giveUp(reasonNoOwner, returnNoOwner)
		}
		if !x.await(ctx, changed, until.Sub(now)) {
			return nil, x.giveUp(reasonNoOwner, returnNoOwner)
		}
	}
}

// ownerIn returns the owner of the key in v, if it may be sent to; soon says that there will be another one in a moment.
func (x *exchange) ownerIn(v *viewer.View, now time.Time) (t *viewer.Target, soon bool) {
	pool, ok := v.Pool(x.service.Name)
	if !ok {
		return nil, false
	}
	t, releasing := pool.Owner(x.call.Key)
	if releasing {
		return nil, true
	}
	if t == nil || containsLife(x.tried, t.Life) && x.result == sender.ReasonStaleRoute {
		return nil, t != nil
	}
	l := x.f.opts.Limits
	if t.Draining && now.Sub(t.Since) > l.DrainTime || t.Out && now.Sub(t.Since) > l.OutTime {
		return nil, true
	}
	return t, false
}

// admit refuses a request that its owner could not begin in time.
func (x *exchange) admit(now time.Time, v *viewer.View, t *viewer.Target) (*viewer.Target, *acceptor.Answer) {
	if x.f.opts.Selector.Avoided(now, t.Life) {
		return nil, x.giveUp(reasonUnreachable, returnNoOwner)
	}
	if t.Cold && !x.takeCold(now, v, t) {
		return nil, x.giveUp(reasonOverloaded, returnNoOwner)
	}
	work := x.f.workOf(x.route.Name).expected()
	e := x.f.opts.Selector.Estimate(now, t, work)
	if e.InFlight >= x.connections() {
		return nil, x.giveUp(reasonOverloaded, returnNoTarget)
	}
	if left := min(x.limit.Sub(now), max(work/2, x.route.Objective-now.Sub(x.req.Arrived)-work/2)); e.Wait >= left {
		return nil, x.giveUp(reasonOverloaded, min(e.Wait-left+returnNoTarget, returnNoOwner))
	}
	return t, nil
}

// await returns true when there is a newer view.
func (x *exchange) await(ctx context.Context, changed <-chan struct{}, limit time.Duration) bool {
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}

// attempt sends the request to t. It returns the answer to deliver, or whether another attempt may be made.
func (x *exchange) attempt(ctx context.Context, t *viewer.Target) (a *acceptor.Answer, again bool) {
	sel := x.f.opts.Selector
	start := time.Now()
	x.sends++
	x.comeBack = returnNoTarget
	if !containsLife(x.tried, t.Life) {
		x.tried = append(x.tried, t.Life)
	}
	work := x.f.workOf(x.route.Name)
	res := selector.Result{
		Work: work.expected(),
	}
	idle := sel.Estimate(start, t, res.Work).Wait == 0
	sel.Begin(start, t.Life)
	defer func() { sel.End(time.Now(), t.Life, res) }()

	resp, body, fault := x.send(ctx, t, start)
	if fault != nil {
		res.Broken = fault.Reason != sender.ReasonCancelled && fault.Reason != sender.ReasonOverloaded && ctx.Err() == nil
		return nil, x.broken(t, fault)
	}
	reply := x.f.opts.Codec.Reply(resp.Status, resp.Header)
	res.Load = reply.Load
	if reply.NotRun {
		res.Failed = !reply.Misdirected
		return nil, x.turnedAway(ctx, t, reply)
	}
	if !resp.Echoed {
		x.maybeRun = true
		x.fault(t, sender.ReasonCrossed, "answer has no identity")
		return nil, x.route.Repeatable
	}
	took := time.Since(start)
	if resp.Status >= http.StatusInternalServerError {
		res.Failed = true
		x.maybeRun = true
		if x.mayRepeat(resp.Status) {
			x.fault(t, "targetFailed", strconv.Itoa(resp.Status))
			return nil, true
		}
	} else {
		// Time in the queue says nothing of the work or of the target's pace.
		if idle && (res.Load == nil || res.Load.Waiting == 0) {
			res.Took = took
			work.learn(took)
		}
	}
	x.pace(t, res)
	x.result = "answered"
	x.logAnswer(t, resp.Status, took, res.Load)
	return &acceptor.Answer{
		Status: resp.Status,
		Header: forwarded(resp.Header, func(string) bool { return false }),
		Body:   body,
	}, false
}

// mayRepeat reports whether another target may do better with a request that a target failed.
func (x *exchange) mayRepeat(status int) bool {
	return x.route.Repeatable && status != http.StatusGatewayTimeout && !x.service.Keyed &&
		len(x.tried) < max(1, x.route.MaxAttempts) && time.Until(x.limit) > 2*x.f.workOf(x.route.Name).expected()
}

func (x *exchange) send(ctx context.Context, t *viewer.Target, start time.Time) (*sender.Response, []byte, *sender.Fault) {
	resp, fault := x.f.opts.Sender.Send(ctx, &sender.Request{
		Addr:         t.Addr,
		Method:       x.req.Method,
		URI:          x.req.URI,
		Host:         x.req.Host,
		Header:       x.header,
		Fields:       x.f.opts.Codec.Fields(x.call, t, x.limit.Sub(start)),
		Body:         x.req.Body,
		Identity:     x.call.ID,
		EchoHeader:   x.f.opts.Codec.EchoHeader(),
		EchoOptional: true,
		Undelimited:  true,
		Deadline:     x.limit,
		Connections:  x.connections(),
	})
	if fault != nil {
		return nil, nil, fault
	}
	body, err := readAll(resp)
	closeErr := resp.Close()
	if err != nil {
		f, ok := err.(*sender.Fault)
		if !ok {
			f = &sender.Fault{
				Reason:     sender.ReasonCut,
				Status:     http.StatusBadGateway,
				MayHaveRun: true,
			}
		}
		return nil, nil, f
	}
	if closeErr != nil {
		x.lastErr = closeErr.Error()
	}
	return resp, body, nil
}

// connections returns how many connections to one target this host may have: the hosts together stay below the number at
// which the target resets further ones.
func (x *exchange) connections() int {
	hosts := 1
	if v, _ := x.f.opts.View(); v != nil {
		hosts = max(1, v.Hosts)
	}
	return max(minConnections, int(connectionShare*float64(x.service.Connections))/hosts)
}

func readAll(r *sender.Response) ([]byte, error) {
	if r.Length < 0 {
		return io.ReadAll(r)
	}
	if r.Length == 0 {
		_, err := r.Read(make([]byte, 1))
		if err == io.EOF {
			err = nil
		}
		return nil, err
	}
	body := make([]byte, r.Length)
	if _, err := io.ReadFull(r, body); err != nil {
		return nil, err
	}
	// The body counts as whole only once its end was read.
	if _, err := r.Read(make([]byte, 1)); err != nil && err != io.EOF {
		return nil, err
	}
	return body, nil
}

// broken handles an attempt without an answer, and reports whether another one may be made.
func (x *exchange) broken(t *viewer.Target, f *sender.Fault) bool {
	x.maybeRun = x.maybeRun || f.MayHaveRun
	x.fault(t, f.Reason, f.Error())
	if !f.MayHaveRun {
		// The connection was refused or none was free: another target may take the request, but a key has only one.
		return !x.service.Keyed
	}
	return x.route.Repeatable && !x.service.Keyed
}

// turnedAway handles a target's statement that it did not run the request, and reports whether another attempt may be
// made.
func (x *exchange) turnedAway(ctx context.Context, t *viewer.Target, r Reply) bool {
	if !r.Misdirected {
		x.fault(t, reasonOverloaded, "target turned the request away")
		if r.Load != nil && r.Load.Running < r.Load.Slots {
			// It has slots free and turns work away at random.
			x.comeBack = returnAtOnce
		}
		return !x.service.Keyed
	}
	x.fault(t, sender.ReasonStaleRoute, "target is another one or does not hold the key")
	if !x.service.Keyed {
		return true
	}
	v, changed := x.f.opts.View()
	if owner, _ := x.ownerIn(v, time.Now()); owner != nil && owner.Life != t.Life {
		return true
	}
	return x.await(ctx, changed, min(misdirectWait, time.Until(x.limit)/3))
}

func (x *exchange) fault(t *viewer.Target, reason, detail string) {
	x.result, x.lastErr = reason, detail
	x.f.opts.Log.Info("attempt", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "key", x.keyText(),
		"target", t.ID, "attempt", x.sends, "outcome", reason, "detail", detail, "mayHaveRun", x.maybeRun,
		"left", time.Until(x.limit).Milliseconds(), "index", x.index())
}

// logAnswer logs answers that are late, and a sample of the others.
func (x *exchange) logAnswer(t *viewer.Target, status int, took time.Duration, load *selector.Load) {
	total := time.Since(x.req.Arrived)
	late := x.route.Objective > 0 && total > x.route.Objective
	if !late && x.f.answered.Add(1)%sampleOf != 0 {
		return
	}
	if load == nil {
		load = &selector.Load{}
	}
	x.f.opts.Log.Info("answered", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "key", x.keyText(),
		"target", t.ID, "status", status, "late", late, "took", total.Milliseconds(), "atTarget", took.Milliseconds(),
		"objective", x.route.Objective.Milliseconds(), "sends", x.sends, "expected", x.f.workOf(x.route.Name).expected().Milliseconds(),
		"running", load.Running, "waiting", load.Waiting, "slots", load.Slots, "slowness", load.Slowness, "index", x.index())
}

// pace tells the meter how fast the target is, if the answer says anything of that.
func (x *exchange) pace(t *viewer.Target, res selector.Result) {
	if x.f.opts.Meter == nil || !x.service.Keyed || res.Took <= 0 {
		return
	}
	x.f.opts.Meter.Pace(x.service.Name, t.ID, res.Took, res.Work)
}

// giveUp ends the request: with a promise that it has not run where that is so.
func (x *exchange) giveUp(reason string, after time.Duration) *acceptor.Answer {
	if x.maybeRun {
		return x.fail(http.StatusBadGateway, reasonUnknown)
	}
	return x.refuse(reason, after)
}

func (x *exchange) timedOut(ctx context.Context) *acceptor.Answer {
	if ctx.Err() == context.Canceled {
		x.result = reasonCallerLeft
		return &acceptor.Answer{
			Abort: true,
		}
	}
	if x.maybeRun {
		return x.fail(http.StatusGatewayTimeout, reasonDeadline)
	}
	return x.refuse(reasonDeadline, returnNoTarget)
}

// refuse promises that the request has not run and says when to come back.
func (x *exchange) refuse(reason string, after time.Duration) *acceptor.Answer {
	a := x.fail(http.StatusServiceUnavailable, reason)
	a.Header = http.Header{
		"Retry-After": {strconv.FormatFloat(after.Seconds(), 'f', 2, 64)},
	}
	return a
}

func (x *exchange) fail(status int, reason string) *acceptor.Answer {
	x.result = reason
	x.f.opts.Log.Info("request failed", "request", x.call.ID, "route", x.routeName(), "service", x.service.Name,
		"key", x.keyText(), "status", status, "reason", reason, "detail", x.lastErr, "sends", x.sends,
		"took", time.Since(x.req.Arrived).Milliseconds(), "index", x.index(), "newsAge", x.newsAge().Milliseconds())
	return &acceptor.Answer{
		Status: status,
	}
}

func (x *exchange) index() uint64 {
	if v, _ := x.f.opts.View(); v != nil {
		return v.Index
	}
	return 0
}

// newsAge is the time since a control host last confirmed what this host knows.
func (x *exchange) newsAge() time.Duration {
	if x.f.opts.NewsAge == nil {
		return 0
	}
	return x.f.opts.NewsAge()
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) keyText() string {
	if !x.call.HasKey {
		return ""
	}
	return strconv.Itoa(int(x.call.Key))
}

func (x *exchange) record(a *acceptor.Answer) {
	if x.f.opts.Recorder == nil || x.route == nil {
		return
	}
	class := recorder.Write
	if x.route.Repeatable {
		class = recorder.Read
	}
	x.f.opts.Recorder.Record(recorder.Entry{
		Service: x.service.Name,
		Class:   class,
		Outcome: x.result + "." + strconv.Itoa(a.Status),
		Latency: time.Since(x.req.Arrived),
	})
}

func containsLife(lives []registrar.Life, life registrar.Life) bool {
	for _, l := range lives {
		if l == life {
			return true
		}
	}
	return false
}

// connectionNamed returns the headers that the Connection header names.
func connectionNamed(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	named := make(map[string]bool)
	for _, v := range values {
		for _, name := range strings.Split(v, ",") {
			named[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return named
}
