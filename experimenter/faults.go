package experimenter

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/auditor"
	"bramleyline.example/bramleyline/injector"
)

// inForceBound is the time within which an accepted configuration must be in force on all running hosts (I10).
const inForceBound = 3 * time.Second

func stepsHostLoss(t *trial) []step {
	hosts := t.cluster.Hosts()
	lost := hosts[t.rng.IntN(len(hosts))]
	stopped := lost
	for stopped.DataCentre == lost.DataCentre {
		stopped = hosts[t.rng.IntN(len(hosts))]
	}
	return []step{
		newStep(t.offset(0.2), "kill "+lost.Name, func(context.Context) error { return t.cluster.KillHost(lost.Name) }),
		newStep(t.offset(0.4), "start "+lost.Name, func(ctx context.Context) error {
			return t.cluster.StartHost(ctx, lost.Name)
		}),
		newStep(t.offset(0.6), "stop "+stopped.Name, func(ctx context.Context) error { return t.stopHost(ctx, stopped) }),
		newStep(t.offset(0.8), "start "+stopped.Name, func(ctx context.Context) error {
			return t.cluster.StartHost(ctx, stopped.Name)
		}),
	}
}

// stopHost makes a planned stop of a host and records it for the audit: the stop must cut no request in progress (I9).
func (t *trial) stopHost(ctx context.Context, h Host) error {
	t.mu.Lock()
	t.events = append(t.events, auditor.Event{
		Entry: h.Entry,
		At:    time.Now(),
	})
	t.mu.Unlock()
	return t.cluster.StopHost(ctx, h.Name)
}

func (t *trial) takeout(ctx context.Context, dc string) error {
	t.mu.Lock()
	cut := t.cut[dc]
	t.mu.Unlock()
	if err := t.cluster.Takeout(ctx, dc, ""); err != nil {
		return err
	}
	if cut {
		// The takeout does not reach a data centre that is cut off. Section 10 of docs/design.md allows it to keep
		// serving.
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.events = append(t.events, auditor.Event{
		DataCentre: dc,
		At:         time.Now(),
	})
	return nil
}

func (t *trial) restore(ctx context.Context, dc string) error {
	t.mu.Lock()
	for i := range t.events {
		if t.events[i].DataCentre == dc && t.events[i].Until.IsZero() {
			t.events[i].Until = time.Now()
		}
	}
	t.mu.Unlock()
	return t.cluster.Restore(ctx, dc, "")
}

func (t *trial) partition(dc string, cut bool) error {
	t.mu.Lock()
	t.cut[dc] = cut
	t.mu.Unlock()
	return t.network.partition(dc, cut)
}

func stepsLeaderIsolated(t *trial) []step {
	leader := ""
	return []step{
		newStep(t.offset(0.2), "isolate the leader", func(context.Context) error {
			leader = t.cluster.Leader()
			if leader == "" {
				leader = t.cluster.Hosts()[0].Name
			}
			t.logStep(time.Since(t.start), "the leader is "+leader, nil)
			return t.network.Isolate(leader, injector.Fault{Cut: true})
		}),
		newStep(t.offset(0.7), "reconnect the leader", func(context.Context) error {
			return t.network.Isolate(leader, injector.Fault{})
		}),
	}
}

// stepsStorm makes two operators submit concurrent changes in each round, and the winner resend its change.
func stepsStorm(t *trial) []step {
	const rounds = 20
	steps := []step{{
		offset: 0,
		name:   "watch versions",
		run:    t.watchVersions,
	}}
	for i := range rounds {
		steps = append(steps, step{
			offset: t.offset(0.1 + 0.6*float64(i)/rounds),
			name:   fmt.Sprintf("round %d", i),
			run:    func(ctx context.Context) error { return t.raceOperators(ctx, i) },
		})
	}
	return append(steps, step{
		offset: t.offset(0.8),
		name:   "check that all hosts agree",
		run:    t.checkVersions,
	})
}

func (t *trial) raceOperators(ctx context.Context, round int) error {
	expect := t.newestVersion(ctx)
	var wg sync.WaitGroup
	var errs [2]error
	var versions [2]uint64
	for k := range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			versions[k], errs[k] = t.cluster.Apply(ctx, expect, 2*round+k)
		}()
	}
	wg.Wait()
	if errs[0] == nil && errs[1] == nil {
		t.addFinding("I10", fmt.Sprintf("round %d: both operators won, with versions %d and %d", round, versions[0],
			versions[1]))
	}
	for k, err := range errs {
		if err != nil {
			if !errors.Is(err, ErrConflict) {
				return err
			}
			continue
		}
		again, err := t.cluster.Apply(ctx, expect, 2*round+k)
		if err != nil {
			return errors.Wrap(err, "resend")
		}
		if again != versions[k] {
			t.addFinding("I10", fmt.Sprintf("round %d: a resend got version %d, the first submission %d", round, again,
				versions[k]))
		}
	}
	return nil
}

func (t *trial) newestVersion(ctx context.Context) uint64 {
	var newest uint64
	for _, v := range t.cluster.Versions(ctx) {
		newest = max(newest, v)
	}
	return newest
}

// watchVersions records a finding whenever a host goes back to an older version.
func (t *trial) watchVersions(ctx context.Context) error {
	seen := make(map[string]uint64)
	for time.Since(t.start) < t.offset(0.8) {
		for host, v := range t.cluster.Versions(ctx) {
			if v < seen[host] {
				t.addFinding("I10", fmt.Sprintf("%s went back from version %d to %d", host, seen[host], v))
			}
			seen[host] = v
		}
		select {
		case <-time.After(100 * time.Millisecond):
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// checkVersions submits a last change and checks that it is in force on all running hosts within inForceBound.
func (t *trial) checkVersions(ctx context.Context) error {
	version, err := t.cluster.Apply(ctx, t.newestVersion(ctx), 1000)
	if err != nil {
		return err
	}
	accepted := time.Now()
	for {
		behind := ""
		for host, v := range t.cluster.Versions(ctx) {
			if v != version {
				behind += fmt.Sprintf(" %s has %d", host, v)
			}
		}
		if behind == "" {
			return nil
		}
		if time.Since(accepted) > inForceBound {
			t.addFinding("I10", fmt.Sprintf("version %d is not in force everywhere after %s:%s", version, inForceBound,
				behind))
			return nil
		}
		time.Sleep(20 * time.Millisecond)
	}
}
