package parser

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func TestValuesWithUnits(t *testing.T) {
	c := qt.New(t)
	d, err := Duration("1h30m")
	c.Assert(err, qt.IsNil)
	c.Assert(d, qt.Equals, 90*time.Minute)
	for _, text := range []string{"", "5", "0", "5 s", "-1s", "1w", "1e3"} {
		_, err := Duration(text)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	n, err := Size("64KiB")
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, int64(64<<10))
	c.Assert(FormatSize(n), qt.Equals, "64KiB")
	for _, text := range []string{"", "64", "64KB", "-1B", "9223372036854775807MiB", "1.5MiB"} {
		_, err := Size(text)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
	for _, text := range []string{"", "NaN", "Inf", "10%", "0x1p-2"} {
		_, err := Decimal(text)
		c.Assert(err, qt.IsNotNil, qt.Commentf("%q", text))
	}
}

// Guards against wrong lines, names or values in a file with the carriage returns and the byte order mark that editors
// on other systems write.
func TestParseKeepsLines(t *testing.T) {
	c := qt.New(t)
	f, findings := Parse(Source{
		Name: "f",
		Text: "\ufeff[a]\r\n\r\n; comment\r\nx = 1 ; why\r\ny = path:2\r\n[service  b]\r\nz = a\\",
	})
	c.Assert(findings, qt.HasLen, 0)
	c.Assert(f.Sections, qt.DeepEquals, []Section{
		{Name: "a", Line: 1, Settings: []Setting{{Name: "x", Value: "1", Line: 4}, {Name: "y", Value: "path:2", Line: 5}}},
		{Name: "service b", Line: 6, Settings: []Setting{{Name: "z", Value: `a\`, Line: 7}}},
	})
}

func TestParseBoundsText(t *testing.T) {
	c := qt.New(t)
	_, findings := Parse(Source{
		Name: "f",
		Text: string(make([]byte, MaxBytes+1)),
	})
	c.Assert(findings, qt.HasLen, 1)
}
