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

// giveUp ends the request: with a promise that it has not run where that is so.
func (x *exchange) giveUp(reason string, after time.Duration) *acceptor.Answer {
	if x.ran > 0 {
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
	if x.ran > 0 {
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
