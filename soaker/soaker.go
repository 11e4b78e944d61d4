// Package soaker runs the real programs as processes of their own on one machine, harms them and their connections from
// outside, and checks what callers, targets and operators were promised.
//
// Clocks and disks cannot be harmed from outside of a process; tests of journaler, replicator and leaser do that.
package soaker

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/injector"
	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/platformemulator"
)

const (
	// callers is the number of callers at once.
	callers = 12
	// work is how long a target takes for a request.
	work = 15 * time.Millisecond
	// drainTime is the time after which a target whose drain was acknowledged gets no more work.
	drainTime = 2 * time.Second
	// contact is the time without any fault after which hosts count as in touch.
	contact = 3 * time.Second
	// recovery is the time after the last fault within which all keys are served.
	recovery = 15 * time.Second
	// startTime bounds the time until the first requests are served on a busy machine.
	startTime = 60 * time.Second
	// targetGap is how long a target that ended stays away.
	targetGap = time.Second
	// slowPause and slowRun are the parts of the time in which a slow host stands still and runs: it is five times slower.
	slowPause = 80 * time.Millisecond
	slowRun   = 20 * time.Millisecond
)

// ErrBroken reports a broken promise.
var ErrBroken = errors.New("promise broken")

// Options are the properties of a run.
type Options struct {
	// Seed draws the plan.
	Seed uint64
	// For is the time in which faults begin.
	For time.Duration
	// Hosts is the number of entry hosts, Targets that of targets.
	Hosts   int
	Targets int
	// Binary is the program, Folder where data and logs are kept.
	Binary string
	Folder string
	// Out gets the plan and the result.
	Out io.Writer
}

// Soaker is one run. Make it with New.
type Soaker struct {
	opts     Options
	plan     plan
	fleet    *fleet
	ledger   ledger
	operator *operator
	done     chan struct{}

	mu      sync.Mutex
	targets map[string]*platformemulator.Emulator
	// harmed counts the steps during which hosts may be out of touch.
	harmed int
}

// New returns a run that has not started.
func New(o Options) *Soaker {
	return &Soaker{
		opts:    o,
		plan:    newPlan(o.Seed, o.For, o.Hosts, o.Targets),
		targets: make(map[string]*platformemulator.Emulator),
		done:    make(chan struct{}),
	}
}

// Done is closed when the run has ended.
func (s *Soaker) Done() <-chan struct{} {
	return s.done
}

// Run starts the processes, carries out the plan, and returns an error that wraps ErrBroken if a promise was broken.
func (s *Soaker) Run(ctx context.Context) error {
	defer close(s.done)
	fmt.Fprintf(s.opts.Out, "seed %d, %d entry hosts, %d targets, %d steps in %s:\n%s\n", s.opts.Seed, s.opts.Hosts, s.opts.Targets,
		len(s.plan), s.opts.For, s.plan)
	var err error
	if s.fleet, err = newFleet(s.opts.Binary, s.opts.Folder, s.opts.Hosts); err != nil {
		return err
	}
	defer s.closeTargets()
	defer s.fleet.close()
	s.operator = newOperator(s.fleet.controls, &s.ledger)
	if err := s.begin(ctx); err != nil {
		return err
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range callers {
		c := newCaller(i, s.opts.Seed, s.fleet.entries, &s.ledger)
		wg.Go(func() { c.run(callCtx) })
	}
	wg.Go(func() { s.readTables(callCtx) })
	s.carryOut(ctx)
	err = s.recovers(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	return s.verdict()
}

// begin starts hosts and targets and waits until each key is served.
func (s *Soaker) begin(ctx context.Context) error {
	for _, h := range s.fleet.hosts {
		if err := s.fleet.start(h); err != nil {
			return err
		}
	}
	for i := range s.opts.Targets {
		if err := s.startTarget(i); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	if err := s.operator.putTable(startCtx); err != nil {
		return errors.Wrap(err, "first table")
	}
	s.settle()
	return errors.Wrap(s.served(startCtx, "begin"), "start")
}

// served waits until each entry host serves each of some keys. The hosts are asked side by side.
func (s *Soaker) served(ctx context.Context, name string) error {
	results := make(chan error, len(s.fleet.entries))
	for i, entry := range s.fleet.entries {
		c := newCaller(i, s.opts.Seed, s.fleet.entries, &s.ledger)
		c.name = fmt.Sprintf("%s%d", name, i)
		go func() { results <- c.servedBy(ctx, entry) }()
	}
	var failed error
	for range s.fleet.entries {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// startTarget runs the next incarnation of target i. Its connections go through a link.
func (s *Soaker) startTarget(i int) error {
	name := targetName(i)
	id := fmt.Sprintf("%s-%d", name, time.Now().UnixMilli())
	t := platformemulator.New(platformemulator.Options{
		ID:         id,
		Service:    serviceName,
		DataCentre: dataCentreName(i),
		Keyed:      true,
		Controls:   s.fleet.controls,
		Work:       work,
		Advertise: func(listen netip.AddrPort) (netip.AddrPort, error) {
			return s.fleet.net.Open("hosts", name, anyPort(), listen)
		},
		OnRun:     func(m platformemulator.RunMsg) { s.ledger.ran(m, drainTime) },
		OnDrained: s.ledger.drained,
	})
	if err := t.Start(); err != nil {
		return errors.Wrap(err, name)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets[name] = t
	return nil
}

func (s *Soaker) closeTargets() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, t := range s.targets {
		t.Close()
	}
}

func (s *Soaker) target(name string) *platformemulator.Emulator {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.targets[name]
}

// readTables reads the table at each control host now and then.
func (s *Soaker) readTables(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s.operator.read(ctx, s.fleet.controls[i%len(s.fleet.controls)])
		select {
		case <-ctx.Done():
		case <-time.After(minGap):
		}
	}
}

// carryOut begins each step at its time. Steps overlap.
func (s *Soaker) carryOut(ctx context.Context) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, st := range s.plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(st.at))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { s.carry(ctx, st) })
	}
	wg.Wait()
}

// carry carries out one step from its begin to its end.
func (s *Soaker) carry(ctx context.Context, st step) {
	switch st.kind {
	case kindTable, kindTakeout, kindDrain, kindCrash, kindBabble:
		s.change(ctx, st)
		return
	}
	s.harm()
	defer s.settle()
	switch st.kind {
	case kindKillAll:
		s.down(s.fleet.hosts, syscall.SIGKILL, st.lasts)
	case kindKill:
		s.down([]*host{s.fleet.find(st.subject)}, syscall.SIGKILL, st.lasts)
	case kindTerm:
		s.down([]*host{s.fleet.find(st.subject)}, syscall.SIGTERM, st.lasts/4)
	case kindWipe:
		s.wipe(s.fleet.find(st.subject), st.lasts)
	case kindPause:
		h := s.fleet.find(st.subject)
		h.signal(syscall.SIGSTOP)
		time.Sleep(st.lasts)
		h.signal(syscall.SIGCONT)
	case kindSlow:
		s.slow(s.fleet.find(st.subject), st.lasts)
	case kindHangup:
		s.fleet.find(st.subject).signal(syscall.SIGHUP)
	default:
		s.harmLinks(st)
	}
}

// slow lets a host run only for a part of the time.
func (s *Soaker) slow(h *host, lasts time.Duration) {
	for end := time.Now().Add(lasts); time.Now().Before(end); {
		h.signal(syscall.SIGSTOP)
		time.Sleep(slowPause)
		h.signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// harm and settle bracket a step during which hosts may be out of touch.
func (s *Soaker) harm() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.harmed++
	s.ledger.settled(time.Time{})
}

func (s *Soaker) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.harmed > 0 {
		s.harmed--
	}
	if s.harmed == 0 {
		s.ledger.settled(time.Now().Add(contact))
	}
}

// down stops hosts and starts them again.
func (s *Soaker) down(hosts []*host, sig syscall.Signal, lasts time.Duration) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { h.stop(sig) })
	}
	wg.Wait()
	time.Sleep(lasts)
	for _, h := range hosts {
		s.restart(h)
	}
}

func (s *Soaker) restart(h *host) {
	h.mu.Lock()
	exited := h.exited
	h.mu.Unlock()
	select {
	case <-exited:
	default:
		// Another step has started it.
		return
	}
	if err := s.fleet.start(h); err != nil {
		s.ledger.fail("%s does not start: %v", h.name, err)
	}
}

// wipe loses the disk of a control host.
func (s *Soaker) wipe(h *host, lasts time.Duration) {
	h.stop(syscall.SIGKILL)
	if err := os.RemoveAll(h.data()); err != nil {
		s.ledger.fail("disk of %s: %v", h.name, err)
	}
	time.Sleep(lasts)
	s.restart(h)
}

// harmLinks harms the connections of a host or a data centre.
func (s *Soaker) harmLinks(st step) {
	var err error
	switch st.kind {
	case kindCutDC:
		err = s.fleet.net.Isolate(st.subject+"*", injector.Fault{
			Cut: true,
		})
	case kindSilence:
		err = s.fleet.net.Isolate(st.subject, injector.Fault{
			Cut: true,
		})
	case kindOneWay:
		err = s.fleet.net.Set(st.subject, "!"+st.subject, injector.Fault{
			Cut: true,
		})
	case kindRefuse:
		err = s.fleet.net.Set("!"+st.subject, st.subject, injector.Fault{
			Refuse: true,
		})
	case kindDelay:
		err = s.fleet.net.Isolate(st.subject, injector.Fault{
			Delay: st.lasts / 20,
		})
	case kindReset:
		_, err = s.fleet.net.Reset("*", st.subject)
	}
	if err != nil {
		s.ledger.fail("step %s: %v", st, err)
	}
	time.Sleep(st.lasts)
	pattern := st.subject
	if st.kind == kindCutDC {
		pattern += "*"
	}
	// Faults of other steps on other names go on.
	if err := s.fleet.net.Isolate(pattern, injector.Fault{}); err != nil {
		s.ledger.fail("step %s: %v", st, err)
	}
}

// change carries out what operators and targets do.
func (s *Soaker) change(ctx context.Context, st step) {
	orderCtx, cancel := context.WithTimeout(ctx, s.opts.For+recovery)
	defer cancel()
	var err error
	switch st.kind {
	case kindTable:
		err = s.operator.putTable(orderCtx)
	case kindTakeout:
		path := platform.Counterpart{}.TakeoutPath(st.subject)
		if err = s.operator.order(orderCtx, http.MethodPost, path, nil); err == nil {
			time.Sleep(st.lasts)
			err = s.operator.order(orderCtx, http.MethodDelete, path, nil)
		}
	case kindDrain:
		t := s.target(st.subject)
		t.Drain()
		time.Sleep(drainTime + st.lasts)
		err = s.replace(st.subject, t)
	case kindBabble:
		t := s.target(st.subject)
		t.Babble(true)
		time.Sleep(st.lasts)
		t.Babble(false)
	case kindCrash:
		err = s.replace(st.subject, s.target(st.subject))
	}
	if err != nil && ctx.Err() == nil {
		s.ledger.fail("step %s: %v", st, err)
	}
}

// replace ends an incarnation of a target and starts the next one.
func (s *Soaker) replace(name string, t *platformemulator.Emulator) error {
	t.Close()
	time.Sleep(targetGap)
	if s.target(name) != t {
		// Another step has replaced it.
		return nil
	}
	for i := range s.opts.Targets {
		if targetName(i) == name {
			return s.startTarget(i)
		}
	}
	return nil
}

// recovers waits until each key is served again and the table that was acknowledged is read back.
func (s *Soaker) recovers(ctx context.Context) error {
	s.fleet.net.Heal()
	ctx, cancel := context.WithTimeout(ctx, recovery)
	defer cancel()
	if err := s.served(ctx, "end"); err != nil {
		return err
	}
	for _, base := range s.fleet.controls {
		for !s.operator.read(ctx, base) {
			if ctx.Err() != nil {
				return errors.Wrapf(ErrBroken, "table is not read back at %s in time", base)
			}
			time.Sleep(minGap)
		}
	}
	return nil
}

func (s *Soaker) verdict() error {
	broken, answers := s.ledger.result()
	fmt.Fprintf(s.opts.Out, "answers by status: %v\n", answers)
	for _, b := range broken {
		fmt.Fprintf(s.opts.Out, "broken: %s\n", b)
	}
	if len(broken) > 0 {
		return errors.Wrapf(ErrBroken, "seed %d, %d times, first: %s", s.opts.Seed, len(broken), broken[0])
	}
	return nil
}
