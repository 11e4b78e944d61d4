// Package emulator emulates a target: it announces itself, holds a lease and slots, runs requests for a random time,
// and fails in the ways in which targets fail.
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

// relistenTries bounds the attempts to listen on the old address again after a crash. An outgoing connection may have
// taken the port meanwhile; the next incarnation then gets another one.
const relistenTries = 20

// Emulator is one emulated target. Make it with New.
type Emulator struct {
	opts   Options
	done   chan struct{}
	closed chan struct{}
	once   sync.Once
	wg     sync.WaitGroup

	mu      sync.Mutex
	rng     *rand.Rand
	addr    netip.AddrPort
	control *http.Server
	ctlAddr netip.AddrPort
	current *incarnation
	// thaw is closed at the end of a freeze; nil means not frozen.
	thaw chan struct{}
	// draining is the time since which the target says that it drains.
	draining    time.Time
	slow        float64
	incarnation uint64
	crashes     int
	runs        []*Run
	past        []Holding
}

// incarnation is one run of the target's process. Its fields are guarded by the mutex of the Emulator.
type incarnation struct {
	e           *Emulator
	incarnation uint64
	ctx         context.Context
	cancel      context.CancelFunc
	srv         *http.Server
	ln          *listener

	lease      leaser.Holder
	fence      fencer.Fencer
	ackVersion uint64
	owned      map[keyer.Slot]*Holding
	releasing  map[keyer.Slot]bool
	urgent     chan struct{}
	released   map[keyer.Slot]bool
	busy       map[keyer.Slot]int
	inFlight   int

	cold      bool
	coldSince time.Time
	coldDone  int
	// coldAnswers counts the heartbeats that stated the cold state and were answered, up to coldNotice.
	coldAnswers int
	loads       []loadSample
}

// New returns a target that Start starts.
func New(opts Options) *Emulator {
	o := opts.withDefaults()
	return &Emulator{
		opts:   o,
		done:   make(chan struct{}),
		closed: make(chan struct{}),
		rng:    rand.New(rand.NewPCG(o.Seed, 0x7461726765740a)),
		slow:   1,
		// The wall clock keeps incarnations rising when the command is started again.
		incarnation: uint64(time.Now().UnixNano()),
	}
}

// Start listens, and announces the target until Close.
func (e *Emulator) Start() error {
	if err := e.begin(e.opts.Listen); err != nil {
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

// begin starts a new incarnation on addr.
func (e *Emulator) begin(addr netip.AddrPort) error {
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		return errors.Wrapf(err, "target %s", e.opts.Name)
	}
	now := time.Now()
	l := &incarnation{
		e:         e,
		ln:        newListener(ln, e.opts.Connections),
		owned:     make(map[keyer.Slot]*Holding),
		releasing: make(map[keyer.Slot]bool),
		urgent:    make(chan struct{}, 1),
		released:  make(map[keyer.Slot]bool),
		busy:      make(map[keyer.Slot]int),
		cold:      !e.opts.Warm || e.Crashes() > 0,
		coldSince: now,
		// A target that restarts handles no more before its first heartbeat than after it.
		coldAnswers: coldNotice,
	}
	l.ctx, l.cancel = context.WithCancel(context.Background())
	l.srv = &http.Server{
		Handler:           l,
		ReadHeaderTimeout: 10 * time.Second,
	}
	e.mu.Lock()
	select {
	case <-e.closed:
		e.mu.Unlock()
		l.cancel()
		return ln.Close()
	default:
	}
	e.incarnation++
	l.incarnation = e.incarnation
	e.addr = ln.Addr().(*net.TCPAddr).AddrPort()
	e.current = l
	e.wg.Add(2)
	e.mu.Unlock()
	go func() {
		defer e.wg.Done()
		_ = l.srv.Serve(l.ln)
	}()
	go func() {
		defer e.wg.Done()
		l.heartbeats()
	}()
	return nil
}

// Addr returns the address that takes requests.
func (e *Emulator) Addr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.addr
}

// ControlAddr returns the address of the control API.
func (e *Emulator) ControlAddr() netip.AddrPort {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ctlAddr
}

// Name returns the name of the target.
func (e *Emulator) Name() string {
	return e.opts.Name
}

// Done is closed when the target has stopped for good.
func (e *Emulator) Done() <-chan struct{} {
	return e.done
}

// Close stops the target for good and resets its connections. Stop does it gracefully.
func (e *Emulator) Close() error {
	e.once.Do(func() {
		e.mu.Lock()
		close(e.closed)
		ctl := e.control
		e.mu.Unlock()
		e.Thaw()
		e.end()
		if ctl != nil {
			_ = ctl.Close()
		}
		e.wg.Wait()
		close(e.done)
	})
	<-e.done
	return nil
}

// Stop drains the target, waits until ctx ends at the latest for requests in progress, and closes it.
func (e *Emulator) Stop(ctx context.Context) error {
	e.Drain(true)
	tick := time.NewTicker(5 * time.Millisecond)
	defer tick.Stop()
	for e.InFlight() > 0 {
		select {
		case <-tick.C:
		case <-ctx.Done():
			_ = e.Close()
			return errors.Wrap(ctx.Err(), "requests in progress")
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

// end ends the current incarnation: all connections are reset and all it held is lost. It returns false if there was
// none.
func (e *Emulator) end() bool {
	now := time.Now()
	e.mu.Lock()
	l := e.current
	if l == nil {
		e.mu.Unlock()
		return false
	}
	e.current = nil
	for slot := range l.owned {
		l.endHolding(slot, now)
	}
	for _, r := range e.runs {
		if r.Result == ResultRunning {
			r.Result = ResultCrashed
			r.Ended = now
		}
	}
	e.mu.Unlock()
	l.cancel()
	l.ln.reset()
	_ = l.srv.Close()
	return true
}

// serviceTime draws a service time. The caller holds e.mu.
func (e *Emulator) serviceTime() time.Duration {
	factor := math.Exp(e.rng.NormFloat64() * e.opts.Sigma)
	return time.Duration(float64(e.opts.ServiceTime) * min(factor, 20) * e.slow)
}
