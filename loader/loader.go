// Package loader sends requests as callers do: arrivals do not wait for answers, and latency counts from the intended
// start.
package loader

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

// Loader generates load. Make it with New.
type Loader struct {
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

// New returns a Loader that Start starts.
func New(opts Options) *Loader {
	o := opts.withDefaults()
	dial := o.Dial
	if dial == nil {
		d := net.Dialer{
			Timeout: time.Second,
		}
		dial = d.DialContext
	}
	l := &Loader{
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
	for i := range l.ready {
		l.ready[i].Store(true)
	}
	return l
}

// Start begins to send.
func (l *Loader) Start() error {
	if len(l.opts.Entries) == 0 {
		return ErrNoEntries
	}
	ctx, cancel := context.WithCancel(context.Background())
	l.cancel = cancel
	readyCtx, stopReady := context.WithCancel(ctx)
	var readyDone sync.WaitGroup
	if l.opts.Ready != nil {
		for i := range l.opts.Entries {
			readyDone.Add(1)
			go func() {
				defer readyDone.Done()
				l.watchReady(readyCtx, i)
			}()
		}
	}
	go func() {
		defer close(l.done)
		l.arrivals(ctx)
		l.wg.Wait()
		stopReady()
		readyDone.Wait()
		l.client.CloseIdleConnections()
		cancel()
	}()
	return nil
}

// Done is closed when the last request has ended.
func (l *Loader) Done() <-chan struct{} {
	return l.done
}

// Close gives up all requests in progress. Callers of a test wait for Done instead.
func (l *Loader) Close() error {
	if l.cancel != nil {
		l.cancel()
		<-l.done
	}
	return nil
}

// Records returns a copy of the records of all requests that have ended.
func (l *Loader) Records() []Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Record(nil), l.records...)
}

// arrivals starts requests at the times of a Poisson process until the run is over.
func (l *Loader) arrivals(ctx context.Context) {
	rng := rand.New(rand.NewPCG(l.opts.Seed, 0x6c6f61646572))
	mix := newMixer(l.opts.Mix, rng)
	start := time.Now()
	var at time.Duration
	for n := range l.opts.Count {
		at += time.Duration(rng.ExpFloat64() / l.opts.Rate * float64(time.Second))
		if at >= l.opts.Duration {
			return
		}
		rec := mix.draw(at)
		rec.record.Identity = l.prefix + strconv.Itoa(n)
		rec.record.Intended = start.Add(at)
		if wait := time.Until(rec.record.Intended); wait > 0 {
			select {
			case <-time.After(wait):
			case <-ctx.Done():
				return
			}
		}
		if l.inFlight.Load() >= int64(l.opts.MaxInFlight) {
			rec.record.Ended = time.Now()
			l.add(rec.record)
			continue
		}
		l.inFlight.Add(1)
		l.wg.Add(1)
		go func() {
			defer l.wg.Done()
			defer l.inFlight.Add(-1)
			l.call(ctx, rec)
		}()
	}
}

func (l *Loader) add(r Record) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.records = append(l.records, r)
}

// watchReady keeps the readiness of one entry host, as the platform's balancer does.
func (l *Loader) watchReady(ctx context.Context, i int) {
	tick := time.NewTicker(l.opts.ReadyInterval)
	defer tick.Stop()
	for {
		probe, cancel := context.WithTimeout(ctx, l.opts.ReadyInterval)
		ready := l.opts.Ready(probe, l.opts.Entries[i])
		cancel()
		if ctx.Err() != nil {
			return
		}
		l.ready[i].Store(ready)
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// entry returns the next ready entry host in turn, or the next one if none is ready.
func (l *Loader) entry() netip.AddrPort {
	n := l.next.Add(1)
	for i := range l.opts.Entries {
		k := int((n + uint64(i)) % uint64(len(l.opts.Entries)))
		if l.ready[k].Load() {
			return l.opts.Entries[k]
		}
	}
	return l.opts.Entries[int(n%uint64(len(l.opts.Entries)))]
}
