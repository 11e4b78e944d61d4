package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/viewer"
)

// logStaleness is the staleness of the view from which each answer is logged.
const logStaleness = time.Second

// logAnswer logs late answers, those to requests that were sent by a stale view, and a sample of the others.
func (x *exchange) logAnswer(t *viewer.Target, status int, took time.Duration, load *selector.Load) {
	total := time.Since(x.req.Arrived)
	late := x.route.Objective > 0 && total+x.age > x.route.Objective
	if !late && x.staleness < logStaleness && x.f.onTimeAnswers.Add(1)%logSampleInterval != 0 {
		return
	}
	if load == nil {
		load = &selector.Load{}
	}
	x.f.opts.Log.Info("answered", "request", x.call.ID, "route", x.route.Name, "service", x.service.Name, "key", x.keyText(),
		"target", t.ID, "status", status, "late", late, "took", total.Milliseconds(), "atTarget", took.Milliseconds(),
		"objective", x.route.Objective.Milliseconds(), "sends", x.attempts,
		"expected", x.f.serviceTime(x.route.Name).expected().Milliseconds(), "running", load.Running,
		"waiting", load.Waiting, "slots", load.Slots, "slowness", load.Slowness, "age", x.age.Milliseconds(), "index", x.index(),
		"queued", x.queued.Milliseconds(), "staleness", x.staleness.Milliseconds())
}

// giveUp ends the request without an answer of a target: with a refusal if no target can have run it, otherwise with a
// failure of unknown outcome.
func (x *exchange) giveUp(reason string, retryAfter time.Duration) *acceptor.Answer {
	if x.possibleRuns > 0 {
		return x.fail(http.StatusBadGateway, reasonUnknown)
	}
	return x.refuse(reason, retryAfter)
}

func (x *exchange) contextEnded(ctx context.Context) *acceptor.Answer {
	if ctx.Err() == context.Canceled {
		x.result = reasonCallerLeft
		return &acceptor.Answer{
			Abort: true,
		}
	}
	if x.possibleRuns > 0 {
		return x.fail(http.StatusGatewayTimeout, reasonDeadline)
	}
	return x.refuse(reasonDeadline, retryAfterNoTarget)
}

// refuse returns the answer that says that the request did not run and may be retried after the delay retryAfter.
func (x *exchange) refuse(reason string, retryAfter time.Duration) *acceptor.Answer {
	a := x.fail(http.StatusServiceUnavailable, reason)
	a.Header = http.Header{
		"Retry-After": {strconv.FormatFloat(retryAfter.Seconds(), 'f', 2, 64)},
	}
	return a
}

func (x *exchange) fail(status int, reason string) *acceptor.Answer {
	x.result = reason
	x.f.opts.Log.Info("request failed", "request", x.call.ID, "route", x.routeName(), "service", x.service.Name,
		"key", x.keyText(), "status", status, "reason", reason, "detail", x.lastErr, "sends", x.attempts,
		"took", time.Since(x.req.Arrived).Milliseconds(), "index", x.index(), "newsAge", x.viewAge().Milliseconds(),
		"priority", x.priority(), "age", x.age.Milliseconds(), "pressure", x.pressure())
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

// viewAge returns the time since a control host last confirmed the view of this host.
func (x *exchange) viewAge() time.Duration {
	if x.f.opts.ViewAge == nil {
		return 0
	}
	return x.f.opts.ViewAge()
}

// viewStaleness returns the time since the view of this host was last known to have every committed change.
func (x *exchange) viewStaleness() time.Duration {
	if x.f.opts.Staleness == nil {
		return 0
	}
	return x.f.opts.Staleness()
}

func (x *exchange) routeName() string {
	if x.route == nil {
		return ""
	}
	return x.route.Name
}

func (x *exchange) priority() int {
	if x.route == nil {
		return 0
	}
	return x.route.Priority
}

// pressure returns the demand for the service as a multiple of its usable capacity, zero if it is not known.
func (x *exchange) pressure() float64 {
	if x.load == nil {
		return 0
	}
	return x.load.prioritizer.Pressure()
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
