package commander

import (
	"bytes"
	"context"
	"flag"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settingsreader"
)

var update = flag.Bool("update", false, "write the golden files")

// checkGolden compares got with a golden file, after writing got to the file if -update is set.
func checkGolden(c *qt.C, name, got string) {
	file := filepath.Join("testdata", name+".golden")
	if *update {
		c.Assert(os.WriteFile(file, []byte(got), 0o644), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// run runs one command line with the functions of base and returns its exit code and output.
func run(base Commander, args ...string) (code int, out, errOut string) {
	var stdout, stderr bytes.Buffer
	base.Args = args
	base.Stdout = &stdout
	base.Stderr = &stderr
	return base.Run(), stdout.String(), stderr.String()
}

func TestExitCodes(t *testing.T) {
	c := qt.New(t)
	base := "../examples/zbiorka/base.ini"
	for _, test := range []struct {
		args []string
		want int
	}{
		{args: nil, want: exitUsage},
		{args: []string{"-h"}, want: exitOK},
		{args: []string{"check", "-h"}, want: exitOK},
		{args: []string{"unknown"}, want: exitUsage},
		{args: []string{"check"}, want: exitUsage},
		{args: []string{"check", "-colour", base}, want: exitUsage},
		{args: []string{"check", base}, want: exitOK},
		{args: []string{"check", base, "-explain"}, want: exitOK},
		{args: []string{"check", "../checker/testdata/faults/base.ini"}, want: exitFailure},
		{args: []string{"check", "no-such-file"}, want: exitFailure},
		{args: []string{"demo"}, want: exitFailure},
		{args: []string{"demo", "-for", "-1s"}, want: exitUsage},
		{args: []string{"serve"}, want: exitUsage},
		{args: []string{"serve", "-settings", "no-such-file"}, want: exitFailure},
		{args: []string{"target", "-any", "flag"}, want: exitFailure},
		{args: []string{"measure"}, want: exitFailure},
	} {
		code, _, errOut := run(Commander{}, test.args...)
		c.Assert(code, qt.Equals, test.want, qt.Commentf("%v: %s", test.args, errOut))
	}
}

func TestFunctionsGetTheirArguments(t *testing.T) {
	c := qt.New(t)
	var got []string
	var options DemoOptions
	var settings settingsreader.Settings
	functions := Commander{
		Target: func(_ context.Context, args []string) error {
			got = args
			return nil
		},
		Measure: func(context.Context, []string) error { return errors.Wrap(ErrUsage, "measure") },
		Demo: func(_ context.Context, o DemoOptions) error {
			options = o
			return nil
		},
		Serve: func(_ context.Context, s settingsreader.Settings) error {
			settings = s
			return nil
		},
	}
	code, _, _ := run(functions, "target", "-name", "x", "y")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(got, qt.DeepEquals, []string{"-name", "x", "y"})
	code, _, _ = run(functions, "measure")
	c.Assert(code, qt.Equals, exitUsage)
	t.Setenv("BRAMLEYLINE_FOR", "3s")
	code, _, _ = run(functions, "demo")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(options.For, qt.Equals, 3*time.Second)
	code, _, _ = run(functions, "serve", "-settings", "../examples/zbiorka/hosts/krakow-2.ini")
	c.Assert(code, qt.Equals, exitOK)
	c.Assert(settings.Name, qt.Equals, "krakow-2")
}

// Guards the help, which new operators read first, against unintended changes, and against a command without an example
// or without a row in docs/OPERATING.md.
func TestHelp(t *testing.T) {
	c := qt.New(t)
	_, _, errOut := run(Commander{}, "-h")
	checkGolden(c, "help", errOut)
	page, err := os.ReadFile(filepath.Join("..", "docs", "OPERATING.md"))
	c.Assert(err, qt.IsNil)
	for _, sub := range (&Commander{Stderr: &bytes.Buffer{}}).root().Subcommands {
		c.Assert(sub.LongHelp, qt.Contains, "EXAMPLE\n  bramleyline "+sub.Name)
		c.Check(string(page), qt.Contains, "| `"+sub.Name+"` | `bramleyline "+sub.Name)
	}
}
