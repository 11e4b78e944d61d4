package director

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/settingsreader"
)

// Guards against bodies that leave their region with requests that are passed to other hosts.
func TestBodiesStayInTheirRegion(t *testing.T) {
	c := qt.New(t)
	s := settingsreader.Direct{
		Region: "north",
		Regions: map[string]string{
			"a": "north",
			"b": "north",
			"c": "south",
		},
	}
	c.Assert(sameRegion(&s, "b"), qt.IsTrue)
	c.Assert(sameRegion(&s, "c"), qt.IsFalse)
	c.Assert(sameRegion(&s, "unknown"), qt.IsFalse)
	c.Assert(sameRegion(&settingsreader.Direct{}, "c"), qt.IsTrue)
}
