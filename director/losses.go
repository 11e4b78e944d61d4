package director

import (
	"time"

	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/reporter"
)

// maxReportedLosses bounds the losses in one report: at 60 bytes each, sending them at 2 Mbit/s takes 60 ms.
const maxReportedLosses = 256

// lossReport holds the lost and completed requests of the next report. What a control host did not take stays for the one
// after it.
type lossReport struct {
	losses    []reporter.SuspectMsg
	completed []uint64
}

// fill adds what is due at now.
func (r *lossReport) fill(q *quarantiner.Quarantiner, now time.Time) {
	if room := maxReportedLosses - len(r.losses); room > 0 {
		r.losses = append(r.losses, q.Losses(now, room)...)
	}
	if len(r.completed) < maxReportedLosses {
		r.completed = append(r.completed, q.Completed(now)...)
	}
}

// empty reports whether there is nothing to report.
func (r *lossReport) empty() bool {
	return len(r.losses)+len(r.completed) == 0
}
