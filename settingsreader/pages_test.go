package settingsreader

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a host setting that is missing from the operating page, so that operators can only find it in the
// code.
func TestOperatingPageListsEachHostSetting(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATING.md"))
	c.Assert(err, qt.IsNil)
	for _, sections := range []map[string][]string{knownSettings(), knownDirectSettings()} {
		checkRows(c, string(page), sections)
	}
}

// checkRows checks that page has a table row for each setting; a key and the file that holds it share a row.
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
