package auditor

import (
	"fmt"
	"time"

	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/loadgenerator"
)

// clockLayout is the layout of times in evidence. Times of different processes compare to the microsecond, because all
// processes of a run are on one machine.
const clockLayout = "15:04:05.000000"

func describeRecord(r loadgenerator.Record) string {
	s := fmt.Sprintf("caller %s: %s %s key %q, intended %s", r.Identity, r.Method, r.Service, r.Key,
		r.Intended.Format(clockLayout))
	for _, a := range r.Attempts {
		s += fmt.Sprintf("; attempt %d at %s from %s to %s: %s", a.Number, a.Entry, a.Started.Format(clockLayout),
			a.Ended.Format(clockLayout), a.CallerOutcome())
		if a.Status != 0 {
			s += fmt.Sprintf(" status %d %s %s", a.Status, a.Reason, a.Verdict)
		}
		s += a.Fault
	}
	return s
}

func describeRuns(runs []emulator.Run) []string {
	var lines []string
	for _, r := range runs {
		line := fmt.Sprintf("target %s incarnation %d: request %s of caller %s attempt %d key %q, started %s, %s %s",
			r.Target, r.Incarnation, r.Request, r.Identity, r.Attempt, r.Key, r.Started.Format(clockLayout), r.Result,
			formatTime(r.Ended))
		if r.Keyed {
			line += fmt.Sprintf(", slot %d epoch %s lease until %s", r.Slot, r.Epoch, formatTime(r.LeaseUntil))
		}
		lines = append(lines, line)
	}
	return lines
}

func describeHolding(h emulator.Holding) string {
	return fmt.Sprintf("target %s incarnation %d held slot %d epoch %s from %s until %s", h.Target, h.Incarnation, h.Slot,
		h.Epoch, h.From.Format(clockLayout), h.Until.Format(clockLayout))
}

func formatTime(t time.Time) string {
	if t.IsZero() {
		return "-"
	}
	return t.Format(clockLayout)
}
