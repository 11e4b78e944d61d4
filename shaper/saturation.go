package shaper

import "time"

const (
	// saturatedTime is how much time on the link the bodies in progress take at least on a saturated host, and
	// saturationDelay how long that has lasted. The host recovers at recoveredTime.
	saturatedTime   = time.Second
	saturationDelay = time.Second
	recoveredTime   = 500 * time.Millisecond
)

// saturation is the state of a link that has more to carry than it can for some time.
type saturation struct {
	// since is when the backlog last exceeded saturatedTime, zero if it does not.
	since time.Time
	on    bool
}

// update records the time that the bodies in progress take on the link. It reports whether the state has changed.
func (s *saturation) update(now time.Time, backlog time.Duration) (changed bool) {
	before := s.on
	switch {
	case backlog < recoveredTime:
		s.on, s.since = false, time.Time{}
	case backlog < saturatedTime:
		if !s.on {
			s.since = time.Time{}
		}
	case s.since.IsZero():
		s.since = now
	case now.Sub(s.since) >= saturationDelay:
		s.on = true
	}
	return s.on != before
}
