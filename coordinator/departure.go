package coordinator

import (
	"context"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// removeAfter is how long a target has been draining before it is removed from the registry. A target serves for some
	// seconds after its departure, at times many, and then ends without a word.
	removeAfter = 10 * time.Minute
	// removeInterval is the least time between two removals.
	removeInterval = time.Second
)

// departures are the targets that drain, with the time since when the leader knows it. Its zero value is ready to use.
type departures struct {
	since map[registrar.Incarnation]time.Time
	// seen are the targets at the last update of since.
	seen      registrar.Pool
	removedAt time.Time
}

// due returns a target whose process has ended, as far as can be known, and that holds no keys. It returns false if there is
// none, or if one was returned less than removeInterval ago.
func (d *departures) due(now time.Time, reg registrar.Registry) (registrar.Incarnation, bool) {
	d.update(now, reg)
	if now.Sub(d.removedAt) < removeInterval {
		return registrar.Incarnation{}, false
	}
	for inc, since := range d.since {
		if now.Sub(since) >= removeAfter && !ownsKeys(reg, inc) {
			d.removedAt = now
			return inc, true
		}
	}
	return registrar.Incarnation{}, false
}

// update follows the targets that drain.
func (d *departures) update(now time.Time, reg registrar.Registry) {
	if d.seen.Same(reg.Targets()) {
		return
	}
	d.seen = reg.Targets()
	next := make(map[registrar.Incarnation]time.Time)
	for _, t := range d.seen.All() {
		if !t.Draining {
			continue
		}
		next[t.Incarnation] = now
		if since, ok := d.since[t.Incarnation]; ok {
			next[t.Incarnation] = since
		}
	}
	d.since = next
}

func ownsKeys(reg registrar.Registry, inc registrar.Incarnation) bool {
	for service := range reg.Services() {
		for _, r := range reg.Ranges(service).All() {
			if r.Owner == inc {
				return true
			}
		}
	}
	return false
}

// removeEnded starts the removal of a target that has ended, if there is one.
func (s *Coordinator) removeEnded(now time.Time, reg registrar.Registry) {
	inc, ok := s.departures.due(now, reg)
	if !ok {
		return
	}
	go func() {
		ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
		defer cancel()
		_, err := s.opts.Controller.Propose(ctx, applier.Command{
			Registry: &registrar.Change{
				Remove: &inc,
			},
		})
		s.opts.Log.Info("ended target removed", "target", inc.ID, "born", inc.Born, "err", err)
	}()
}
