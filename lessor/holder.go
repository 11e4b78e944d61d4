package lessor

import (
	"slices"
	"time"

	"bramleyline.example/bramleyline/registrar"
)

// holder is what is known of one incarnation of a target.
type holder struct {
	// until is when the last of all that was granted to the incarnation has lapsed at the latest.
	until time.Time
	// doubt has, for each fence, when the last unanswered grant has lapsed at the latest.
	doubt map[uint64]time.Time
	// granting says that a grant is in progress, and granted what it grants. releases has the releases in progress.
	granting bool
	granted  spanKey
	releases map[spanKey]bool
	// failures counts the failed calls in a row; retryAt is when the next call may be made.
	failures int
	retryAt  time.Time
	// grants has when each span that was granted is to be renewed.
	grants map[spanKey]time.Time
	// fenced has the fences that must not be used again at this incarnation.
	fenced map[uint64]bool
	// confirmed has the spans that the incarnation has taken under each fence.
	confirmed map[uint64][]registrar.Span
	// used has the fences that were sent to this incarnation.
	used map[uint64]bool
	// dialed is when a grant was last sent over a new connection.
	dialed time.Time
}

// clean reports whether nothing that was sent to the incarnation earlier can take effect after it gives up a span that
// it has under fence: no grant is unanswered, or it has taken the span under the fence after those that are.
func (h *holder) clean(now time.Time, fence uint64, s registrar.Span) bool {
	if now.Before(h.doubt[fence]) {
		return false
	}
	for _, c := range h.confirmed[fence] {
		if c.From <= s.From && s.To <= c.To {
			return true
		}
	}
	return !h.doubtful(now)
}

// calling reports whether any call to the incarnation is in progress.
func (h *holder) calling() bool {
	return h.granting || len(h.releases) > 0
}

// changing reports whether a call in progress concerns any key of key, so that no other one may overtake it.
func (h *holder) changing(key spanKey) bool {
	if h.granting && h.granted.overlaps(key) {
		return true
	}
	for k := range h.releases {
		if k.overlaps(key) {
			return true
		}
	}
	return false
}

// lapsed reports whether all that was ever granted to the incarnation is over.
func (h *holder) lapsed(now time.Time) bool {
	return !h.granting && !now.Before(h.until)
}

// doubtful reports whether any grant without an answer may still take effect.
func (h *holder) doubtful(now time.Time) bool {
	for _, until := range h.doubt {
		if now.Before(until) {
			return true
		}
	}
	return false
}

func (h *holder) confirm(key spanKey) {
	if !slices.Contains(h.confirmed[key.fence], key.span) {
		h.confirmed[key.fence] = append(h.confirmed[key.fence], key.span)
	}
}
