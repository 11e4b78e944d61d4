// Package limiter is the rate limiter of an entry host for targets that state a limit: the number of requests per second
// that a target takes from all hosts together, for as long as its answers state it.
//
// A quarter of the limit is divided among all entry hosts by their number and rank, so that each has its part without
// asking, out of contact too. The rest is issued by the control leader, one token for each request, to the hosts that have
// the callers.
package limiter

import (
	"context"
	"expvar"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"golang.org/x/time/rate"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// shareWindow is the time for which the fixed share of a host is a whole number of requests.
	shareWindow = 4 * time.Second
	// shareBurst divides the fixed share of a shareWindow into the part that may be used at once.
	shareBurst = 4
	// patience bounds the wait of a request for the control leader, which is a few milliseconds away; a leader with a quota of
	// processor time may stand still for a tenth of a second. After a wait in vain, requests are refused at once for
	// askBackoff.
	patience   = 120 * time.Millisecond
	askBackoff = 250 * time.Millisecond
	// askTimeout bounds a question. It is longer than patience, as a call that times out closes its connection, which the
	// host may need for other calls.
	askTimeout = 500 * time.Millisecond
	// maxWaiters bounds the requests that wait for tokens of one target.
	maxWaiters = 64
	// maxPause bounds the time for which requests are refused without asking, so that a limit that rises takes effect.
	maxPause = time.Second
	// maxLimit is the greatest number of requests per second that counts as a limit.
	maxLimit = 1e6
	// viewLag is how much later than the answer of a target its limit may be in the view. It is longer than the control
	// group may be without a leader.
	viewLag = 10 * time.Second
	// minRetryAfter is the least Retry-After delay of a refused request.
	minRetryAfter = 50 * time.Millisecond
)

var counters = expvar.NewMap("limiter")

// Options are the dependencies of a Limiter. All are required but Ask: without it there are only the fixed shares.
type Options struct {
	// View returns the newest view of this host, and ViewAge the time since a control host last confirmed it.
	View    func() *viewer.View
	ViewAge func() time.Duration
	// Ask asks the control leader for tokens.
	Ask func(ctx context.Context, m issuer.AskMsg) (issuer.IssueMsg, error)
	Log *log.Logger
}

// Limiter limits the requests of this host. Make it with New. It is safe for concurrent use.
type Limiter struct {
	opts Options
	// now is timekeeper.Now.
	now func() time.Time
	// size is the number of targets, so that requests to targets without a limit take no lock.
	size    atomic.Int32
	mu      sync.Mutex
	targets map[registrar.Incarnation]*target
	// unreachableUntil is until when nobody asks, since the control leader did not answer.
	unreachableUntil time.Time
	// unreadableLoggedAt is when a limit that cannot be read was last logged.
	unreadableLoggedAt time.Time
}

// target is what the host knows of one incarnation of a target with a limit.
type target struct {
	// stated is the limit in the last answer, in requests per second; nil if that stated none. heardAt is when that answer
	// arrived, zero if there was none.
	stated  *float64
	heardAt time.Time
	// reportedAt is when the statement was last taken for a report.
	reportedAt time.Time
	usedAt     time.Time
	// share is the fixed share of this host.
	share *rate.Limiter
	// waiters wait for tokens. asking says that a goroutine asks for them.
	waiters []*waiter
	asking  bool
	// nextTokenAt is when there may be a token again; a request that cannot wait until then is refused without asking. spread
	// is the time over which refused requests shall return, refused their number since the last question.
	nextTokenAt time.Time
	spread      time.Duration
	refused     int
	// loggedAt is when a change was last logged, and logged the limit that was logged then.
	loggedAt time.Time
	logged   *float64
}

// Request is a request that needs a token.
type Request struct {
	// MaxDelay is how long it can wait for a token. Urgent requests get theirs first.
	MaxDelay time.Duration
	Urgent   bool
}

// Refusal says that a request may not be sent.
type Refusal struct {
	// RetryAfter is the time after which the caller may return. It differs from caller to caller, so that they do not all
	// return at once.
	RetryAfter time.Duration
}

// New returns a Limiter that knows no limits.
func New(o Options) *Limiter {
	l := &Limiter{
		opts:    o,
		now:     timekeeper.Now,
		targets: make(map[registrar.Incarnation]*target),
	}
	counters.Set("targets", expvar.Func(func() any { return l.size.Load() }))
	return l
}

// Take takes a token for one attempt at t, for which it may wait. It returns nil if the request may be sent now.
func (l *Limiter) Take(ctx context.Context, t *viewer.Target, r Request) *Refusal {
	if t.Limit == nil && l.size.Load() == 0 {
		return nil
	}
	l.mu.Lock()
	if l.targets[t.Incarnation] == nil && t.Limit == nil {
		l.mu.Unlock()
		return nil
	}
	now := l.now()
	st, limit := l.binding(now, t)
	if limit == nil {
		l.mu.Unlock()
		return nil
	}
	st.usedAt = now
	counters.Add("requests", 1)
	if l.takeShare(now, st, t.ID, *limit) {
		l.mu.Unlock()
		return nil
	}
	if l.opts.Ask == nil || now.Before(l.unreachableUntil) || now.Add(r.MaxDelay).Before(st.nextTokenAt) ||
		len(st.waiters) >= maxWaiters {
		st.refused++
		counters.Add("refusals", 1)
		refusal := st.refusal(max(0, l.unreachableUntil.Sub(now), st.nextTokenAt.Sub(now)))
		l.mu.Unlock()
		return refusal
	}
	w := &waiter{
		request: r,
		result:  make(chan *Refusal, 1),
	}
	st.waiters = append(st.waiters, w)
	if !st.asking {
		st.asking = true
		go l.ask(t.Incarnation, st)
	}
	l.mu.Unlock()
	timer := time.NewTimer(patience + r.MaxDelay)
	defer timer.Stop()
	select {
	case refusal := <-w.result:
		return refusal
	case <-timer.C:
		return l.giveUp(st)
	case <-ctx.Done():
		return &Refusal{}
	}
}

// giveUp refuses a request for which the control leader did not answer in time.
func (l *Limiter) giveUp(st *target) *Refusal {
	counters.Add("refusals", 1)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.unreachableUntil = l.now().Add(askBackoff)
	return st.refusal(askBackoff)
}

// binding returns the limit that binds this host at t, nil if there is none. The view and the last answer of the target
// may differ for a while; the newer of the two counts, and the lower if that is not clear.
func (l *Limiter) binding(now time.Time, t *viewer.Target) (*target, *float64) {
	st, ok := l.targets[t.Incarnation]
	if !ok {
		st = l.add(t.Incarnation)
		st.usedAt = now
	}
	if st.heardAt.IsZero() {
		return st, t.Limit
	}
	confirmedAt := now.Add(-l.opts.ViewAge())
	switch {
	case st.heardAt.After(confirmedAt.Add(viewLag)):
		return st, st.stated
	case st.heardAt.Before(confirmedAt.Add(-viewLag)):
		return st, t.Limit
	case t.Limit == nil || st.stated != nil && *st.stated < *t.Limit:
		return st, st.stated
	default:
		return st, t.Limit
	}
}

// takeShare takes a token of the fixed share of this host, and reports whether there was one.
func (l *Limiter) takeShare(now time.Time, st *target, id string, limit float64) bool {
	v := l.opts.View()
	if v == nil {
		return false
	}
	share := v.Share(int(issuer.FixedShare*limit*shareWindow.Seconds()), id)
	r, burst := rate.Limit(float64(share)/shareWindow.Seconds()), max(1, share/shareBurst)
	if st.share == nil {
		// It begins empty: before a restart, this host may have used its share.
		st.share = rate.NewLimiter(r, burst)
		st.share.AllowN(now, burst)
		return false
	}
	if st.share.Limit() != r {
		st.share.SetLimitAt(now, r)
		st.share.SetBurstAt(now, burst)
	}
	return share > 0 && st.share.AllowN(now, 1)
}

// refusal returns a refusal of a request that would get a token after the time wait, if it were the only one.
func (st *target) refusal(wait time.Duration) *Refusal {
	spread := max(wait, st.spread)
	return &Refusal{
		RetryAfter: max(minRetryAfter, wait+time.Duration(rand.Int64N(int64(max(1, spread))))),
	}
}

func (l *Limiter) add(inc registrar.Incarnation) *target {
	st := &target{}
	l.targets[inc] = st
	l.size.Add(1)
	return st
}
