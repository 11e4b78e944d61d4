package operator

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an alarm for which docs/OPERATING.md has no instructions.
func TestOperatingPageExplainsEachAlarm(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATING.md"))
	c.Assert(err, qt.IsNil)
	for _, name := range []string{
		alarmNoConfiguration, alarmUnreadable, alarmNoLeader, alarmHostUnreachable, alarmHostBehind, alarmNoAuthority,
		alarmFewInSync, alarmDataCentreOut, alarmSlotsHeld, alarmSlotsUnowned, alarmNoTargets, alarmTargetLost,
		alarmViolation,
	} {
		c.Check(string(page), qt.Contains, "| `"+name+"` | ")
	}
}
