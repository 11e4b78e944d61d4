package viewer

import (
	"strconv"

	"bramleyline.example/bramleyline/registrar"
)

// Quarantined returns the round of a request that the control leader has quarantined, and whether it has. trial is true
// if this host is the one that may send the request once in this round.
func (v *View) Quarantined(fingerprint uint64) (round uint32, trial, ok bool) {
	if v == nil || v.snapshot == nil {
		return 0, false, false
	}
	q, ok := v.snapshot.registry.Quarantine().Get(fingerprint)
	if !ok || q.Round == 0 {
		return 0, false, ok
	}
	return q.Round, v.Share(1, strconv.FormatUint(fingerprint+uint64(q.Round), 16)) == 1, true
}

// QuarantineLen returns the number of quarantined requests.
func (v *View) QuarantineLen() int {
	if v == nil || v.snapshot == nil {
		return 0
	}
	return v.snapshot.registry.Quarantine().Len()
}

// Status returns whether an incarnation is the current one of its target, and whether it drains.
func (v *View) Status(inc registrar.Incarnation) (alive, draining bool) {
	if v == nil || v.snapshot == nil {
		return false, false
	}
	t, ok := v.snapshot.registry.Target(inc.ID)
	if !ok || !t.Born.Equal(inc.Born) {
		return false, false
	}
	return true, t.Draining
}
