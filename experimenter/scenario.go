package experimenter

import (
	"context"
	"time"
)

// scenario is a load and a schedule of faults.
type scenario struct {
	name        string
	description string
	// adjust changes the default workload; nil keeps it.
	adjust func(*workload)
	// steps returns the schedule. Its random choices come from the trial's generator only, so that the seed determines
	// them.
	steps func(*trial) []step
}

// workload describes the load and the targets of a run.
type workload struct {
	rate         float64
	serviceTime  time.Duration
	keys         int
	zipf         float64
	hotKeys      int
	hotShare     float64
	hotMove      time.Duration
	poisonEvery  int
	maxRetries   int
	retryUnknown bool
	loadAge      time.Duration
}

// defaultWorkload loads the targets to about a tenth: 28 targets with 4 slots serve about 13,000 requests a second at a
// median service time of 8 ms.
func defaultWorkload() workload {
	return workload{
		rate:        1200,
		serviceTime: 8 * time.Millisecond,
		keys:        400,
		loadAge:     500 * time.Millisecond,
	}
}

// step is one action of a scenario; offset is its time after the start of the measured load.
type step struct {
	offset time.Duration
	name   string
	run    func(ctx context.Context) error
}

// offset returns the time after the start at which the given share of the run has passed.
func (t *trial) offset(share float64) time.Duration {
	return time.Duration(share * float64(t.opts.For))
}

func newStep(offset time.Duration, name string, run func(ctx context.Context) error) step {
	return step{
		offset: offset,
		name:   name,
		run:    run,
	}
}

// keyedServiceTargets returns the targets of the keyed service.
func (t *trial) keyedServiceTargets() []*target {
	t.mu.Lock()
	defer t.mu.Unlock()
	var targets []*target
	for _, tg := range t.targets {
		for _, s := range t.setup.Services {
			if s.Keyed && s.Name == tg.service {
				targets = append(targets, tg)
			}
		}
	}
	return targets
}

func scenarios() []scenario {
	return []scenario{
		{
			name:        "steady",
			description: "no faults",
			steps:       func(*trial) []step { return nil },
		},
		{
			name:        "hotKeys",
			description: "40% of the keyed requests go to 8 keys, which change four times",
			adjust: func(w *workload) {
				w.hotKeys = 8
				w.hotShare = 0.4
				w.hotMove = 5 * time.Second
				w.zipf = 1.1
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:        "coldStart",
			description: "all targets restart cold at once; later some restart and some become cold without warning",
			steps:       stepsColdStart,
		},
		{
			name:        "stragglers",
			description: "two targets at a time are 15 times slower; their load reports are 1 s old",
			adjust:      func(w *workload) { w.loadAge = time.Second },
			steps:       stepsStragglers,
		},
		{
			name:        "targetLoss",
			description: "a target is lost for good, one crashes and returns, one freezes and thaws",
			steps:       stepsTargetLoss,
		},
		{
			name:        "dcTakeout",
			description: "operators take a data centre out and bring it back",
			steps:       stepsTakeout,
		},
		{
			name:        "dcPartition",
			description: "a data centre is cut off from the others, but not from its callers",
			steps:       stepsPartition,
		},
		{
			name:        "hostLoss",
			description: "a host is lost and returns; another one stops as planned",
			steps:       stepsHostLoss,
		},
		{
			name:        "leaderIsolated",
			description: "the leader of the control group is silently cut off from everything",
			steps:       stepsLeaderIsolated,
		},
		{
			name:        "crashRequest",
			description: "one in 150 non-idempotent requests crashes its target, and callers send lost requests again",
			adjust: func(w *workload) {
				w.poisonEvery = 150
				w.maxRetries = 3
				w.retryUnknown = true
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:        "overload",
			description: "half as many requests again as the targets can serve",
			adjust: func(w *workload) {
				w.serviceTime = 60 * time.Millisecond
				w.rate = 2600
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:        "configStorm",
			description: "two operators submit concurrent changes and resend them",
			steps:       stepsStorm,
		},
		{
			name:        "restartAll",
			description: "all hosts are lost at once and start again",
			steps:       stepsRestartAll,
		},
		{
			name:        "random",
			description: "a random schedule of faults; the seed decides",
			steps:       stepsRandom,
		},
	}
}

func stepsColdStart(t *trial) []step {
	var steps []step
	for _, tg := range t.targets {
		steps = append(steps,
			newStep(t.offset(0.1), "restart "+tg.name, noError(func() { tg.Crash(200 * time.Millisecond) })))
	}
	for i, tg := range t.keyedServiceTargets() {
		switch i % 4 {
		case 0:
			steps = append(steps,
				newStep(t.offset(0.4), "restart "+tg.name, noError(func() { tg.Crash(200 * time.Millisecond) })))
		case 1:
			steps = append(steps, newStep(t.offset(0.7), "cold again "+tg.name, noError(tg.TurnCold)))
		}
	}
	return steps
}

func stepsStragglers(t *trial) []step {
	var steps []step
	targets := t.targets
	for i := range 8 {
		from, to := 0.05+0.11*float64(i), 0.05+0.11*float64(i+1)
		for range 2 {
			tg := targets[t.rng.IntN(len(targets))]
			steps = append(steps,
				newStep(t.offset(from), "slow "+tg.name, noError(func() { tg.Slow(15) })),
				newStep(t.offset(to)-time.Millisecond, "normal "+tg.name, noError(func() { tg.Slow(1) })))
		}
	}
	return steps
}

func stepsTargetLoss(t *trial) []step {
	targets := t.keyedServiceTargets()
	t.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return []step{
		newStep(t.offset(0.2), "lose "+targets[0].name, noError(func() { targets[0].Crash(-1) })),
		newStep(t.offset(0.4), "crash "+targets[1].name, noError(func() { targets[1].Crash(500 * time.Millisecond) })),
		newStep(t.offset(0.6), "freeze "+targets[2].name, noError(targets[2].Freeze)),
		newStep(t.offset(0.6)+3*time.Second, "thaw "+targets[2].name, noError(targets[2].Thaw)),
	}
}

func stepsTakeout(t *trial) []step {
	dc := t.setup.DataCentres[t.rng.IntN(len(t.setup.DataCentres))]
	return []step{
		newStep(t.offset(0.2), "take out "+dc, func(ctx context.Context) error { return t.takeout(ctx, dc) }),
		newStep(t.offset(0.7), "restore "+dc, func(ctx context.Context) error { return t.restore(ctx, dc) }),
	}
}

func stepsPartition(t *trial) []step {
	dc := t.setup.DataCentres[t.rng.IntN(len(t.setup.DataCentres))]
	return []step{
		newStep(t.offset(0.2), "cut off "+dc, func(context.Context) error { return t.partition(dc, true) }),
		newStep(t.offset(0.6), "reconnect "+dc, func(context.Context) error { return t.partition(dc, false) }),
	}
}

func stepsRestartAll(t *trial) []step {
	var steps []step
	for _, h := range t.cluster.Hosts() {
		steps = append(steps,
			newStep(t.offset(0.3), "kill "+h.Name, func(context.Context) error { return t.cluster.KillHost(h.Name) }),
			newStep(t.offset(0.3)+time.Second, "start "+h.Name, func(ctx context.Context) error {
				return t.cluster.StartHost(ctx, h.Name)
			}))
	}
	return steps
}

// noError adapts a function that cannot fail to the run function of a step.
func noError(f func()) func(context.Context) error {
	return func(context.Context) error {
		f()
		return nil
	}
}
