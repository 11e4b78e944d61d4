package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
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
	fs.StringVar(&o.Name, "name", "target-1", "name of the target")
	fs.StringVar(&o.Service, "service", "tally", "service that it belongs to")
	fs.StringVar(&o.DataCentre, "dataCentre", "", "its data centre")
	fs.Uint64Var(&o.Seed, "seed", 1, "seed of the service times")
	fs.DurationVar(&o.ServiceTime, "serviceTime", 4*time.Millisecond, "median service time")
	fs.BoolVar(&o.Warm, "warm", false, "skip the cold start")
	fs.BoolVar(&o.IgnoresEpoch, "ignoresEpoch", false, "do not compare epochs")
	fs.DurationVar(&o.LoadAge, "loadAge", 0, "age of the reported load")
	fs.TextVar(&o.Listen, "listen", netip.MustParseAddrPort("127.0.0.1:0"), "address for requests")
	fs.TextVar(&o.Control, "control", netip.MustParseAddrPort("127.0.0.1:0"), "address of the control API")
	announce := fs.String("announce", "", "announce addresses of the hosts of the data centre, comma separated")
	tokenFile := fs.String("tokenFile", "", "file with the targets' key")
	fs.Usage = usage(fs, "bramleyline target -name tally-1 -service tally -dataCentre krakow "+
		"-announce 127.0.0.1:7103,127.0.0.1:7113 -tokenFile examples/zbiorka/keys/target.key")
	if err := parse(fs, args); err != nil {
		return o, err
	}
	token, err := os.ReadFile(*tokenFile)
	if err != nil {
		return o, errors.Wrap(commander.ErrUsage, "tokenFile: "+err.Error())
	}
	o.Token = strings.TrimSpace(string(token))
	for _, a := range strings.Split(*announce, ",") {
		addr, err := netip.ParseAddrPort(strings.TrimSpace(a))
		if err != nil {
			return o, errors.Wrap(commander.ErrUsage, "announce: "+err.Error())
		}
		o.Announce = append(o.Announce, addr)
	}
	return o, nil
}
