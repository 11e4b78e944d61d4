package commander

import (
	"context"
	"fmt"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"text/tabwriter"
	"time"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/checker"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/parser"
	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/requester"
)

// readChecked reads and checks a base file and its overlays, and returns the report and the texts. It writes findings
// to Stdout and returns ErrFindings if there are any.
func (c *Commander) readChecked(args []string) (*checker.Report, string, map[string]string, error) {
	base, overlays, err := readSources(args)
	if err != nil {
		return nil, "", nil, err
	}
	report := checker.Checker{}.Check(base, overlays)
	for _, f := range report.Findings {
		fmt.Fprintln(c.Stdout, f)
	}
	if !report.OK() {
		return nil, "", nil, errors.Wrapf(ErrFindings, "findings in the configuration: %d", len(report.Findings))
	}
	return &report, base.Text, overlayTexts(overlays), nil
}

func overlayTexts(overlays []parser.Source) map[string]string {
	texts := make(map[string]string, len(overlays))
	for _, o := range overlays {
		texts[checker.OverlayDataCentre(o.Name)] = o.Text
	}
	return texts
}

func (c *Commander) diff() *ffcli.Command {
	r := c.newRemoteCommand("diff", "diff BASE [OVERLAY...] -host ADDR -keyFile FILE")
	return r.command("show what files would change in the version in force",
		"Compares files with the version in force, setting by setting.",
		"bramleyline diff base.ini overlays/*.ini -host 127.0.0.1:7104 -keyFile operator.key",
		func(ctx context.Context, client *requester.Requester, args []string) error {
			if len(args) == 0 {
				return r.usageError()
			}
			report, base, overlays, err := c.readChecked(args)
			if err != nil {
				return err
			}
			var s presenter.Status
			if err := client.Get(ctx, "/v1/status", &s); err != nil {
				return err
			}
			if s.Config.Version == 0 {
				fmt.Fprintln(c.Stdout, "no version is in force: apply the files with -expect 0")
				return nil
			}
			var v presenter.Version
			if err := client.Get(ctx, versionPath(s.Config.Version), &v); err != nil {
				return err
			}
			return c.showDiff(report, &v, merger.Digest(base, overlays))
		})
}

func (c *Commander) showDiff(report *checker.Report, v *presenter.Version, digest string) error {
	if v.Digest == digest {
		fmt.Fprintf(c.Stdout, "no difference: version %d has the same text\n", v.Version)
		return nil
	}
	old := checker.Checker{}.CheckTexts(v.Base, v.Overlays)
	if !old.OK() {
		return errors.Errorf("version %d has findings for this program, the first is %s", v.Version, old.Findings[0])
	}
	lines := report.Diff(&old)
	if len(lines) == 0 {
		fmt.Fprintln(c.Stdout, "only comments, order or places of settings differ")
	}
	for _, line := range lines {
		fmt.Fprintln(c.Stdout, line)
	}
	fmt.Fprintf(c.Stdout, "version %d is in force: apply the files with -expect %d\n", v.Version, v.Version)
	return nil
}

func (c *Commander) apply() *ffcli.Command {
	r := c.newRemoteCommand("apply", "apply BASE [OVERLAY...] -expect N [-wait] [-force] -host ADDR -keyFile FILE")
	r.addChangeFlags()
	expect := r.flags.Int64("expect", -1, "version `N` in force that the files were made for")
	return r.command("bring files into force",
		"Brings files into force as version N+1, if version N is in force. Sending it again is safe.",
		"bramleyline apply base.ini overlays/*.ini -expect 3 -wait -host 127.0.0.1:7104 -keyFile operator.key",
		func(ctx context.Context, client *requester.Requester, args []string) error {
			if len(args) == 0 || *expect < 0 {
				return r.usageError()
			}
			_, base, overlays, err := c.readChecked(args)
			if err != nil {
				return err
			}
			a, err := client.Post(ctx, "/v1/configurations", presenter.Apply{
				Expect:   uint64(*expect),
				Base:     base,
				Overlays: overlays,
				Operator: r.operator,
				Force:    r.force,
			})
			if err != nil {
				return err
			}
			version := uint64(*expect) + 1
			return r.reportAnswer(ctx, client, &a, func(h *presenter.Host) bool { return h.Version >= version })
		})
}

func (c *Commander) history() *ffcli.Command {
	r := c.newRemoteCommand("history", "history -host ADDR -keyFile FILE")
	return r.command("list the accepted versions", "Lists the accepted versions, the newest last.",
		"bramleyline history -host 127.0.0.1:7104 -keyFile operator.key",
		func(ctx context.Context, client *requester.Requester, args []string) error {
			if len(args) > 0 {
				return r.usageError()
			}
			var versions []presenter.Version
			if err := client.Get(ctx, "/v1/history", &versions); err != nil {
				return err
			}
			tw := tabwriter.NewWriter(c.Stdout, 0, 0, 2, ' ', 0)
			fmt.Fprintln(tw, "VERSION\tDIGEST\tOPERATOR\tAT")
			for _, v := range versions {
				fmt.Fprintf(tw, "%d\t%s\t%s\t%s\n", v.Version, v.Digest, v.Operator, v.At.UTC().Format(time.RFC3339))
			}
			return tw.Flush()
		})
}

func (c *Commander) show() *ffcli.Command {
	r := c.newRemoteCommand("show", "show N [-folder FOLDER] -host ADDR -keyFile FILE")
	folder := r.flags.String("folder", "", "write base.ini and overlays/ to this `folder` in place of the output")
	return r.command("show the text of a version",
		"Shows the text of a version. To go back, write it to a folder and apply that as a new version.",
		"bramleyline show 2 -folder old -host 127.0.0.1:7104 -keyFile operator.key",
		func(ctx context.Context, client *requester.Requester, args []string) error {
			if len(args) != 1 {
				return r.usageError()
			}
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil {
				return r.usageError()
			}
			var v presenter.Version
			if err := client.Get(ctx, versionPath(n), &v); err != nil {
				return err
			}
			if *folder != "" {
				return c.writeVersion(*folder, &v)
			}
			fmt.Fprintf(c.Stdout, "; version %d, digest %s, from %s at %s\n; base.ini\n%s", v.Version, v.Digest, v.Operator,
				v.At.UTC().Format(time.RFC3339), v.Base)
			for _, name := range slices.Sorted(maps.Keys(v.Overlays)) {
				fmt.Fprintf(c.Stdout, "\n; overlays/%s.ini\n%s", name, v.Overlays[name])
			}
			return nil
		})
}

func versionPath(n uint64) string {
	return "/v1/configurations/" + strconv.FormatUint(n, 10)
}

// writeVersion writes the texts of v to folder. It never overwrites a file, because the folder may hold files of the
// operator.
func (c *Commander) writeVersion(folder string, v *presenter.Version) error {
	texts := map[string]string{
		filepath.Join(folder, "base.ini"): v.Base,
	}
	for name, text := range v.Overlays {
		texts[filepath.Join(folder, "overlays", filepath.Base(name)+".ini")] = text
	}
	for _, file := range slices.Sorted(maps.Keys(texts)) {
		if err := os.MkdirAll(filepath.Dir(file), 0o755); err != nil {
			return errors.Wrap(err, "make folder")
		}
		f, err := os.OpenFile(file, os.O_WRONLY|os.O_CREATE|os.O_EXCL, 0o644)
		if err != nil {
			return errors.Wrap(err, "write version")
		}
		_, err = f.WriteString(texts[file])
		if closeErr := f.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return errors.Wrap(err, "write version")
		}
		fmt.Fprintln(c.Stdout, file)
	}
	return nil
}
