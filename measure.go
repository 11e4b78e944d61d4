package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/peterbourgon/ff/v3"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/commander"
	"bramleyline.example/bramleyline/experimenter"
)

// measure runs one scenario of the experiment tool.
func measure(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("bramleyline measure", flag.ContinueOnError)
	var o experimenter.Options
	list := fs.Bool("list", false, "list the scenarios")
	fs.StringVar(&o.Deployment, "deployment", "zbiorka", "zbiorka or aebischer")
	fs.StringVar(&o.Scenario, "scenario", "steady", "scenario, see -list")
	fs.StringVar(&o.Policy, "policy", experimenter.PolicyBoth, "default, baseline or both")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of load and faults")
	fs.DurationVar(&o.For, "for", 20*time.Second, "time of the measured load")
	fs.Float64Var(&o.Rate, "rate", 0, "requests a second; zero means the scenario's own")
	fs.StringVar(&o.Out, "out", "", "folder for results.json and plots")
	fs.Usage = usage(fs, "bramleyline measure -deployment zbiorka -scenario targetLoss -policy both -seed 1 -for 20s")
	if err := parse(fs, args); err != nil {
		return err
	}
	if *list {
		for _, s := range experimenter.Scenarios() {
			fmt.Printf("%-16s %s\n", s[0], s[1])
		}
		return nil
	}
	x := experimenter.Experimenter{
		Stdout: os.Stdout,
	}
	_, err := x.Run(ctx, o)
	if errors.Is(err, experimenter.ErrUnknown) {
		return errors.Wrap(commander.ErrUsage, err.Error())
	}
	return err
}

// parse sets the flags from args and the environment. Arguments that are not flags are wrong usage.
func parse(fs *flag.FlagSet, args []string) error {
	err := ff.Parse(fs, args, ff.WithEnvVarPrefix(commander.EnvironmentPrefix))
	switch {
	case errors.Is(err, flag.ErrHelp):
		return err
	case err != nil:
		return errors.Wrap(commander.ErrUsage, err.Error())
	case fs.NArg() > 0:
		return errors.Wrapf(commander.ErrUsage, "unexpected argument %q", fs.Arg(0))
	}
	return nil
}

func usage(fs *flag.FlagSet, example string) func() {
	return func() {
		fmt.Fprintf(fs.Output(), "Usage of %s:\n", fs.Name())
		fs.PrintDefaults()
		fmt.Fprintf(fs.Output(), "\nExample:\n  %s\n", example)
	}
}
