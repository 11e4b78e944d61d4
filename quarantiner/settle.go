package quarantiner

import "time"

// Settle decides on the requests without an answer by what is known of their targets. alive returns whether an incarnation
// is the current one of its target, and whether it drains. A loss is counted for each request that an incarnation was
// running when it ended, whatever its successor is called; a target that drained before has left and lost none.
func (q *Quarantiner) Settle(now time.Time, alive func(target string, incarnation uint64) (alive, draining bool)) {
	q.trackersMu.Lock()
	var ended []*RunTracker
	for id, t := range q.trackers {
		ok, draining := alive(t.id.target, t.id.incarnation)
		switch {
		case !ok:
			delete(q.trackers, id)
			if !t.leaving {
				ended = append(ended, t)
			}
		case draining:
			t.leaving = true
		}
	}
	q.trackersMu.Unlock()
	for _, t := range ended {
		for _, r := range t.markLost(true, now) {
			q.recordLoss(r, t.id, 0, now)
		}
	}
}
