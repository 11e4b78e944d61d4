package limiter

import (
	"math"
	"time"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
)

// logInterval is the least time between two log lines on the limit of one target, or on limits that cannot be read.
const logInterval = time.Second

// Observe records the limit that an answer of a target has just stated, nil if it stated none.
func (l *Limiter) Observe(inc registrar.Incarnation, service string, limit *float64) {
	if limit == nil && l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if limit != nil {
		counters.Add("answers", 1)
		limit = rounded(*limit)
	}
	st, ok := l.targets[inc]
	if !ok {
		if limit == nil {
			return
		}
		st = l.add(inc)
	}
	now := l.now()
	st.stated, st.heardAt, st.usedAt = limit, now, now
	l.logChange(now, st, inc, service)
}

// rounded returns the limit in the precision of the registry, nil for one that is too great to bind.
func rounded(limit float64) *float64 {
	if limit > maxLimit {
		return nil
	}
	limit = math.Round(limit*1000) / 1000
	return &limit
}

// Unreadable records that an answer of a target stated a limit that cannot be read. It neither sets nor ends a limit.
func (l *Limiter) Unreadable(inc registrar.Incarnation, service string) {
	counters.Add("unreadable", 1)
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.unreadableLoggedAt) >= logInterval {
		l.unreadableLoggedAt = now
		l.opts.Log.Warn("limit of target cannot be read", "target", inc.ID, "service", service)
	}
}

// Stated returns what targets stated since the last call, for the report to the control leader.
func (l *Limiter) Stated() []issuer.StatedMsg {
	if l.size.Load() == 0 {
		return nil
	}
	now := l.now()
	l.mu.Lock()
	defer l.mu.Unlock()
	var stated []issuer.StatedMsg
	for inc, st := range l.targets {
		if st.heardAt.After(st.reportedAt) {
			st.reportedAt = st.heardAt
			stated = append(stated, st.message(now, inc))
		}
	}
	return stated
}

func (st *target) message(now time.Time, inc registrar.Incarnation) issuer.StatedMsg {
	m := issuer.StatedMsg{
		Target: inc,
		Stated: st.stated != nil,
		Age:    now.Sub(st.heardAt),
	}
	if m.Stated {
		m.Limit = *st.stated
	}
	return m
}

// Forget deletes what is known of targets to which this host has sent nothing since before.
func (l *Limiter) Forget(before time.Time) {
	if l.size.Load() == 0 {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for inc, st := range l.targets {
		if st.usedAt.Before(before) && !st.asking {
			delete(l.targets, inc)
			l.size.Add(-1)
		}
	}
}

// logChange logs the limit of st if it differs from the last logged one and the last line is not too recent.
func (l *Limiter) logChange(now time.Time, st *target, inc registrar.Incarnation, service string) {
	if issuer.EqualLimits(st.stated, st.logged) || now.Sub(st.loggedAt) < logInterval {
		return
	}
	l.opts.Log.Info("limit of target", "target", inc.ID, "service", service, "limit", Text(st.stated), "before", Text(st.logged))
	st.logged, st.loggedAt = st.stated, now
}

// Text returns a limit for a log line.
func Text(limit *float64) any {
	if limit == nil {
		return "none"
	}
	return *limit
}
