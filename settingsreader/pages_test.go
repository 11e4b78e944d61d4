package settingsreader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// A host setting that the page lacks can only be found in the code.
func TestOperatingPageListsEachHostSetting(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATING.md"))
	c.Assert(err, qt.IsNil)
	for _, sections := range []map[string][]string{known(), knownDirect()} {
		checkRows(c, string(page), sections)
	}
}

func checkRows(c *qt.C, page string, sections map[string][]string) {
	for section, names := range sections {
		for _, name := range names {
			row := "| `[" + section + "]` | `" + name + "` "
			if base, ok := strings.CutSuffix(name, "File"); ok {
				row = "| `[" + section + "]` | `" + base + "` or `" + name + "` "
			}
			c.Check(page, qt.Contains, row)
		}
	}
}
