// Package loadgenerator sends requests as callers do: arrivals do not wait for answers, and latency counts from the
// intended start.
package loadgenerator

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
)

// ErrNoEntries reports Options without an entry address.
var ErrNoEntries = errors.New("no entry addresses")

// Generator generates load. Make it with New.
type Generator struct {
	opts   Options
	client *http.Client
	done   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	next     atomic.Uint64
	inFlight atomic.Int64
	ready    []atomic.Bool
	prefix   string

	mu      sync.Mutex
	records []Record
}

// New returns a Generator that Start starts.
func New(opts Options) *Generator {
	o := opts.withDefaults()
	dial := o.Dial
	if dial == nil {
		d := net.Dialer{
			Timeout: time.Second,
		}
		dial = d.DialContext
	}
	g := &Generator{
		opts: o,
		client: &http.Client{
			Transport: &http.Transport{
				DialContext:         dial,
				MaxIdleConnsPerHost: 512,
				IdleConnTimeout:     30 * time.Second,
				DisableCompression:  true,
			},
			CheckRedirect: func(*http.Request, []*http.Request) error {
				return http.ErrUseLastResponse
			},
		},
		done:   make(chan struct{}),
		ready:  make([]atomic.Bool, len(o.Entries)),
		prefix: strconv.FormatUint(o.Seed, 36) + "." + strconv.FormatInt(time.Now().UnixNano(), 36) + ".",
	}
	for i := range g.ready {
		g.ready[i].Store(true)
	}
	return g
}

// Start begins to send.
func (g *Generator) Start() error {
	if len(g.opts.Entries) == 0 {
		return ErrNoEntries
	}
	ctx, cancel := context.WithCancel(context.Background())
	g.cancel = cancel
	readyCtx, stopReady := context.WithCancel(ctx)
	var readyDone sync.WaitGroup
	if g.opts.Ready != nil {
		for i := range g.opts.Entries {
			readyDone.Add(1)
			go func() {
				defer readyDone.Done()
				g.watchReady(readyCtx, i)
			}()
		}
	}
	go func() {
		defer close(g.done)
		g.arrivals(ctx)
		g.wg.Wait()
		stopReady()
		readyDone.Wait()
		g.client.CloseIdleConnections()
		cancel()
	}()
	return nil
}

// Done is closed when the last request has ended.
func (g *Generator) Done() <-chan struct{} {
	return g.done
}

// Close gives up all requests in progress. Callers of a test wait for Done instead.
func (g *Generator) Close() error {
	if g.cancel != nil {
		g.cancel()
		<-g.done
	}
	return nil
}

// Records returns a copy of the records of all requests that have ended.
func (g *Generator) Records() []Record {
	g.mu.Lock()
	defer g.mu.Unlock()
	return append([]Record(nil), g.records...)
}

// arrivals starts requests at the times of a Poisson process until the run is over.
func (g *Generator) arrivals(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.opts.Seed, 0x6c6f61646572))
	mix := newMixer(g.opts.Mix, rng)
	start := time.Now()
	var at time.Duration
	for n := range g.opts.Count {
		at += time.Duration(rng.ExpFloat64() / g.opts.Rate * float64(time.Second))
		if at >= g.opts.Duration {
			return
		}
		rec := mix.draw(at)
		rec.record.Identity = g.prefix + strconv.Itoa(n)
		rec.record.Intended = start.Add(at)
		if wait := time.Until(rec.record.Intended); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if g.inFlight.Load() >= int64(g.opts.MaxInFlight) {
			rec.record.Ended = time.Now()
			g.add(rec.record)
			continue
		}
		g.inFlight.Add(1)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			defer g.inFlight.Add(-1)
			g.call(ctx, rec)
		}()
	}
}

func (g *Generator) add(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, r)
}

// watchReady keeps the readiness of one entry host, as the platform's balancer does.
func (g *Generator) watchReady(ctx context.Context, i int) {
	tick := time.NewTicker(g.opts.ReadyInterval)
	defer tick.Stop()
	for {
		probe, cancel := context.WithTimeout(ctx, g.opts.ReadyInterval)
		ready := g.opts.Ready(probe, g.opts.Entries[i])
		cancel()
		if ctx.Err() != nil {
			return
		}
		g.ready[i].Store(ready)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// entry returns the next ready entry host in turn, or the next one if none is ready.
func (g *Generator) entry() netip.AddrPort {
	n := g.next.Add(1)
	for i := range g.opts.Entries {
		k := int((n + uint64(i)) % uint64(len(g.opts.Entries)))
		if g.ready[k].Load() {
			return g.opts.Entries[k]
		}
	}
	return g.opts.Entries[int(n%uint64(len(g.opts.Entries)))]
}
