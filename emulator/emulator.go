// Package emulator is an emulated target: an HTTP server that answers each request after a random service time, for
// tests, the demo and experiments. It announces itself by heartbeats, holds a lease and slots, records every request
// that it ran or rejected, and emulates the faults of real targets: freezes, crashes, slowness and cold starts.
package emulator

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
)

// maxRelistens bounds how often a crashed target tries to listen on its old address again. An outgoing connection may
// have taken the port meanwhile; the next incarnation then listens on Options.Listen, by default on another free port.
const maxRelistens = 20

// Emulator is one emulated target. Make it with New.
type Emulator struct {
	opts      Options
	done      chan struct{}
	closed    chan struct{}
	closeOnce sync.Once
	wg        sync.WaitGroup

	mu            sync.Mutex
	rng           *rand.Rand
	addr          netip.AddrPort
	controlServer *http.Server
	controlAddr   netip.AddrPort
	current       *incarnation
	// thawed is closed at the end of a freeze; nil means not frozen.
	thawed chan struct{}
	// drainingSince is the time since which the target reports that it is draining; zero if it does not.
	drainingSince   time.Time
	slowness        float64
	lastIncarnation uint64
	crashes         int
	runs            []*Run
	pastHoldings    []Holding
}

// incarnation is one start of the target, the counterpart of one operating system process. Its fields are guarded by
// the mutex of the Emulator.
type incarnation struct {
	emulator *Emulator
	id       uint64
	ctx      context.Context
	cancel   context.CancelFunc
	srv      *http.Server
	ln       *listener

	lease          leaser.Holder
	fence          fencer.Fencer
	ackVersion     uint64
	owned          map[keyer.Slot]*Holding
	releasing      map[keyer.Slot]bool
	urgent         chan struct{}
	released       map[keyer.Slot]bool
	inFlightBySlot map[keyer.Slot]int
	inFlight       int

	cold         bool
	coldSince    time.Time
	coldFinished int
	// coldReports counts the answered heartbeats that reported a state other than warm. Below coldGraceReports, the
	// target rejects requests beyond its cold limit; from then on, such a request crashes it.
	coldReports int
	loadSamples []loadSample
}

// New returns an emulated target; Start starts it.
func New(opts Options) *Emulator {
	o := opts.withDefaults()
	return &Emulator{
		opts:     o,
		done:     make(chan struct{}),
		closed:   make(chan struct{}),
		rng:      rand.New(rand.NewPCG(o.Seed, 0x7461726765740a)),
		slowness: 1,
		// The wall clock keeps the incarnations increasing when the process is restarted.
		lastIncarnation: uint64(time.Now().UnixNano()),
	}
}

// Start listens for requests, and sends heartbeats until Close.
func (e *Emulator) Start() error {
	if err := e.startIncarnation(e.opts.Listen); err != nil {
		return err
	}
	if e.opts.Control.IsValid() {
		if err := e.startControl(); err != nil {
			_ = e.Close()
			return err
		}
	}
	return nil
}

// startIncarnation starts a new incarnation that listens on addr.
func (e *Emulator) startIncarnation(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "start target %s", e.opts.Name)
	}
	now := time.Now()
	inc := &incarnation{
		emulator:       e,
		ln:             newListener(ln, e.opts.Connections),
		owned:          make(map[keyer.Slot]*Holding),
		releasing:      make(map[keyer.Slot]bool),
		urgent:         make(chan struct{}, 1),
		released:       make(map[keyer.Slot]bool),
		inFlightBySlot: make(map[keyer.Slot]int),
		cold:           !e.opts.Warm || e.Crashes() > 0,
		coldSince:      now,
		// A restarted target gets no grace: it can handle no more before its first heartbeat than after it.
		coldReports: coldGraceReports,
	}
	inc.ctx, inc.cancel = context.WithCancel(context.Background())
	inc.srv = &http.Server{
		Handler:           inc,
		ReadHeaderTimeout: 10 * time.Second,
	}
	e.mu.Lock()
	select {
	case <-e.closed:
		e.mu.Unlock()
		inc.cancel()
		return ln.Close()
	default:
	}
	e.lastIncarnation++
	inc.id = e.lastIncarnation
	e.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	e.current = inc
	e.wg.Add(2)
	e.mu.Unlock()
	go func() {
		defer e.wg.Done()
		_ = inc.srv.Serve(inc.ln)
	}()
	go func() {
		defer e.wg.Done()
		inc.sendHeartbeats()
	}()
	return nil
}

// Addr returns the address on which the target listens for requests.
func (e *Emulator) Addr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// ControlAddr returns the address of the control API.
func (e *Emulator) ControlAddr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.controlAddr
}

// Name returns the name of the target.
func (e *Emulator) Name() string {
	return e.opts.Name
}

// Done is closed when the target has stopped for good.
func (e *Emulator) Done() <-chan struct{} {
	return e.done
}

// Close stops the target for good and resets its connections. Stop shuts it down gracefully.
func (e *Emulator) Close() error {
	e.closeOnce.Do(func() {
		e.mu.Lock()
		close(e.closed)
		control := e.controlServer
		e.mu.Unlock()
		e.Thaw()
		e.endIncarnation()
		if control != nil {
			_ = control.Close()
		}
		e.wg.Wait()
		close(e.done)
	})
	<-e.done
	return nil
}

// Stop shuts the target down gracefully: it drains the target, waits for requests in progress until ctx ends at the
// latest, and closes it.
func (e *Emulator) Stop(ctx context.Context) error {
	e.Drain(true)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for e.InFlight() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = e.Close()
			return errors.Wrap(ctx.Err(), "wait for requests in progress")
		}
	}
	return e.Close()
}

// InFlight returns the number of requests in progress.
func (e *Emulator) InFlight() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current == nil {
		return 0
	}
	return e.current.inFlight
}

// endIncarnation ends the current incarnation: its connections are reset, and its lease and slots are lost. It reports
// whether there was one.
func (e *Emulator) endIncarnation() bool {
	now := time.Now()
	e.mu.Lock()
	inc := e.current
	if inc == nil {
		e.mu.Unlock()
		return false
	}
	e.current = nil
	for slot := range inc.owned {
		inc.endHolding(slot, now)
	}
	for _, r := range e.runs {
		if r.Result == ResultRunning {
			r.Result = ResultCrashed
			r.Ended = now
		}
	}
	e.mu.Unlock()
	inc.cancel()
	inc.ln.reset()
	_ = inc.srv.Close()
	return true
}

// drawServiceTime draws a service time from the log-normal distribution, cut off at 20 times the median, and multiplies
// it by the slowness. The caller holds e.mu.
func (e *Emulator) drawServiceTime() time.Duration {
	factor := math.Exp(e.rng.NormFloat64() * e.opts.Sigma)
	return time.Duration(float64(e.opts.ServiceTime) * min(factor, 20) * e.slowness)
}
