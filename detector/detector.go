// Package detector finds out whether a host has lost its links to all targets, as opposed to the loss of some targets: it
// opens connections to a sample of them when requests fail or are not answered.
package detector

import (
	"context"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

const (
	// silenceLimit is how long no target may answer while requests are in progress until links are probed. Requests that
	// take longer cost a host with little traffic a few connections.
	silenceLimit = 400 * time.Millisecond
	// probeTimeout bounds the opening of a connection; between data centres it takes about 4 ms.
	probeTimeout = 300 * time.Millisecond
	// probeSize is the number of targets in a sample. None of them accepts a connection by chance only where most targets
	// are lost.
	probeSize = 5
	// minSample is the least number of targets that can tell lost links from a lost target.
	minSample = 2
	// soundTime is how long a probe that found links holds: failures in that time are those of targets.
	soundTime = 250 * time.Millisecond
	// returnInterval is the time between two probes of a host that has lost its links.
	returnInterval = 250 * time.Millisecond
)

// counters are probes, losses and returns of links.
var counters = expvar.NewMap("links")

// Options configure a Detector. Sample and Dial are required.
type Options struct {
	// Sample returns up to n targets, drawn from those of different data centres.
	Sample func(n int) []netip.AddrPort
	Dial   func(ctx context.Context, network, addr string) (net.Conn, error)
	// OnChange is called when links are lost or have returned; it may be nil.
	OnChange func(lost bool)
	// Log may be nil.
	Log *log.Logger
}

// Detector tells whether this host has lost its links to targets. Make it with New. It is safe for concurrent use.
type Detector struct {
	opts Options
	lost atomic.Bool
	// inFlight is the number of requests in progress at targets, and heardAt when one of them was last answered or the first
	// of them began, in nanoseconds of the Unix time.
	inFlight atomic.Int64
	heardAt  atomic.Int64
	// answeredAt is when a target last answered, in the same unit.
	answeredAt atomic.Int64

	mu sync.Mutex
	// probing is closed at the end of the probe in progress, nil if there is none.
	probing chan struct{}
	soundAt time.Time

	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// New returns a Detector whose links are taken as sound.
func New(o Options) *Detector {
	d := Detector{
		opts: o,
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	return &d
}

// Close ends the probes.
func (d *Detector) Close() {
	d.mu.Lock()
	d.cancel()
	d.mu.Unlock()
	d.wg.Wait()
}

// Lost reports whether this host has lost its links to targets.
func (d *Detector) Lost() bool {
	return d.lost.Load()
}

// Begin records that a request is sent to a target. It starts a probe if targets have been silent for too long.
func (d *Detector) Begin(now time.Time) {
	if d.inFlight.Add(1) == 1 {
		d.heardAt.Store(now.UnixNano())
		return
	}
	if now.UnixNano()-d.heardAt.Load() > int64(silenceLimit) && !d.Lost() {
		d.startProbe(now)
	}
}

// End records the end of a request that Begin began. answered says that a target answered it.
func (d *Detector) End(now time.Time, answered bool) {
	d.inFlight.Add(-1)
	if answered {
		d.heardAt.Store(now.UnixNano())
		d.answeredAt.Store(now.UnixNano())
	}
}

// Failed records a failure that may be that of a target or that of all links, and starts a probe.
func (d *Detector) Failed(now time.Time) {
	if !d.Lost() {
		d.startProbe(now)
	}
}

// Check is called after a failure that may be that of a target or that of all links. It reports whether this host has lost
// its links, and waits for a probe if it has not just been made.
func (d *Detector) Check(ctx context.Context) bool {
	if d.Lost() {
		return true
	}
	done := d.startProbe(time.Now())
	if done == nil {
		return false
	}
	select {
	case <-done:
	case <-ctx.Done():
	}
	return d.Lost()
}

// startProbe starts a probe unless one is in progress, and returns a channel that is closed at its end. It returns nil if
// the last one has just found links.
func (d *Detector) startProbe(now time.Time) <-chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.probing != nil {
		return d.probing
	}
	if d.ctx.Err() != nil || now.Sub(d.soundAt) < soundTime {
		return nil
	}
	done := make(chan struct{})
	d.probing = done
	d.wg.Go(func() {
		d.probe()
		d.mu.Lock()
		d.probing = nil
		d.mu.Unlock()
		close(done)
	})
	return done
}

// probe decides whether the links are lost: none of a sample of targets accepts a connection. Where they are not refused, a
// request that is answered meanwhile shows that links are overloaded and not lost; to pass requests on would load others.
func (d *Detector) probe() {
	began := time.Now()
	accepted, refused, tried := d.try(func(int) int { return 1 })
	answered := d.answeredAt.Load() >= began.UnixNano()
	if accepted > 0 || tried < minSample || answered && refused < tried || d.ctx.Err() != nil {
		d.mu.Lock()
		d.soundAt = time.Now()
		d.mu.Unlock()
		return
	}
	d.change(true)
	d.wg.Go(d.awaitReturn)
}

// awaitReturn probes until most targets of a sample accept connections again, or none is known any more.
func (d *Detector) awaitReturn() {
	ticker := time.NewTicker(returnInterval)
	defer ticker.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C:
		}
		if accepted, _, tried := d.try(func(n int) int { return n/2 + 1 }); tried == 0 || 2*accepted > tried {
			d.mu.Lock()
			d.soundAt = time.Now()
			d.mu.Unlock()
			d.change(false)
			return
		}
	}
}

// try opens connections to a sample of targets at the same time, and returns once enough of them have accepted. enough gives
// their number for the size of the sample. refused is the number of those that refused.
func (d *Detector) try(enough func(n int) int) (accepted, refused, tried int) {
	counters.Add("probes", 1)
	sample := d.opts.Sample(probeSize)
	ctx, cancel := context.WithTimeout(d.ctx, probeTimeout)
	defer cancel()
	results := make(chan error, len(sample))
	for _, addr := range sample {
		go func() {
			conn, err := d.opts.Dial(ctx, "tcp", addr.String())
			if err == nil {
				_ = conn.Close()
			}
			results <- err
		}()
	}
	for range sample {
		switch err := <-results; {
		case err == nil:
			accepted++
		case errors.Is(err, syscall.ECONNREFUSED):
			refused++
		}
		if accepted >= enough(len(sample)) {
			break
		}
	}
	return accepted, refused, len(sample)
}

func (d *Detector) change(lost bool) {
	d.lost.Store(lost)
	if lost {
		counters.Add("losses", 1)
	} else {
		counters.Add("returns", 1)
	}
	if d.opts.Log != nil {
		d.opts.Log.Warn("links to targets", "lost", lost)
	}
	if d.opts.OnChange != nil {
		d.opts.OnChange(lost)
	}
}
