package commander

import (
	"context"
	"fmt"
	"os"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/parser"
)

func (c *Commander) check() *ffcli.Command {
	fs := c.newFlagSet("check")
	explain := fs.Bool("explain", false, "show each value of each data centre and where it comes from")
	return &ffcli.Command{
		Name:       "check",
		ShortUsage: "bramleyline check BASE [OVERLAY...] [-explain]",
		ShortHelp:  "check a base file and its overlays without any host",
		LongHelp: longHelp(
			"Reports all findings as file:line: message. It needs no host, so it does not know what is in force.",
			"bramleyline check examples/zbiorka/base.ini examples/zbiorka/overlays/*.ini"),
		FlagSet: fs,
		Options: options(),
		Exec: func(_ context.Context, args []string) error {
			if len(args) == 0 {
				return errors.Wrap(ErrUsage, "check BASE [OVERLAY...] [-explain]")
			}
			base, overlays, err := readSources(args)
			if err != nil {
				return err
			}
			report := checker.Checker{}.Check(base, overlays)
			return c.showReport(&report, *explain)
		},
	}
}

func (c *Commander) showReport(report *checker.Report, explain bool) error {
	for _, f := range report.Findings {
		fmt.Fprintln(c.Stdout, f)
	}
	if !report.OK() {
		return errors.Wrapf(ErrFindings, "findings in the configuration: %d", len(report.Findings))
	}
	for _, n := range report.Notes {
		fmt.Fprintf(c.Stdout, "note: %s\n", n)
	}
	if explain {
		for _, name := range report.DataCentres() {
			if err := report.Explain(c.Stdout, name); err != nil {
				return errors.Wrap(err, "explain")
			}
		}
	}
	cfg := report.FirstConfig()
	fmt.Fprintf(c.Stdout, "no findings: deployment %s, %d data centres, %d services, digest %s\n", cfg.Deployment,
		len(cfg.DataCentres), len(cfg.Services), cfg.Digest)
	return nil
}

func readSources(files []string) (parser.Source, []parser.Source, error) {
	sources := make([]parser.Source, 0, len(files))
	for _, file := range files {
		text, err := os.ReadFile(file)
		if err != nil {
			return parser.Source{}, nil, errors.Wrap(err, "read configuration")
		}
		sources = append(sources, parser.Source{
			Name: file,
			Text: string(text),
		})
	}
	return sources[0], sources[1:], nil
}
