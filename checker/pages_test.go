package checker

import (
	"os"
	"path/filepath"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a setting whose range or default differs from docs/OPERATING.md, on which operators rely.
func TestOperatingPageListsEachSetting(t *testing.T) {
	c := qt.New(t)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATING.md"))
	c.Assert(err, qt.IsNil)
	for _, s := range Settings() {
		value := "none"
		if s.Default != "" {
			value = "`" + s.Default + "`"
		}
		c.Check(string(page), qt.Contains, "| `"+s.Name+"` | "+s.ValidValues+" | "+value+" | "+kindPrefix(s))
	}
}

func kindPrefix(s Setting) string {
	if s.Kind == "" {
		return ""
	}
	return s.Kind + ": "
}
