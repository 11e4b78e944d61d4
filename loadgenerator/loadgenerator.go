// Package loadgenerator is an open-loop HTTP load generator: requests arrive as a Poisson process and do not wait for
// the answers to earlier ones. Latency is measured from the intended start of a request, so it includes the delay of a
// late start.
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

// Generator generates load in one run. Make it with New.
type Generator struct {
	opts   Options
	client *http.Client
	done   chan struct{}
	cancel context.CancelFunc
	wg     sync.WaitGroup

	nextEntry      atomic.Uint64
	inFlight       atomic.Int64
	ready          []atomic.Bool
	identityPrefix string

	mu      sync.Mutex
	records []Record
}

// New returns a Generator; Start starts it.
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
		done:           make(chan struct{}),
		ready:          make([]atomic.Bool, len(o.Entries)),
		identityPrefix: strconv.FormatUint(o.Seed, 36) + "." + strconv.FormatInt(time.Now().UnixNano(), 36) + ".",
	}
	for i := range g.ready {
		g.ready[i].Store(true)
	}
	return g
}

// Start starts to send requests.
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
				g.pollReady(readyCtx, i)
			}()
		}
	}
	go func() {
		defer close(g.done)
		g.generateArrivals(ctx)
		g.wg.Wait()
		stopReady()
		readyDone.Wait()
		g.client.CloseIdleConnections()
		cancel()
	}()
	return nil
}

// Done returns a channel that is closed when the run is over and its last request has ended.
func (g *Generator) Done() <-chan struct{} {
	return g.done
}

// Close ends the run and cancels all requests in progress. To let them finish, wait for Done instead.
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

// generateArrivals starts requests at the times of a Poisson process until the run is over.
func (g *Generator) generateArrivals(ctx context.Context) {
	rng := rand.New(rand.NewPCG(g.opts.Seed, 0x6c6f61646572))
	mix := newMixer(g.opts.Mix, rng)
	start := time.Now()
	var offset time.Duration
	for n := range g.opts.Count {
		offset += time.Duration(rng.ExpFloat64() / g.opts.Rate * float64(time.Second))
		if offset >= g.opts.Duration {
			return
		}
		req := mix.draw(offset)
		req.record.Identity = g.identityPrefix + strconv.Itoa(n)
		req.record.Intended = start.Add(offset)
		if wait := time.Until(req.record.Intended); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if g.inFlight.Load() >= int64(g.opts.MaxInFlight) {
			req.record.Ended = time.Now()
			g.addRecord(req.record)
			continue
		}
		g.inFlight.Add(1)
		g.wg.Add(1)
		go func() {
			defer g.wg.Done()
			defer g.inFlight.Add(-1)
			g.call(ctx, req)
		}()
	}
}

func (g *Generator) addRecord(r Record) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.records = append(g.records, r)
}

// pollReady updates the readiness of one entry host every ReadyInterval, as the platform's balancer does.
func (g *Generator) pollReady(ctx context.Context, i int) {
	tick := time.NewTicker(g.opts.ReadyInterval)
	defer tick.Stop()
	for {
		probeCtx, cancel := context.WithTimeout(ctx, g.opts.ReadyInterval)
		ready := g.opts.Ready(probeCtx, g.opts.Entries[i])
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

// pickEntry returns the next ready entry host in turn, or just the next one if none is ready.
func (g *Generator) pickEntry() netip.AddrPort {
	n := g.nextEntry.Add(1)
	for i := range g.opts.Entries {
		k := int((n + uint64(i)) % uint64(len(g.opts.Entries)))
		if g.ready[k].Load() {
			return g.opts.Entries[k]
		}
	}
	return g.opts.Entries[int(n%uint64(len(g.opts.Entries)))]
}
