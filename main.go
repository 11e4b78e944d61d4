// Command bramleyline is an HTTP router for sharded services: each key is owned by one server exclusively, and requests
// for the key go to that server.
package main

import (
	"context"
	"os"

	"github.com/pkg/errors"
	"golang.org/x/term"

	"bramleyline.example/bramleyline/commander"
	"bramleyline.example/bramleyline/demonstrator"
	"bramleyline.example/bramleyline/server"
	"bramleyline.example/bramleyline/settingsreader"
)

func main() {
	c := commander.Commander{
		Args:    os.Args[1:],
		Stdout:  os.Stdout,
		Stderr:  os.Stderr,
		Serve:   serve,
		Demo:    demo,
		Target:  target,
		Measure: measure,
		Soak:    soak,
	}
	os.Exit(c.Run())
}

// serve runs one host until ctx ends, and stops it gracefully.
func serve(ctx context.Context, settings settingsreader.Settings) error {
	if settings.Direct != nil {
		return serveDirect(ctx, settings)
	}
	s, err := server.New(settings, server.WithLogOutput(os.Stderr))
	if err != nil {
		return err
	}
	if err := s.Start(); err != nil {
		return err
	}
	select {
	case <-ctx.Done():
	case <-s.Failed():
		s.Kill()
		return s.Err()
	}
	return errors.Wrap(s.Stop(context.WithoutCancel(ctx)), "stop")
}

// demo runs a deployment with emulated targets in this process.
func demo(ctx context.Context, o commander.DemoOptions) error {
	d := demonstrator.Demonstrator{
		Out:      os.Stdout,
		For:      o.For,
		Progress: term.IsTerminal(int(os.Stdout.Fd())),
	}
	return d.Run(ctx)
}
