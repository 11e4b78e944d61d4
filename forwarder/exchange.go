package forwarder

import (
	"context"
	"net/http"
	"strings"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
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
	reasonSuspect     = "suspect"
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
	// grantWait is how long a new owner may know of its keys later than this host does: the grant is on its way when the
	// change of ownership is committed.
	grantWait = 30 * time.Millisecond
	// maxSends bounds the attempts in all: those that were turned away do not count as runs.
	maxSends = 4
	// maxStale bounds the attempts at owners that do not hold the key yet.
	maxStale = 3
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
	// settleTime is how long after the round trip of a new connection a target may reset it for being one too many: to
	// accept one takes about 1 ms.
	settleTime = time.Millisecond
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
	// content is the fingerprint of the request, zero until it is asked for.
	content uint64

	// held is the number of bytes of answers that were reserved.
	held int64

	tried []registrar.Incarnation
	sends int
	// ran is the number of attempts in which a target may have run the request.
	ran int
	// lastErr and result describe the last attempt, for the log.
	lastErr string
	result  string
	// stale says that the owner did not hold the key, and staleTries how often that was said.
	stale      bool
	staleTries int
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
		if x.crashes() {
			return x.giveUp(reasonSuspect, returnSuspect)
		}
		t, refusal := x.target(ctx)
		if t == nil {
			if ctx.Err() != nil {
				return x.timedOut(ctx)
			}
			return refusal
		}
		if x.sends > 0 && !x.f.budget(x.service.Name).Take(x.f.opts.Limits.RetryShare) {
			return x.giveUp(reasonOverloaded, x.comeBack)
		}
		a, again := x.attempt(ctx, t)
		if a != nil {
			return a
		}
		if ctx.Err() != nil {
			return x.timedOut(ctx)
		}
		if !again || x.ran >= max(1, x.route.MaxAttempts) || x.sends >= maxSends || time.Until(x.limit) < minAttempt {
			return x.giveUp(x.result, x.comeBack)
		}
	}
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
