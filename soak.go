package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/commander"
	"bramleyline.example/bramleyline/soaker"
)

// The limits of one soak run: each host process takes about 30 MB of memory, and each target a few goroutines.
const (
	maxSoakHosts   = 200
	maxSoakTargets = 400
)

// soak runs one fault-injection test: it carries out a random plan of faults against processes of this program.
func soak(ctx context.Context, args []string) error {
	fs := flag.NewFlagSet("bramleyline soak", flag.ContinueOnError)
	var o soaker.Options
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the plan")
	fs.DurationVar(&o.For, "for", 30*time.Second, "time in which faults begin")
	fs.IntVar(&o.Hosts, "hosts", 4, "number of entry hosts, beside four control hosts")
	fs.IntVar(&o.Targets, "targets", 8, "number of targets")
	keep := fs.String("keep", "", "folder for data and logs; they are removed after a good run if it is empty")
	fs.Usage = usage(fs, "bramleyline soak -seed 7 -for 30s -hosts 4")
	if err := parse(fs, args); err != nil {
		return err
	}
	if o.Hosts < 1 || o.Hosts > maxSoakHosts || o.Targets < 1 || o.Targets > maxSoakTargets {
		return errors.Wrapf(commander.ErrUsage, "-hosts goes from 1 to %d and -targets to %d", maxSoakHosts, maxSoakTargets)
	}
	var err error
	if o.Binary, err = os.Executable(); err != nil {
		return errors.Wrap(err, "find the program file")
	}
	o.Out = os.Stdout
	o.Folder = *keep
	if o.Folder == "" {
		if o.Folder, err = os.MkdirTemp("", "bramleyline-soak-"); err != nil {
			return errors.Wrap(err, "folder")
		}
	}
	err = soaker.New(o).Run(ctx)
	if err != nil || *keep != "" {
		fmt.Printf("logs are in %s\n", o.Folder)
		return err
	}
	return errors.Wrap(os.RemoveAll(o.Folder), "folder")
}
