// Package prober is an active health checker that rates the slowness of new targets before callers' requests reach
// them. Targets of one service differ in slowness, and an entry host of a large deployment sees too few answers of each
// target to estimate it in time.
package prober

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// probesPerTarget is the number of health checks of one target, and probeInterval the time between them. Neighbours
	// slow a target down for some hundred milliseconds at a time, so the least of a few samples is its own slowness.
	probesPerTarget = 3
	probeInterval   = 450 * time.Millisecond
	// maxParallelProbes is the number of targets that one host probes at once.
	maxParallelProbes = 4
	// probeTimeout bounds one health check, which takes a few milliseconds.
	probeTimeout = 300 * time.Millisecond
	// proposeTimeout bounds the commit of ratings.
	proposeTimeout = 2 * time.Second
	// usualSlowness is the rating of a target that reports no slowness.
	usualSlowness = 1.0
)

var counters = expvar.NewMap("prober")

// Caller makes health checks.
type Caller interface {
	// Probe makes a health check of t at path and returns the slowness that the target reports: the factor by which
	// requests take longer than usual at this moment. Zero means that it reports none.
	Probe(ctx context.Context, t registrar.Target, path string) (slowness float64, err error)
}

// State reads the replicated state and commits changes to it.
type State interface {
	State() *applier.State
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// Prober probes the targets that are assigned to this host. Make it with New.
type Prober struct {
	opts         Options
	measurements map[registrar.Incarnation]measurement
	ctx          context.Context
	cancel       context.CancelFunc
	done         chan struct{}
	once         sync.Once
}

// measurement is the result of the health checks of one incarnation so far.
type measurement struct {
	probes int
	// minSlowness is the least slowness that was reported, zero if there was none.
	minSlowness float64
}

// Options are the dependencies of a Prober. All are required.
type Options struct {
	// Name is the name of this host among the control hosts.
	Name   string
	State  State
	Caller Caller
	// Decode decodes a stored traffic table.
	Decode func(registrar.Document) (*matcher.Table, error)
	Log    *log.Logger
}

// New returns a Prober that has not started.
func New(o Options) *Prober {
	p := Prober{
		opts:         o,
		measurements: make(map[registrar.Incarnation]measurement),
		done:         make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return &p
}

// Start starts the probe loop.
func (p *Prober) Start() {
	p.once.Do(func() { go p.run() })
}

// Done is closed when the probe loop has ended.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// Close ends the probe loop.
func (p *Prober) Close() error {
	p.cancel()
	p.once.Do(func() { close(p.done) })
	<-p.done
	return nil
}

func (p *Prober) run() {
	defer close(p.done)
	ticker := time.NewTicker(probeInterval)
	defer ticker.Stop()
	tables := cacher.Cacher{
		Decode: p.opts.Decode,
	}
	for {
		select {
		case <-p.ctx.Done():
			return
		case <-ticker.C:
		}
		st := p.opts.State.State()
		table, err := tables.Table(st.Registry.Table)
		if err != nil {
			p.opts.Log.Error("stored table cannot be read", "version", st.Registry.Table.Version, "err", err)
			continue
		}
		if table != nil {
			p.probeUnrated(st, table)
		}
	}
}

// probeUnrated probes each unrated target of this host once, and commits the ratings of those that were probed often
// enough.
func (p *Prober) probeUnrated(st *applier.State, table *matcher.Table) {
	maps.DeleteFunc(p.measurements, func(inc registrar.Incarnation, _ measurement) bool { return !st.Registry.Alive(inc) })
	due := slices.DeleteFunc(unrated(st, p.opts.Name), func(t registrar.Target) bool {
		_, ok := table.Services[t.Service]
		return !ok
	})
	slowness := make([]float64, len(due))
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, maxParallelProbes)
	for i, t := range due {
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			slowness[i] = p.probe(t, table.Services[t.Service].HealthPath)
		})
	}
	wg.Wait()
	var ratings []registrar.Rating
	for i, t := range due {
		m := p.measurements[t.Incarnation].with(slowness[i])
		p.measurements[t.Incarnation] = m
		if m.probes >= probesPerTarget {
			ratings = append(ratings, registrar.Rating{
				Incarnation: t.Incarnation,
				Slowness:    cmp.Or(m.minSlowness, usualSlowness),
			})
		}
	}
	if len(ratings) > 0 {
		p.commit(ratings)
	}
}

// with returns m after one more health check. Zero means that the check failed or the target reported no slowness.
func (m measurement) with(slowness float64) measurement {
	m.probes++
	if slowness > 0 && (m.minSlowness == 0 || slowness < m.minSlowness) {
		m.minSlowness = slowness
	}
	return m
}

func (p *Prober) probe(t registrar.Target, path string) float64 {
	ctx, cancel := context.WithTimeout(p.ctx, probeTimeout)
	defer cancel()
	counters.Add("probes", 1)
	slowness, err := p.opts.Caller.Probe(ctx, t, path)
	if err != nil && p.ctx.Err() == nil {
		counters.Add("failedProbes", 1)
		p.opts.Log.Debug("probe failed", "target", t.ID, "err", err)
	}
	return slowness
}

func (p *Prober) commit(ratings []registrar.Rating) {
	ctx, cancel := context.WithTimeout(p.ctx, proposeTimeout)
	defer cancel()
	_, err := p.opts.State.Propose(ctx, applier.Command{
		Registry: &registrar.Change{
			Rate: &registrar.RateMsg{
				Ratings: ratings,
			},
		},
	})
	if p.ctx.Err() == nil {
		p.opts.Log.Info("targets rated", "targets", len(ratings), "err", err)
	}
}

// unrated returns the targets without a rating that are assigned to the named control host. Each target is assigned to
// one control host, in its own data centre if there is any, and always to the same one. Cold and draining targets are
// left out.
func unrated(st *applier.State, name string) []registrar.Target {
	hosts := make(map[string][]string)
	members := st.Members()
	for _, m := range members {
		dc := st.Hosts[m].DataCentre
		hosts[dc] = append(hosts[dc], m)
	}
	ownDataCentre := st.Hosts[name].DataCentre
	var due []registrar.Target
	for _, t := range st.Registry.Targets().All() {
		local := hosts[t.DataCentre]
		if t.Slowness > 0 || t.Cold || t.Draining || len(local) > 0 && t.DataCentre != ownDataCentre {
			continue
		}
		if len(local) == 0 {
			local = members
		}
		if assignedHost(local, t.ID) == name {
			due = append(due, *t)
		}
	}
	return due
}

// assignedHost returns the host that probes the target, by rendezvous hashing: the host with the highest hash is
// assigned, so that a host that leaves changes nothing for the targets of the others.
func assignedHost(hosts []string, target string) string {
	return slices.MaxFunc(hosts, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+target), xxhash.Sum64String(b+target))
	})
}
