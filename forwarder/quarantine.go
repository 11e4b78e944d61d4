package forwarder

import (
	"context"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/adjudicator"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// crashLimit is the number of losses of this host after which it refuses a request before the control leader has decided.
	crashLimit = adjudicator.CrashLimit
	// quarantineTime is how long such a request is refused after the last loss if no decision comes.
	quarantineTime = 2 * time.Minute
	// dialTimeout bounds the test connection that shows whether a target still listens; between data centres it takes
	// about 4 ms.
	dialTimeout = 200 * time.Millisecond
	// maxNeighbours is the number of other targets that are tried to tell a lost target from lost links.
	maxNeighbours = 3
	// retryAfterSuspect is the Retry-After delay for the callers of such requests.
	retryAfterSuspect = 30 * time.Second
)

// quarantineRequest identifies the request to the quarantiner by a hash of its content, since a caller that retries
// gives it a new ID. The hash is computed once. The service is left out: the route of the request may move to another one.
func (x *exchange) quarantineRequest() quarantiner.Request {
	if x.fingerprint == 0 {
		x.fingerprint = fingerprint(x.req)
	}
	return quarantiner.Request{
		Fingerprint: x.fingerprint,
	}
}

// mustRefuse asks for the decision of the control leader, or if there is none for the losses of this host. In a trial the
// request may be sent once.
func (x *exchange) mustRefuse(q *quarantiner.Quarantiner) bool {
	v, _ := x.f.opts.View()
	if v.QuarantineLen() > 0 {
		req := x.quarantineRequest()
		if round, trial, ok := v.Quarantined(req.Fingerprint); ok {
			return !q.Decided(req, round, trial)
		}
	}
	return q.MustRefuse(x.quarantineRequest(), crashLimit, quarantineTime, time.Now())
}

func fingerprint(r *acceptor.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.URI} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	for _, part := range r.Body {
		_, _ = h.Write(part)
	}
	return h.Sum64()
}

// quarantined reports whether the request must be refused because targets were lost while they ran it.
func (x *exchange) quarantined() bool {
	q := x.f.opts.Quarantiner
	if q == nil || !x.mustRefuse(q) {
		return false
	}
	x.f.opts.Log.Info("request in quarantine", "request", x.call.ID, "fingerprint", x.fingerprint, "service", x.service.Name)
	return true
}

// trackedAttempt is an attempt that the quarantiner tracks. Exactly one of its methods is called at its end. The zero value
// tracks nothing.
type trackedAttempt struct {
	x       *exchange
	target  *viewer.Target
	tracker *quarantiner.RunTracker
	run     uint64
}

// trackAttempt reports to the quarantiner that the request is sent to t.
func (x *exchange) trackAttempt(t *viewer.Target, start time.Time) trackedAttempt {
	q := x.f.opts.Quarantiner
	if q == nil {
		return trackedAttempt{}
	}
	tracker := q.Tracker(x.service.Name, t.ID, uint64(t.Born.UnixMilli()), start)
	return trackedAttempt{
		x:       x,
		target:  t,
		tracker: tracker,
		run:     tracker.Begin(x.quarantineRequest()),
	}
}

// failed records the end of an attempt without an answer.
func (a trackedAttempt) failed(f *sender.Fault) {
	switch {
	case a.tracker == nil:
	case !f.MayHaveRun:
		a.tracker.Remove(a.run)
	default:
		a.tracker.Interrupted(a.run, f.Severed, time.Now())
		if f.Severed && !a.x.listens(a.target) && a.x.reaches(a.target) {
			a.x.f.opts.Log.Info("target lost while it ran a request", "request", a.x.call.ID, "fingerprint", a.x.fingerprint,
				"target", a.target.ID, "service", a.x.service.Name)
			a.x.f.opts.Quarantiner.Lost(a.x.service.Name, a.target.ID, uint64(a.target.Born.UnixMilli()), time.Now())
		}
	}
}

// crossed records an answer that may belong to another request.
func (a trackedAttempt) crossed() {
	if a.tracker != nil {
		a.tracker.Interrupted(a.run, false, time.Now())
	}
}

// answered records an answer. Only a request that the target ran to a good end cannot have crashed others: rejections are
// frequent at the targets that remain after a crash.
func (a trackedAttempt) answered(status int, notRun bool) {
	switch {
	case a.tracker == nil:
	case notRun || status >= http.StatusInternalServerError:
		a.tracker.Remove(a.run)
	default:
		req := a.x.quarantineRequest()
		a.tracker.Completed(a.run, req)
		v, _ := a.x.f.opts.View()
		if v.QuarantineLen() == 0 {
			return
		}
		if _, _, ok := v.Quarantined(req.Fingerprint); ok {
			a.x.f.opts.Quarantiner.Complete(req.Fingerprint)
		}
	}
}

// reaches reports whether this host reaches other targets than t, of the same data centre if there are any. If it does not,
// it has lost its own links, and a refused connection says nothing about t.
func (x *exchange) reaches(t *viewer.Target) bool {
	v, _ := x.f.opts.View()
	for _, o := range v.Others(t, maxNeighbours) {
		if x.connect(&o) == nil {
			return true
		}
	}
	return false
}

// connect opens and closes a connection to t.
func (x *exchange) connect(t *viewer.Target) error {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dial := x.f.opts.Dial
	if dial == nil {
		dial = (&net.Dialer{}).DialContext
	}
	conn, err := dial(ctx, "tcp", t.Addr.String())
	if err != nil {
		return err
	}
	return conn.Close()
}

// listens reports whether t still accepts connections. After a severed connection this distinguishes a lost target from
// a live one that only lost the answer. A target that cannot be reached in time counts as listening.
func (x *exchange) listens(t *viewer.Target) bool {
	return !errors.Is(x.connect(t), syscall.ECONNREFUSED)
}
