package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/commander"
	"bramleyline.example/bramleyline/emulator"
)

// targetStopWait bounds the wait for requests in progress when an emulated target is stopped.
const targetStopWait = 10 * time.Second

// target runs one emulated target until ctx ends.
func target(ctx context.Context, args []string) error {
	o, err := targetOptions(args)
	if err != nil {
		return err
	}
	e := emulator.New(o)
	if err := e.Start(); err != nil {
		return err
	}
	fmt.Printf("target %s of %s at %s, control API at %s\n", o.Name, o.Service, e.Addr(), e.ControlAddr())
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), targetStopWait)
	defer cancel()
	return e.Stop(stopCtx)
}

func targetOptions(args []string) (emulator.Options, error) {
	fs := flag.NewFlagSet("bramleyline target", flag.ContinueOnError)
	var o emulator.Options
	o.Bind(fs)
	tokenFile := fs.String("tokenFile", "", "file with the bearer token, in place of -token")
	fs.Usage = usage(fs, "bramleyline target -name tally-1 -service tally -dc krakow "+
		"-announce 127.0.0.1:7103,127.0.0.1:7113 -tokenFile examples/zbiorka/keys/target.key")
	if err := parse(fs, args); err != nil {
		return o, err
	}
	if *tokenFile != "" {
		token, err := os.ReadFile(*tokenFile)
		if err != nil {
			return o, errors.Wrap(commander.ErrUsage, err.Error())
		}
		o.Token = strings.TrimSpace(string(token))
	}
	return o, nil
}
