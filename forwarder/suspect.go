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
	// crashLimit is the number of targets that were lost while they ran a request from which it is refused: one loss may
	// be chance, and the users' bound is three.
	crashLimit = 2
	// suspectTime is how long a request is refused after the last loss.
	suspectTime = 2 * time.Minute
	// listenTimeout bounds the look whether a target still listens, which takes about 4 ms between data centres.
	listenTimeout = 200 * time.Millisecond
	// returnSuspect is when the caller of such a request may come back.
	returnSuspect = 30 * time.Second
)

// suspect identifies the request by its content: a caller that sends it again gives it another identity. The content is
// hashed once.
func (x *exchange) suspect() quarantiner.Request {
	if x.content == 0 {
		x.content = fingerprint(x.req)
	}
	return quarantiner.Request{
		Service:     x.service.Name,
		Fingerprint: x.content,
	}
}

func fingerprint(r *acceptor.Request) uint64 {
	h := xxhash.New()
	for _, s := range []string{r.Method, r.Host, r.URI} {
		// A hash takes everything and never fails.
		_, _ = h.WriteString(s)
		_, _ = h.Write([]byte{0})
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// crashes reports whether the request has to be refused because targets were lost while they ran it.
func (x *exchange) crashes() bool {
	q := x.f.opts.Quarantiner
	return q != nil && q.Refused(x.suspect(), crashLimit, suspectTime, time.Now())
}

// watch records that the request is sent to t. The returned function records how that ended.
func (x *exchange) watch(t *viewer.Target, start time.Time) func(f *sender.Fault) {
	q := x.f.opts.Quarantiner
	if q == nil {
		return func(*sender.Fault) {}
	}
	incarnation := uint64(t.Born.UnixMilli())
	lane := q.Lane(x.service.Name, t.ID, incarnation, start)
	req := x.suspect()
	n := lane.Begin(req)
	return func(f *sender.Fault) {
		switch {
		case f == nil:
			lane.Completed(n, req)
		case f.MayHaveRun:
			lane.Broken(n, f.Severed, time.Now())
			if f.Severed && !listens(t) {
				q.Lost(x.service.Name, t.ID, incarnation, time.Now())
			}
		default:
			lane.Ended(n)
		}
	}
}

// listens reports whether t still takes connections. After a severed connection that tells a lost target from one that
// only lost an answer. A target that cannot be reached in time counts as listening.
func listens(t *viewer.Target) bool {
	conn, err := net.DialTimeout("tcp", t.Addr.String(), listenTimeout)
	if err != nil {
		return !errors.Is(err, syscall.ECONNREFUSED)
	}
	_ = conn.Close()
	return true
}
