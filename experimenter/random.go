package experimenter

import (
	"context"
	"fmt"
	"time"

	"bramleyline.example/bramleyline/injector"
)

// stepsRandom draws faults that start from 1 s to 3 s apart, 2 s on average. Each lasts from 0.5 s to 4 s, so that two
// or three overlap at times.
func stepsRandom(t *trial) []step {
	var steps []step
	for start := t.offset(0.1); start < t.offset(0.8); start += time.Duration(
		(1 + 2*t.rng.Float64()) * float64(time.Second),
	) {
		duration := time.Duration((0.5 + 3.5*t.rng.Float64()) * float64(time.Second))
		steps = append(steps, t.randomFault(start, start+duration)...)
	}
	return steps
}

// randomFault draws one fault that lasts from one time to the other. Every draw comes from the trial's generator, in a
// fixed order, so that the same seed always gives the same schedule.
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
		return []step{newStep(from, "crash "+tg.name, noError(func() { tg.Crash(to - from) }))}
	case 1:
		return pair("freeze "+tg.name, noError(tg.Freeze), "thaw "+tg.name, noError(tg.Thaw))
	case 2:
		return pair("slow "+tg.name, noError(func() { tg.Slow(15) }), "normal "+tg.name, noError(func() { tg.Slow(1) }))
	case 3:
		return []step{newStep(from, "cold again "+tg.name, noError(tg.TurnCold))}
	case 4:
		return pair("drain "+tg.name, noError(func() { tg.Drain(true) }),
			"undrain "+tg.name, noError(func() { tg.Drain(false) }))
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
