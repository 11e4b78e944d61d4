package lessor

import (
	"math"
	"slices"
	"time"

	"bramleyline.example/bramleyline/registrar"
)

// holder is the state of one incarnation of a target that holds keys or may hold them.
type holder struct {
	// expiresAt is when the last of all grants to the incarnation has expired at the latest.
	expiresAt time.Time
	// unconfirmedUntil is when the last unconfirmed grant under each fence has expired at the latest.
	unconfirmedUntil map[uint64]time.Time
	// granting says that a grant call is in progress, and grantingSpan what it grants. releases are the releases in
	// progress.
	granting     bool
	grantingSpan spanKey
	releases     map[spanKey]bool
	// failures counts the failed calls in a row; retryAt is when the next call may be made.
	failures int
	retryAt  time.Time
	// renewAt is when each granted span is to be renewed.
	renewAt map[spanKey]time.Time
	// unusableFences are the fences that must not be sent to this incarnation again.
	unusableFences map[uint64]bool
	// confirmed maps each fence to the spans that the incarnation has accepted under it.
	confirmed map[uint64][]registrar.Span
	// sentFences maps the fences that were sent to this incarnation to the connections over which that happened first, or to
	// lostConnection.
	sentFences map[uint64]uint64
	// dialedAt is when the last grant call that was sent over a new connection ended.
	dialedAt time.Time
}

// lostConnection stands for a connection that was closed, or of which nothing is known.
const lostConnection = math.MaxUint64

// setConnection records over which connection the fence of a grant call was sent, by the result of the call.
func (h *holder) setConnection(m CallResultMsg) {
	connection := uint64(lostConnection)
	switch {
	case m.Answered && m.Connection != 0:
		connection = m.Connection
	case m.NotSent:
		connection = m.Call.Connection
	}
	if connection == 0 {
		delete(h.sentFences, m.Call.Fence)
		return
	}
	h.sentFences[m.Call.Fence] = connection
}

// releaseIsFinal reports whether no earlier grant can take effect after the incarnation releases a span that it holds
// under fence. This is so if no grant is unconfirmed. It is also so if all unconfirmed grants have other fences and the
// incarnation has accepted the span under fence: it rejects grants with a lower fence from then on.
func (h *holder) releaseIsFinal(now time.Time, fence uint64, s registrar.Span) bool {
	if now.Before(h.unconfirmedUntil[fence]) {
		return false
	}
	for _, c := range h.confirmed[fence] {
		if c.From <= s.From && s.To <= c.To {
			return true
		}
	}
	return !h.hasUnconfirmed(now)
}

// callInProgress reports whether any call to the incarnation is in progress.
func (h *holder) callInProgress() bool {
	return h.granting || len(h.releases) > 0
}

// callOverlaps reports whether a call in progress concerns any of the same keys: calls for one key must not overtake each
// other.
func (h *holder) callOverlaps(key spanKey) bool {
	if h.granting && h.grantingSpan.overlaps(key) {
		return true
	}
	for k := range h.releases {
		if k.overlaps(key) {
			return true
		}
	}
	return false
}

// expired reports whether everything that was ever granted to the incarnation has expired.
func (h *holder) expired(now time.Time) bool {
	return !h.granting && !now.Before(h.expiresAt)
}

// hasUnconfirmed reports whether any unconfirmed grant may still be in effect or take effect.
func (h *holder) hasUnconfirmed(now time.Time) bool {
	for _, until := range h.unconfirmedUntil {
		if now.Before(until) {
			return true
		}
	}
	return false
}

// confirm records that the incarnation has accepted a span.
func (h *holder) confirm(key spanKey) {
	if !slices.Contains(h.confirmed[key.fence], key.span) {
		h.confirmed[key.fence] = append(h.confirmed[key.fence], key.span)
	}
}
