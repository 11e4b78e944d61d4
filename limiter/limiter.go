// Package limiter keeps track of the rate limits that targets state in their answers. A limit is the number of requests
// per second that a target takes from all hosts together, for as long as its answers state it.
package limiter

import (
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/registrar"
)

// logInterval is the least time between two log lines on the limit of one target.
const logInterval = time.Second

var counters = expvar.NewMap("limiter")

// Limiter holds the limits that targets stated to this host. Log is required. It is safe for concurrent use.
type Limiter struct {
	Log *log.Logger

	// size is the number of targets, so that hosts whose targets state no limit take no lock.
	size    atomic.Int32
	mu      sync.Mutex
	targets map[registrar.Incarnation]*target
}

// target is the limit of one incarnation of a target.
type target struct {
	// limit is in requests per second; nil if the last answer stated none.
	limit *float64
	// heardAt is when the last answer arrived, a time of timekeeper.Now.
	heardAt time.Time
	// loggedAt is when a change was last logged, and logged the limit that was logged then.
	loggedAt time.Time
	logged   *float64
}

// Observe records the limit that an answer of a target stated at now, nil if it stated none.
func (l *Limiter) Observe(now time.Time, inc registrar.Incarnation, service string, limit *float64) {
	if limit == nil && l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	t, ok := l.targets[inc]
	if !ok {
		if limit == nil {
			return
		}
		t = l.add(inc)
	}
	if limit != nil {
		counters.Add("answers", 1)
	}
	t.limit, t.heardAt = limit, now
	l.logChange(now, t, inc, service)
}

// Unreadable records that an answer of a target stated a limit that cannot be read. It neither sets nor ends a limit.
func (l *Limiter) Unreadable() {
	counters.Add("unreadable", 1)
}

// Attempt records that a request is sent to a target.
func (l *Limiter) Attempt(inc registrar.Incarnation) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if t, ok := l.targets[inc]; ok && t.limit != nil {
		counters.Add("attempts", 1)
	}
}

// Forget deletes what was stated by targets that have not answered since before.
func (l *Limiter) Forget(before time.Time) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for inc, t := range l.targets {
		if t.heardAt.Before(before) {
			delete(l.targets, inc)
			l.size.Add(-1)
		}
	}
}

func (l *Limiter) add(inc registrar.Incarnation) *target {
	if l.targets == nil {
		l.targets = make(map[registrar.Incarnation]*target)
	}
	t := &target{}
	l.targets[inc] = t
	l.size.Add(1)
	return t
}

// logChange logs the limit of t if it differs from the last logged one and the last line is not too recent.
func (l *Limiter) logChange(now time.Time, t *target, inc registrar.Incarnation, service string) {
	if equal(t.limit, t.logged) || now.Sub(t.loggedAt) < logInterval {
		return
	}
	l.Log.Info("limit of target", "target", inc.ID, "service", service, "limit", text(t.limit), "before", text(t.logged))
	t.logged, t.loggedAt = t.limit, now
}

func equal(a, b *float64) bool {
	return a == b || a != nil && b != nil && *a == *b
}

// text returns a limit for a log line.
func text(limit *float64) any {
	if limit == nil {
		return "none"
	}
	return *limit
}
