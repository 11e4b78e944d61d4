package timekeeper

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against a clock whose values have Go's monotonic reading: differences would then not include the time of a
// suspension.
func TestNowHasNoMonotonicReading(t *testing.T) {
	c := qt.New(t)
	now := Now()
	c.Assert(now, qt.Equals, now.Round(0))
	time.Sleep(2 * time.Millisecond)
	c.Assert(Since(now) >= 2*time.Millisecond, qt.IsTrue)
}
