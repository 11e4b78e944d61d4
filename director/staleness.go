package director

import (
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

// staleness returns the time since the view in force was last known to have every committed change. Unlike stateAge, it counts
// the time in which a newer state has arrived but is not in force yet.
func (e *entry) staleness() time.Duration {
	return timekeeper.Since(e.currentAt())
}

// currentAt returns the latest time up to which the view in force is known to have every committed change.
func (e *entry) currentAt() time.Time {
	st, at := e.d.puller.Current()
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.view != nil && e.view.Index == st.Index && at.After(e.viewCurrentAt) {
		e.viewCurrentAt = at
	}
	return e.viewCurrentAt
}

// supersededAt returns a time at which the view in force still had every committed change. A change that it lacks was committed
// later.
func (e *entry) supersededAt() time.Time {
	at := e.currentAt()
	if a := e.d.puller.Arrival(); e.view != nil && e.view.Index == a.Before && a.BeforeAsOf.After(at) {
		at = a.BeforeAsOf
	}
	return at
}

// logChanges logs the departures and the table that v has and old lacks, with the times, in milliseconds, that they took to reach
// this host: held at the source, transit from there, and delay until they were in force. lag bounds how far the source was behind.
func (e *entry) logChanges(old, v *viewer.View, st *applier.State) {
	if old == nil {
		return
	}
	a := e.d.puller.Arrival()
	times := []any{
		"held", a.Held.Milliseconds(), "lag", a.Lag.Milliseconds(), "transit", a.Transit.Milliseconds(),
		"delay", timekeeper.Since(a.At).Milliseconds(),
	}
	for t := range st.Registry.ChangedSince(old.Index) {
		if _, draining := old.Status(t.Incarnation); t.Draining && !draining {
			e.d.log.Info("target drains", append([]any{"target", t.ID, "service", t.Service, "index", t.ChangedAt}, times...)...)
		}
	}
	if v.Table != nil && (old.Table == nil || old.Table.Version != v.Table.Version) {
		e.d.log.Info("table has arrived", append([]any{"version", v.Table.Version, "index", st.Registry.Table.Index}, times...)...)
	}
}
