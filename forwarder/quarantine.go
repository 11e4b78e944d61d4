package forwarder

import (
	"net"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// crashLimit is the number of lost targets after which the request that they were running is refused: a single loss
	// may be a coincidence, and the requirement is that a request crashes three targets at most.
	crashLimit = 2
	// quarantineTime is how long such a request is refused after the last loss.
	quarantineTime = 2 * time.Minute
	// dialTimeout bounds the test connection that shows whether a target still listens; between data centres it takes
	// about 4 ms.
	dialTimeout = 200 * time.Millisecond
	// retryAfterSuspect is the Retry-After delay for the callers of such requests.
	retryAfterSuspect = 30 * time.Second
)

// quarantineRequest identifies the request to the quarantiner by a hash of its content, since a caller that retries
// gives it a new ID. The hash is computed once.
func (x *exchange) quarantineRequest() quarantiner.Request {
	if x.fingerprint == 0 {
		x.fingerprint = fingerprint(x.req)
	}
	return quarantiner.Request{
		Service:     x.service.Name,
		Fingerprint: x.fingerprint,
	}
}

func fingerprint(r *acceptor.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.URI} {
		// Writes to a hash never fail.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// quarantined reports whether the request must be refused because targets were lost while they ran it.
func (x *exchange) quarantined() bool {
	q := x.f.opts.Quarantiner
	if q == nil || !q.MustRefuse(x.quarantineRequest(), crashLimit, quarantineTime, time.Now()) {
		return false
	}
	x.f.opts.Log.Info("request in quarantine", "request", x.call.ID, "fingerprint", x.fingerprint, "service", x.service.Name)
	return true
}

// trackAttempt reports to the quarantiner that the request is sent to t. The returned function records the end of the
// attempt.
func (x *exchange) trackAttempt(t *viewer.Target, start time.Time) func(f *sender.Fault) {
	q := x.f.opts.Quarantiner
	if q == nil {
		return func(*sender.Fault) {}
	}
	incarnation := uint64(t.Born.UnixMilli())
	tracker := q.Tracker(x.service.Name, t.ID, incarnation, start)
	req := x.quarantineRequest()
	run := tracker.Begin(req)
	return func(f *sender.Fault) {
		switch {
		case f == nil:
			tracker.Completed(run, req)
		case f.MayHaveRun:
			tracker.Interrupted(run, f.Severed, time.Now())
			if f.Severed && !listens(t) {
				x.f.opts.Log.Info("target lost while it ran a request", "request", x.call.ID, "fingerprint", x.fingerprint,
					"target", t.ID, "service", x.service.Name)
				q.Lost(x.service.Name, t.ID, incarnation, time.Now())
			}
		default:
			tracker.Remove(run)
		}
	}
}

// listens reports whether t still accepts connections. After a severed connection this distinguishes a lost target from
// a live one that only lost the answer. A target that cannot be reached in time counts as listening.
func listens(t *viewer.Target) bool {
	conn, err := net.DialTimeout("tcp", t.Addr.String(), dialTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}
