package checker

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/parser"
)

var update = flag.Bool("update", false, "write the golden files")

// checkGolden compares got with a golden file, after writing got to the file if -update is set.
func checkGolden(c *qt.C, file, got string) {
	if *update {
		c.Assert(os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

func readSource(c *qt.C, file, name string) parser.Source {
	text, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	return parser.Source{
		Name: name,
		Text: string(text),
	}
}

func readSources(c *qt.C, folder string) (parser.Source, []parser.Source) {
	files, err := filepath.Glob(filepath.Join(folder, "overlays", "*.ini"))
	c.Assert(err, qt.IsNil)
	var overlays []parser.Source
	for _, f := range files {
		overlays = append(overlays, readSource(c, f, "overlays/"+filepath.Base(f)))
	}
	return readSource(c, filepath.Join(folder, "base.ini"), "base.ini"), overlays
}

// Guards against faults that the check does not report: an accepted configuration reaches all hosts within 3 s, faulty
// or not.
func TestFindings(t *testing.T) {
	c := qt.New(t)
	ck := Checker{
		InForce: []configurer.Service{
			{Name: "tally", Keyed: true, Slots: 64},
			{Name: "payroll"},
		},
	}
	for _, name := range []string{"faults", "together", "overlays", "inForce", "empty", "text"} {
		c.Run(name, func(c *qt.C) {
			folder := filepath.Join("testdata", name)
			report := ck.Check(readSources(c, folder))
			c.Assert(report.OK(), qt.IsFalse)
			c.Assert(report.Configs, qt.HasLen, 0)
			var b strings.Builder
			for _, f := range report.Findings {
				b.WriteString(f.String() + "\n")
			}
			checkGolden(c, filepath.Join(folder, "findings.golden"), b.String())
		})
	}
}

// Guards against findings in the examples, which new operators copy, and against a data centre without its overlay.
func TestExamples(t *testing.T) {
	c := qt.New(t)
	for _, name := range []string{"zbiorka", "aebischer"} {
		report := Checker{}.Check(readSources(c, filepath.Join("..", "examples", name)))
		c.Assert(report.Findings, qt.HasLen, 0)
		c.Assert(report.Configs, qt.HasLen, 4)
		for _, dc := range report.DataCentres() {
			c.Assert(report.Merged[dc].Overlay, qt.Equals, "overlays/"+dc+".ini")
		}
	}
}

func TestStoredUsesOverlayOfItsDataCentre(t *testing.T) {
	c := qt.New(t)
	stored := storedExample(c)
	krakow, err := Stored(&stored, "krakow")
	c.Assert(err, qt.IsNil)
	c.Assert(krakow.Version, qt.Equals, uint64(7))
	tally, ok := krakow.Service("tally")
	c.Assert(ok, qt.IsTrue)
	c.Assert(tally.Limits.QueueLimit, qt.Equals, 96)
	bielsko, err := Stored(&stored, "bielsko")
	c.Assert(err, qt.IsNil)
	tally, _ = bielsko.Service("tally")
	c.Assert(tally.Limits.QueueLimit, qt.Equals, 64)
	_, err = Stored(&stored, "atlantis")
	c.Assert(err, qt.ErrorIs, ErrNoDataCentre)
}
