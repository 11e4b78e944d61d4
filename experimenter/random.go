package experimenter

import (
	"context"
	"fmt"
	"time"

	"bramleyline.example/bramleyline/injector"
)

// stepsRandom draws a fault for every 2 s of the run. Each lasts from 0.5 s to 4 s, so that two or three overlap.
func stepsRandom(t *trial) []step {
	var steps []step
	for at := t.at(0.1); at < t.at(0.8); at += time.Duration((1 + 2*t.rng.Float64()) * float64(time.Second)) {
		length := time.Duration((0.5 + 3.5*t.rng.Float64()) * float64(time.Second))
		steps = append(steps, t.randomFault(at, at+length)...)
	}
	return steps
}

// randomFault draws one fault between two times. Every draw comes from the trial's generator, in a fixed order, so that
// one seed always gives one schedule.
func (t *trial) randomFault(from, to time.Duration) []step {
	kind := t.rng.IntN(10)
	tg := t.targets[t.rng.IntN(len(t.targets))]
	hosts := t.cluster.Hosts()
	h := hosts[t.rng.IntN(len(hosts))]
	dc := t.setup.DataCentres[t.rng.IntN(len(t.setup.DataCentres))]
	pair := func(begin string, start func(context.Context) error, end string, stop func(context.Context) error) []step {
		return []step{newStep(from, begin, start), newStep(to, end, stop)}
	}
	switch kind {
	case 0:
		return []step{newStep(from, "crash "+tg.name, do(func() { tg.Crash(to - from) }))}
	case 1:
		return pair("freeze "+tg.name, do(tg.Freeze), "thaw "+tg.name, do(tg.Thaw))
	case 2:
		return pair("slow "+tg.name, do(func() { tg.Slow(15) }), "normal "+tg.name, do(func() { tg.Slow(1) }))
	case 3:
		return []step{newStep(from, "cold again "+tg.name, do(tg.TurnCold))}
	case 4:
		return pair("drain "+tg.name, do(func() { tg.Drain(true) }), "undrain "+tg.name, do(func() { tg.Drain(false) }))
	case 5:
		return pair("kill "+h.Name, func(context.Context) error { return t.cluster.KillHost(h.Name) },
			"start "+h.Name, func(ctx context.Context) error { return t.cluster.StartHost(ctx, h.Name) })
	case 6:
		return pair("isolate "+h.Name, func(context.Context) error {
			return t.network.Isolate(h.Name, injector.Fault{Cut: true})
		}, "reconnect "+h.Name, func(context.Context) error {
			return t.network.Isolate(h.Name, injector.Fault{})
		})
	case 7:
		return pair("cut off "+dc, func(context.Context) error { return t.partition(dc, true) },
			"reconnect "+dc, func(context.Context) error { return t.partition(dc, false) })
	case 8:
		return []step{newStep(from, "reset connections of "+h.Name, func(context.Context) error {
			if _, err := t.network.Reset(h.Name, "*"); err != nil {
				return err
			}
			_, err := t.network.Reset("*", h.Name)
			return err
		})}
	}
	return pair(fmt.Sprintf("pause %s", h.Name), func(context.Context) error { return t.cluster.PauseHost(h.Name, true) },
		"resume "+h.Name, func(context.Context) error { return t.cluster.PauseHost(h.Name, false) })
}
