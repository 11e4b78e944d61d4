// Package commander is the command line of bramleyline.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"
	"os/signal"
	"syscall"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settingsreader"
)

// Exit codes of the program.
const (
	exitOK = 0
	// exitRefused says that a command was refused or found faults.
	exitRefused = 1
	exitUsage   = 2
)

// EnvironmentPrefix precedes the name of a flag in the environment, as in BRAMLEYLINE_FOR.
const EnvironmentPrefix = "BRAMLEYLINE"

var (
	// ErrUsage reports a command line that cannot be understood.
	ErrUsage = errors.New("wrong usage")
	// ErrNotAvailable reports a command whose function is not part of this build.
	ErrNotAvailable = errors.New("command is not available in this build")
	// ErrFindings reports files with findings, which were written before.
	ErrFindings = errors.New("fix them first")
)

// Commander runs one command line. A command whose function is nil answers that it is not available.
type Commander struct {
	// Args are the arguments without the name of the program.
	Args   []string
	Stdout io.Writer
	Stderr io.Writer

	// Serve runs a host until ctx ends and then stops it gracefully.
	Serve func(ctx context.Context, s settingsreader.Settings) error
	// Demo runs a deployment with stand-in targets in this process.
	Demo func(ctx context.Context, o DemoOptions) error
	// Target, Measure and Soak get the arguments after their name, flags included. They report wrong usage with ErrUsage and
	// -h with flag.ErrHelp.
	Target  func(ctx context.Context, args []string) error
	Measure func(ctx context.Context, args []string) error
	Soak    func(ctx context.Context, args []string) error
}

// DemoOptions are the flags of the command demo.
type DemoOptions struct {
	// For is how long the demo runs; zero means until it is interrupted.
	For time.Duration
}

// Run runs the command and returns the exit code: 0 for success, 1 for a refusal or faults found, 2 for wrong usage.
// SIGINT and SIGTERM end the command's context; a second one ends the process.
func (c *Commander) Run() int {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	context.AfterFunc(ctx, stop)
	err := c.run(ctx)
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp):
		return exitOK
	case errors.Is(err, errFlags):
		return exitUsage
	case errors.Is(err, ErrUsage):
		fmt.Fprintln(c.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(c.Stderr, err)
	return exitRefused
}

// errFlags reports flags that cannot be parsed; the flag package has written why.
var errFlags = errors.New("wrong flags")

func (c *Commander) run(ctx context.Context) error {
	if len(c.Args) > 0 {
		// These parse their own flags.
		switch c.Args[0] {
		case "target":
			return pass(ctx, c.Target, c.Args)
		case "measure":
			return pass(ctx, c.Measure, c.Args)
		case "soak":
			return pass(ctx, c.Soak, c.Args)
		}
	}
	root := c.root()
	if err := root.Parse(arrange(root, c.Args)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errors.Wrap(errFlags, err.Error())
	}
	return root.Run(ctx)
}

func pass(ctx context.Context, f func(context.Context, []string) error, args []string) error {
	if f == nil {
		return errors.Wrap(ErrNotAvailable, args[0])
	}
	return f(ctx, args[1:])
}

func (c *Commander) root() *ffcli.Command {
	return &ffcli.Command{
		Name:       "bramleyline",
		ShortUsage: "bramleyline COMMAND [flags] [arguments]",
		LongHelp:   rootHelp,
		FlagSet:    c.flags("bramleyline"),
		Options:    options(),
		Subcommands: []*ffcli.Command{
			c.demo(),
			c.serve(),
			c.check(),
			c.diff(),
			c.apply(),
			c.history(),
			c.show(),
			c.takeout(),
			c.restore(),
			c.status(),
			shell("target", "run an emulated target", "bramleyline target -h"),
			shell("measure", "run scenarios and write their figures", "bramleyline measure -h"),
			shell("soak", "harm real processes at random and check what is promised", "bramleyline soak -h"),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(ErrUsage, "no command %s; -h lists the commands", args[0])
			}
			return errors.Wrap(ErrUsage, "name a command; -h lists them")
		},
	}
}

func (c *Commander) flags(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.Stderr)
	return fs
}

func options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvironmentPrefix),
	}
}
