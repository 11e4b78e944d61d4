package prober

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

// fakeLog is a State that commits at once.
type fakeLog struct {
	mu    sync.Mutex
	state *applier.State
}

func (f *fakeLog) State() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeLog) Propose(_ context.Context, cmd applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	var r applier.Result
	f.state, r = f.state.Apply(f.state.Index+1, cmd)
	return r, nil
}

// fakeTargets returns the given values of each target, one for each probe.
type fakeTargets struct {
	mu       sync.Mutex
	slowness map[string][]float64
}

func (f *fakeTargets) Probe(_ context.Context, t registrar.Target, _ string) (float64, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	next := f.slowness[t.ID][0]
	f.slowness[t.ID] = f.slowness[t.ID][1:]
	return next, nil
}

func announce(c *qt.C, l *fakeLog, id, dataCentre string, cold bool) {
	n := l.State().Registry.Targets().Len()
	_, err := l.Propose(context.Background(), applier.Command{
		Registry: &registrar.Change{
			Announce: &registrar.Target{
				Incarnation: registrar.Incarnation{
					ID:   id,
					Born: time.UnixMilli(1).UTC(),
				},
				Service:    "tally",
				Addr:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(n)}), 80),
				DataCentre: dataCentre,
				Cold:       cold,
			},
		},
	})
	c.Assert(err, qt.IsNil)
}

func newLog(c *qt.C, hosts map[string]string) *fakeLog {
	l := &fakeLog{
		state: &applier.State{},
	}
	var voters []string
	for name, dc := range hosts {
		voters = append(voters, name)
		_, err := l.Propose(context.Background(), applier.Command{
			RegisterHost: &applier.RegisterHostMsg{
				Host: applier.Host{
					Name:       name,
					DataCentre: dc,
					Control:    true,
				},
			},
		})
		c.Assert(err, qt.IsNil)
	}
	_, err := l.Propose(context.Background(), applier.Command{
		ChangeVoters: &applier.ChangeVotersMsg{
			Voters: voters,
		},
	})
	c.Assert(err, qt.IsNil)
	return l
}

// Guards against a target that is rated slow because its neighbours were busy during a probe, and against one that is
// left unrated because it reports no slowness.
func TestRatingIsLeastReportedSlowness(t *testing.T) {
	c := qt.New(t)
	l := newLog(c, map[string]string{
		"x": "a",
	})
	announce(c, l, "noisy", "a", false)
	announce(c, l, "mute", "a", false)
	announce(c, l, "cold", "a", true)
	p := New(Options{
		Name:  "x",
		State: l,
		Caller: &fakeTargets{
			slowness: map[string][]float64{
				"noisy": {4.5, 1.5, 4.5},
				"mute":  {0, 0, 0},
			},
		},
		Log: log.New(io.Discard),
	})
	table := matcher.New(1, nil, map[string]matcher.Service{
		"tally": {
			Name: "tally",
		},
	}, matcher.Limits{})
	for range probesPerTarget {
		p.probeUnrated(l.State(), table)
	}
	for id, want := range map[string]float64{
		"noisy": 1.5,
		"mute":  usualSlowness,
		"cold":  0,
	} {
		got, _ := l.State().Registry.Target(id)
		c.Assert(got.Slowness, qt.Equals, want, qt.Commentf("%s", id))
	}
	c.Assert(unrated(l.State(), "x"), qt.HasLen, 0)
}

// Guards against targets that are probed by several hosts or by none, also where a data centre has no control host.
func TestEachTargetIsAssignedToOneHost(t *testing.T) {
	c := qt.New(t)
	hosts := map[string]string{
		"x": "a",
		"y": "a",
		"z": "b",
	}
	l := newLog(c, hosts)
	const targets = 30
	for i := range targets {
		announce(c, l, fmt.Sprint(i), string(rune('a'+i%3)), false)
	}
	seen := make(map[string]int)
	for name, dc := range hosts {
		for _, t := range unrated(l.State(), name) {
			seen[t.ID]++
			c.Assert(t.DataCentre == dc || t.DataCentre == "c", qt.IsTrue)
		}
	}
	c.Assert(seen, qt.HasLen, targets)
	for id, n := range seen {
		c.Assert(n, qt.Equals, 1, qt.Commentf("%s", id))
	}
}
