// Package prober finds out how fast targets are before callers ask them for anything. Targets of one service differ in
// speed, and an entry host of a large deployment sees too few answers of each to learn it in time.
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
	// samples is the number of health checks of one target, and sampleInterval the time between them: neighbours slow a
	// target for some hundred milliseconds at a time, so the least of a few figures is its own.
	samples        = 3
	sampleInterval = 450 * time.Millisecond
	// parallel is the number of targets that are probed at once by one host.
	parallel = 4
	// probeTimeout bounds one health check, which takes some milliseconds.
	probeTimeout = 300 * time.Millisecond
	// proposeTimeout bounds the commit.
	proposeTimeout = 2 * time.Second
	// usual is the slowness of a target that says nothing of it.
	usual = 1.0
)

var counters = expvar.NewMap("prober")

// Caller makes health checks.
type Caller interface {
	// Probe returns how long work takes at a target at this moment compared with usual, as the target says at path. Zero
	// means that it does not say.
	Probe(ctx context.Context, t registrar.Target, path string) (slowness float64, err error)
}

// State is the replicated state and the commit of changes to it.
type State interface {
	State() *applier.State
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// Prober probes the targets of which this host is in charge. Make it with New.
type Prober struct {
	opts   Options
	known  map[registrar.Incarnation]figures
	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	once   sync.Once
}

// figures is what the health checks of one incarnation said.
type figures struct {
	checks int
	least  float64
}

// Options are the parts that a Prober works with. All are required.
type Options struct {
	// Name is the name of this host among the control hosts.
	Name   string
	State  State
	Caller Caller
	// Decode reads a stored traffic table.
	Decode func(registrar.Document) (*matcher.Table, error)
	Log    *log.Logger
}

// New returns a Prober that has not started.
func New(o Options) *Prober {
	p := Prober{
		opts:  o,
		known: make(map[registrar.Incarnation]figures),
		done:  make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return &p
}

// Start starts the loop.
func (p *Prober) Start() {
	p.once.Do(func() { go p.run() })
}

// Done is closed when the loop has ended.
func (p *Prober) Done() <-chan struct{} {
	return p.done
}

// Close ends the loop.
func (p *Prober) Close() error {
	p.cancel()
	p.once.Do(func() { close(p.done) })
	<-p.done
	return nil
}

func (p *Prober) run() {
	defer close(p.done)
	ticker := time.NewTicker(sampleInterval)
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
			p.round(st, table)
		}
	}
}

// round checks the targets that are due once, and commits the ratings of those that were checked often enough.
func (p *Prober) round(st *applier.State, table *matcher.Table) {
	maps.DeleteFunc(p.known, func(inc registrar.Incarnation, _ figures) bool { return !st.Registry.Alive(inc) })
	due := slices.DeleteFunc(unrated(st, p.opts.Name), func(t registrar.Target) bool {
		_, ok := table.Services[t.Service]
		return !ok
	})
	found := make([]float64, len(due))
	var wg sync.WaitGroup
	slots := make(chan struct{}, parallel)
	for i, t := range due {
		wg.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			found[i] = p.probe(t, table.Services[t.Service].HealthPath)
		})
	}
	wg.Wait()
	var ratings []registrar.Rating
	for i, t := range due {
		f := p.known[t.Incarnation].with(found[i])
		p.known[t.Incarnation] = f
		if f.checks >= samples {
			ratings = append(ratings, registrar.Rating{
				Incarnation: t.Incarnation,
				Slowness:    cmp.Or(f.least, usual),
			})
		}
	}
	if len(ratings) > 0 {
		p.commit(ratings)
	}
}

// with adds what one check said; zero means that it said nothing.
func (f figures) with(slowness float64) figures {
	f.checks++
	if slowness > 0 && (f.least == 0 || slowness < f.least) {
		f.least = slowness
	}
	return f
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

// unrated returns the targets without a rating of which the named control host is in charge: it is one of the target's data
// centre if there is any, and always the same one of them. Cold targets are left alone.
func unrated(st *applier.State, name string) []registrar.Target {
	hosts := make(map[string][]string)
	members := st.Members()
	for _, m := range members {
		dc := st.Hosts[m].DataCentre
		hosts[dc] = append(hosts[dc], m)
	}
	own := st.Hosts[name].DataCentre
	var due []registrar.Target
	for _, t := range st.Registry.Targets().All() {
		local := hosts[t.DataCentre]
		if t.Slowness > 0 || t.Cold || t.Draining || len(local) > 0 && t.DataCentre != own {
			continue
		}
		if len(local) == 0 {
			local = members
		}
		if inCharge(local, t.ID) == name {
			due = append(due, *t)
		}
	}
	return due
}

// inCharge returns the host with the highest hash for the target, so that a host that leaves changes nothing for the
// targets of the others.
func inCharge(hosts []string, target string) string {
	return slices.MaxFunc(hosts, func(a, b string) int {
		return cmp.Compare(xxhash.Sum64String(a+target), xxhash.Sum64String(b+target))
	})
}
