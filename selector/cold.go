package selector

import (
	"time"

	"bramleyline.example/bramleyline/viewer"
)

const (
	// coldWindow is the length of the sliding window in which the requests to a cold target are counted.
	coldWindow = time.Second
	// coldSafety is the share of the limit of a cold target that all hosts together use: while a host joins or leaves,
	// hosts may disagree on their number and ranks.
	coldSafety = 0.7
)

// ColdShare returns the number of requests that this host may send to a cold target in any second, where limit is the
// number for all hosts together. Each host computes its share by itself, without communication, and the shares of all
// hosts add up to less than the limit.
func ColdShare(limit float64, v *viewer.View, t *viewer.Target) int {
	return v.Share(int(limit*coldSafety), t.ID)
}

// TakeColdAllowance records a request to a cold target if fewer than share were recorded in the last second, and
// reports whether it did.
func (s *Selector) TakeColdAllowance(now time.Time, t *viewer.Target, share int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.targetStats(t.Incarnation)
	recent := st.coldRequests[:0]
	for _, sentAt := range st.coldRequests {
		if now.Sub(sentAt) < coldWindow {
			recent = append(recent, sentAt)
		}
	}
	st.coldRequests = recent
	if len(recent) >= share {
		return false
	}
	st.coldRequests = append(st.coldRequests, now)
	st.lastUsedAt = now
	return true
}
