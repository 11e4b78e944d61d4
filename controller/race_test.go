package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
)

// Guards against lost configurations and duplicate versions while operators put configurations concurrently and hosts
// restart: each attempt must get a version of its own or be refused in favour of the one that won, no accepted version
// may be lost, and the version at a running host must never decrease.
func TestOperatorsRaceWhileHostsRestart(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3, controller.WithSnapshotEvery(20))
	g.takeOut("first", "dc1")
	ctx, cancel := context.WithTimeout(context.Background(), 2*waitTimeout)
	defer cancel()
	const operators, changes = 3, 15
	accepted := make([][]uint64, operators)
	var wg sync.WaitGroup
	for o := range operators {
		wg.Go(func() {
			expect := uint64(0)
			for len(accepted[o]) < changes {
				r, err := g.proposer().Propose(ctx, applier.Command{
					RequestID: fmt.Sprintf("%d-%d-%d", o, expect, len(accepted[o])),
					PutConfig: &applier.PutConfigMsg{
						Expect: expect,
						Digest: fmt.Sprintf("%d-%d", o, expect),
					},
				})
				if !c.Check(err, qt.IsNil) {
					return
				}
				expect++
				if r.Rejection == "" {
					accepted[o] = append(accepted[o], expect)
				}
			}
		})
	}
	finished := make(chan struct{})
	go func() {
		wg.Wait()
		close(finished)
	}()
	rng := rand.New(rand.NewPCG(1, 1))
	lastVersions := make(map[string]uint64)
	for running := true; running; {
		name := fmt.Sprint("host", 1+rng.IntN(3))
		g.stop(name)
		time.Sleep(time.Duration(rng.IntN(100)) * time.Millisecond)
		g.start(name, nil)
		delete(lastVersions, name)
		select {
		case <-finished:
			running = false
		case <-time.After(time.Duration(200+rng.IntN(400)) * time.Millisecond):
		}
		for name, h := range g.hosts {
			version := h.State().Config.Version
			c.Assert(version >= lastVersions[name], qt.IsTrue)
			lastVersions[name] = version
		}
	}
	r := g.takeOut("last", "dc2")
	g.awaitEqualStates(r.Index)
	versions := slices.Sorted(slices.Values(slices.Concat(accepted...)))
	c.Assert(len(slices.Compact(slices.Clone(versions))), qt.Equals, len(versions))
	for _, h := range g.hosts {
		c.Assert(h.State().Config.Version, qt.Equals, versions[len(versions)-1])
		for _, v := range versions {
			c.Assert(h.State().History[v-1].Version, qt.Equals, v)
		}
		for o := range operators {
			for _, v := range accepted[o] {
				c.Assert(h.State().History[v-1].Digest, qt.Equals, fmt.Sprintf("%d-%d", o, v-1))
			}
		}
	}
}
