package selector

import (
	"hash/fnv"
	"time"

	"bramleyline.example/bramleyline/viewer"
)

const (
	// coldWindow is the sliding window in which the requests to a cold target are counted.
	coldWindow = time.Second
	// coldSafety is the share of the limit of a cold target that hosts use together: hosts that joined or left lately may
	// count differently.
	coldSafety = 0.7
)

// ColdShare returns how many requests in any second this host may send to a cold target that bears limit from all hosts
// together. The shares of all hosts add up to less than the limit without any exchange between them.
func ColdShare(limit float64, v *viewer.View, t *viewer.Target) int {
	total := int(limit * coldSafety)
	hosts := max(1, v.Hosts)
	share := total / hosts
	h := fnv.New32a()
	_, _ = h.Write([]byte(t.ID))
	// The remainder goes to hosts that differ from target to target.
	if (v.Rank+int(h.Sum32()%uint32(hosts)))%hosts < total%hosts {
		share++
	}
	return share
}

// TakeCold takes one of the requests that may be sent to a cold target, and reports whether there was one.
func (s *Selector) TakeCold(now time.Time, t *viewer.Target, share int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stat(t.Incarnation)
	kept := st.coldSends[:0]
	for _, at := range st.coldSends {
		if now.Sub(at) < coldWindow {
			kept = append(kept, at)
		}
	}
	st.coldSends = kept
	if len(kept) >= share {
		return false
	}
	st.coldSends = append(st.coldSends, now)
	st.usedAt = now
	return true
}
