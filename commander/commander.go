// Package commander is the command line of bramleyline.
package commander

import (
	"context"
	"flag"
	"fmt"
	"io"

	"github.com/peterbourgon/ff/v3"
	"github.com/peterbourgon/ff/v3/ffcli"
	"github.com/pkg/errors"
)

// Exit codes of the program.
const (
	exitOK = 0
	// exitRefused says that a command was refused or found faults.
	exitRefused = 1
	exitUsage   = 2
)

// environmentPrefix precedes the name of a flag in the environment, as in BRAMLEYLINE_FOR.
const environmentPrefix = "BRAMLEYLINE"

// ErrUsage reports a command line that cannot be understood.
var ErrUsage = errors.New("wrong usage")

// Commander runs one command line.
type Commander struct {
	// Args are the arguments without the name of the program.
	Args   []string
	Stdout io.Writer
	Stderr io.Writer
}

// Run runs the command and returns the exit code: 0 for success, 1 for a refusal or faults found, 2 for wrong usage.
func (c *Commander) Run() int {
	root := c.root()
	if err := root.Parse(c.Args); err != nil {
		if errors.Is(err, flag.ErrHelp) {
			return exitOK
		}
		fmt.Fprintln(c.Stderr, err)
		return exitUsage
	}
	err := root.Run(context.Background())
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, flag.ErrHelp), errors.Is(err, ErrUsage):
		fmt.Fprintln(c.Stderr, err)
		return exitUsage
	}
	fmt.Fprintln(c.Stderr, err)
	return exitRefused
}

func (c *Commander) root() *ffcli.Command {
	fs := c.flags("bramleyline")
	return &ffcli.Command{
		Name:       "bramleyline",
		ShortUsage: "bramleyline COMMAND [flags] [arguments]",
		FlagSet:    fs,
		Options:    options(),
		Exec: func(context.Context, []string) error {
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
		ff.WithEnvVarPrefix(environmentPrefix),
	}
}
