package experimenter

import (
	"context"
	"time"
)

// scenario is a load and a schedule of faults.
type scenario struct {
	name  string
	about string
	// tune changes the load and the targets; nil keeps the defaults.
	tune func(*tuning)
	// steps returns the schedule; its random choices come from the trial's generator only.
	steps func(*trial) []step
}

// tuning is the load and the kind of the targets.
type tuning struct {
	rate        float64
	serviceTime time.Duration
	keys        int
	zipf        float64
	hotKeys     int
	hotShare    float64
	hotMove     time.Duration
	poisonEvery int
	resends     int
	resendLost  bool
	loadAge     time.Duration
}

// defaultTuning loads the targets to about a fifth: 28 targets with 4 slots serve about 13,000 requests a second at a
// median of 8 ms.
func defaultTuning() tuning {
	return tuning{
		rate:        1200,
		serviceTime: 8 * time.Millisecond,
		keys:        400,
		loadAge:     500 * time.Millisecond,
	}
}

// step is one action at a time after the start of the load.
type step struct {
	at   time.Duration
	name string
	do   func(ctx context.Context) error
}

// at returns a time as a share of the run.
func (t *trial) at(share float64) time.Duration {
	return time.Duration(share * float64(t.opts.For))
}

// newStep makes a step.
func newStep(at time.Duration, name string, do func(ctx context.Context) error) step {
	return step{
		at:   at,
		name: name,
		do:   do,
	}
}

// keyed returns the targets of the keyed service.
func (t *trial) keyed() []*target {
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
			name:  "steady",
			about: "no faults",
			steps: func(*trial) []step { return nil },
		},
		{
			name:  "hotKeys",
			about: "40% of the keyed requests go to 8 keys, which change four times",
			tune: func(u *tuning) {
				u.hotKeys = 8
				u.hotShare = 0.4
				u.hotMove = 5 * time.Second
				u.zipf = 1.1
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:  "coldStart",
			about: "all targets restart cold at once; later some restart and some become cold without warning",
			steps: stepsColdStart,
		},
		{
			name:  "stragglers",
			about: "two targets at a time are 15 times slower; their load reports are 1 s old",
			tune:  func(u *tuning) { u.loadAge = time.Second },
			steps: stepsStragglers,
		},
		{
			name:  "targetLoss",
			about: "a target is lost for good, one crashes and returns, one freezes and thaws",
			steps: stepsTargetLoss,
		},
		{
			name:  "dcTakeout",
			about: "operators take a data centre out and bring it back",
			steps: stepsTakeout,
		},
		{
			name:  "dcPartition",
			about: "a data centre is cut off from the others, but not from its callers",
			steps: stepsPartition,
		},
		{
			name:  "hostLoss",
			about: "a host is lost and returns; another one stops as planned",
			steps: stepsHostLoss,
		},
		{
			name:  "leaderIsolated",
			about: "the leader of the control group is silently cut off from everything",
			steps: stepsLeaderIsolated,
		},
		{
			name:  "crashRequest",
			about: "one in 150 non-idempotent requests crashes its target, and callers send lost requests again",
			tune: func(u *tuning) {
				u.poisonEvery = 150
				u.resends = 3
				u.resendLost = true
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:  "overload",
			about: "half as many requests again as the targets can serve",
			tune: func(u *tuning) {
				u.serviceTime = 60 * time.Millisecond
				u.rate = 2600
			},
			steps: func(*trial) []step { return nil },
		},
		{
			name:  "configStorm",
			about: "two operators submit concurrent changes and resend them",
			steps: stepsStorm,
		},
		{
			name:  "restartAll",
			about: "all hosts are lost at once and start again",
			steps: stepsRestartAll,
		},
		{
			name:  "random",
			about: "a random schedule of faults; the seed decides",
			steps: stepsRandom,
		},
	}
}

func stepsColdStart(t *trial) []step {
	var steps []step
	for _, tg := range t.targets {
		steps = append(steps, newStep(t.at(0.1), "restart "+tg.name, do(func() { tg.Crash(200 * time.Millisecond) })))
	}
	for i, tg := range t.keyed() {
		switch i % 4 {
		case 0:
			steps = append(steps, newStep(t.at(0.4), "restart "+tg.name, do(func() { tg.Crash(200 * time.Millisecond) })))
		case 1:
			steps = append(steps, newStep(t.at(0.7), "cold again "+tg.name, do(tg.TurnCold)))
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
				newStep(t.at(from), "slow "+tg.name, do(func() { tg.Slow(15) })),
				newStep(t.at(to)-time.Millisecond, "normal "+tg.name, do(func() { tg.Slow(1) })))
		}
	}
	return steps
}

func stepsTargetLoss(t *trial) []step {
	targets := t.keyed()
	t.rng.Shuffle(len(targets), func(i, j int) { targets[i], targets[j] = targets[j], targets[i] })
	return []step{
		newStep(t.at(0.2), "lose "+targets[0].name, do(func() { targets[0].Crash(-1) })),
		newStep(t.at(0.4), "crash "+targets[1].name, do(func() { targets[1].Crash(500 * time.Millisecond) })),
		newStep(t.at(0.6), "freeze "+targets[2].name, do(targets[2].Freeze)),
		newStep(t.at(0.6)+3*time.Second, "thaw "+targets[2].name, do(targets[2].Thaw)),
	}
}

func stepsTakeout(t *trial) []step {
	dc := t.setup.DataCentres[t.rng.IntN(len(t.setup.DataCentres))]
	return []step{
		newStep(t.at(0.2), "take out "+dc, func(ctx context.Context) error { return t.takeout(ctx, dc) }),
		newStep(t.at(0.7), "restore "+dc, func(ctx context.Context) error { return t.restore(ctx, dc) }),
	}
}

func stepsPartition(t *trial) []step {
	dc := t.setup.DataCentres[t.rng.IntN(len(t.setup.DataCentres))]
	return []step{
		newStep(t.at(0.2), "cut off "+dc, func(context.Context) error { return t.partition(dc, true) }),
		newStep(t.at(0.6), "reconnect "+dc, func(context.Context) error { return t.partition(dc, false) }),
	}
}

func stepsRestartAll(t *trial) []step {
	var steps []step
	for _, h := range t.cluster.Hosts() {
		steps = append(steps,
			newStep(t.at(0.3), "kill "+h.Name, func(context.Context) error { return t.cluster.KillHost(h.Name) }),
			newStep(t.at(0.3)+time.Second, "start "+h.Name, func(ctx context.Context) error {
				return t.cluster.StartHost(ctx, h.Name)
			}))
	}
	return steps
}

// do makes an action of a function without an error.
func do(f func()) func(context.Context) error {
	return func(context.Context) error {
		f()
		return nil
	}
}
