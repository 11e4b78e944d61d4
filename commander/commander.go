// Package commander is the command-line interface of bramleyline: it parses the command and its flags, runs the command
// and returns an exit code. Commands for a running deployment are clients of the operators' API of its hosts.
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
	// exitFailure says that a command failed, was refused or found faults.
	exitFailure = 1
	exitUsage   = 2
)

// EnvironmentPrefix is the prefix of the environment variables that set flags, such as BRAMLEYLINE_FOR for -for.
const EnvironmentPrefix = "BRAMLEYLINE"

var (
	// ErrUsage reports a command line with an unknown command, or with missing or wrong arguments.
	ErrUsage = errors.New("wrong usage")
	// ErrNotAvailable reports a command whose function in Commander is nil, because it is not part of this build.
	ErrNotAvailable = errors.New("command is not available in this build")
	// ErrFindings reports files with findings. The findings are written to Stdout before the error is returned.
	ErrFindings = errors.New("fix them first")
)

// Commander runs one command line. A command whose function is nil fails with ErrNotAvailable.
type Commander struct {
	// Args are the command-line arguments without the name of the program.
	Args   []string
	Stdout io.Writer
	Stderr io.Writer

	// Serve runs a host until ctx is done, then stops it gracefully.
	Serve func(ctx context.Context, s settingsreader.Settings) error
	// Demo runs a deployment with emulated targets in this process.
	Demo func(ctx context.Context, o DemoOptions) error
	// Target, Measure and Soak run the commands of these names. They get the arguments after the name and parse the flags
	// among them. They return ErrUsage for wrong usage and flag.ErrHelp for -h.
	Target  func(ctx context.Context, args []string) error
	Measure func(ctx context.Context, args []string) error
	Soak    func(ctx context.Context, args []string) error
}

// DemoOptions are the flags of the command demo.
type DemoOptions struct {
	// For is how long the demo runs; zero means until it is interrupted.
	For time.Duration
}

// Run runs the command and returns the exit code: 0 for success, 1 for a failure, a refusal or faults found, 2 for
// wrong usage. The first SIGINT or SIGTERM cancels the context of the command; the second one ends the process.
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
	return exitFailure
}

// errFlags reports flags that cannot be parsed. Package flag has already written the reason, so Run does not.
var errFlags = errors.New("wrong flags")

func (c *Commander) run(ctx context.Context) error {
	if len(c.Args) > 0 {
		// The functions of these commands parse their flags themselves.
		switch c.Args[0] {
		case "target":
			return callFunction(ctx, c.Target, c.Args)
		case "measure":
			return callFunction(ctx, c.Measure, c.Args)
		case "soak":
			return callFunction(ctx, c.Soak, c.Args)
		}
	}
	root := c.root()
	if err := root.Parse(moveFlagsFirst(root, c.Args)); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return err
		}
		return errors.Wrap(errFlags, err.Error())
	}
	return root.Run(ctx)
}

// callFunction calls f with the arguments after the name of the command.
func callFunction(ctx context.Context, f func(context.Context, []string) error, args []string) error {
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
		FlagSet:    c.newFlagSet("bramleyline"),
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
			helpOnlyCommand("target", "run an emulated target", "bramleyline target -h"),
			helpOnlyCommand("measure", "run scenarios and write their figures", "bramleyline measure -h"),
			helpOnlyCommand("soak", "harm real processes at random and check what is promised", "bramleyline soak -h"),
		},
		Exec: func(_ context.Context, args []string) error {
			if len(args) > 0 {
				return errors.Wrapf(ErrUsage, "no command %s; -h lists the commands", args[0])
			}
			return errors.Wrap(ErrUsage, "name a command; -h lists them")
		},
	}
}

func (c *Commander) newFlagSet(name string) *flag.FlagSet {
	fs := flag.NewFlagSet(name, flag.ContinueOnError)
	fs.SetOutput(c.Stderr)
	return fs
}

func options() []ff.Option {
	return []ff.Option{
		ff.WithEnvVarPrefix(EnvironmentPrefix),
	}
}
