package commander

import (
	"context"
	"fmt"

	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settingsreader"
)

func (c *Commander) demo() *ffcli.Command {
	fs := c.newFlagSet("demo")
	duration := fs.Duration("for", 0, "how long the demo runs; zero means until it is interrupted")
	return &ffcli.Command{
		Name:       "demo",
		ShortUsage: "bramleyline demo [-for 15s]",
		ShortHelp:  "run a small deployment with stand-in targets in this process",
		LongHelp:   longHelp("Runs a small deployment with stand-in targets in this process.", "bramleyline demo -for 15s"),
		FlagSet:    fs,
		Options:    options(),
		Exec: func(ctx context.Context, args []string) error {
			if len(args) > 0 || *duration < 0 {
				return errors.Wrap(ErrUsage, "demo [-for 15s]")
			}
			if c.Demo == nil {
				return errors.Wrap(ErrNotAvailable, "demo")
			}
			return c.Demo(ctx, DemoOptions{
				For: *duration,
			})
		},
	}
}

func (c *Commander) serve() *ffcli.Command {
	fs := c.newFlagSet("serve")
	file := fs.String("settings", "", "settings `file` of this host")
	return &ffcli.Command{
		Name:       "serve",
		ShortUsage: "bramleyline serve -settings FILE",
		ShortHelp:  "run a host",
		LongHelp: longHelp("Runs a host until SIGINT or SIGTERM, then stops it gracefully.",
			"bramleyline serve -settings examples/zbiorka/hosts/krakow-1.ini"),
		FlagSet: fs,
		Options: options(),
		Exec: func(ctx context.Context, args []string) error {
			if *file == "" || len(args) > 0 {
				return errors.Wrap(ErrUsage, "serve -settings FILE")
			}
			s, findings := settingsreader.Read(*file)
			if len(findings) > 0 {
				for _, f := range findings {
					fmt.Fprintln(c.Stdout, f)
				}
				return errors.Wrapf(ErrFindings, "findings in the host settings: %d", len(findings))
			}
			if c.Serve == nil {
				return errors.Wrap(ErrNotAvailable, "serve")
			}
			return c.Serve(ctx, s)
		},
	}
}

// helpOnlyCommand returns the help entry of a command whose function parses its own flags. It has no Exec, because
// run calls that function before it parses the command line.
func helpOnlyCommand(name, help, exampleLine string) *ffcli.Command {
	return &ffcli.Command{
		Name:       name,
		ShortUsage: "bramleyline " + name + " [flags]",
		ShortHelp:  help,
		LongHelp:   longHelp(help, exampleLine),
	}
}
