// Package soaker is a soak test with random fault injection. It runs the real program as processes on one machine,
// injects faults into the processes and their connections, and checks the invariants that callers, targets and
// operators rely on.
//
// Clock faults and disk errors cannot be injected from outside a process; the tests of journaler, replicator and leaser
// cover them.
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

	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/platformemulator"
)

const (
	// callers is the number of concurrent callers.
	callers = 12
	// serviceTime is the time that a target takes to run a request.
	serviceTime = 15 * time.Millisecond
	// drainTime is the time after the acknowledgement of a drain in which the target may still get requests.
	drainTime = 2 * time.Second
	// contactDelay is the time after the end of the last disruption after which all hosts count as in contact.
	contactDelay = 3 * time.Second
	// recoveryTimeout is the time after the last fault within which all keys must be served again.
	recoveryTimeout = 15 * time.Second
	// startTimeout bounds the time until the first requests are served. It is long enough for a busy machine.
	startTimeout = 60 * time.Second
	// targetRestartDelay is the time between the end of a target and the start of its next incarnation.
	targetRestartDelay = time.Second
	// poisonPath marks the paths of requests that crash targets, and poisonGap is the pause between two of them.
	poisonPath = "poison-"
	poisonGap  = 150 * time.Millisecond
	// allTargets is the pattern of the names of all targets.
	allTargets = "?t*"
	// slowPause and slowRun are the times for which a slow host is stopped and runs in turn, which makes it five times
	// slower.
	// sharedTargets is the number of targets of the service without keys. Their numbers follow those of the others.
	sharedTargets = 3
	// allControls is the pattern of the names of all control hosts.
	allControls = "?c*"
	slowPause   = 80 * time.Millisecond
	slowRun     = 20 * time.Millisecond
)

// ErrInvariantViolated reports that the system violated an invariant or did not recover in time.
var ErrInvariantViolated = errors.New("invariant violated")

// Options configure a run.
type Options struct {
	// Seed determines the random plan, together with For, Hosts and Targets.
	Seed uint64
	// For is the length of the period in which faults begin.
	For time.Duration
	// Hosts is the number of entry hosts, Targets the number of targets.
	Hosts   int
	Targets int
	// Binary is the path of the program under test, Folder the folder for settings, data and logs.
	Binary string
	Folder string
	// Out receives the plan and the result.
	Out io.Writer
}

// Soaker is one run of the soak test. Make it with New.
type Soaker struct {
	opts     Options
	plan     plan
	fleet    *fleet
	checker  invariantChecker
	operator *operator
	done     chan struct{}

	mu      sync.Mutex
	targets map[string]*platformemulator.Emulator
	// disruptions is the number of current steps during which hosts may be out of contact.
	disruptions int
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

// Run starts the processes and runs the plan. It returns an error that wraps ErrInvariantViolated if an invariant was
// violated.
func (s *Soaker) Run(ctx context.Context) error {
	defer close(s.done)
	fmt.Fprintf(s.opts.Out, "seed %d, %d entry hosts, %d targets, %d steps in %s:\n%s\n", s.opts.Seed, s.opts.Hosts, s.opts.Targets,
		len(s.plan), s.opts.For, s.plan)
	var err error
	if s.fleet, err = newFleet(s.opts.Binary, s.opts.Folder, s.opts.Hosts, s.opts.Targets+sharedTargets); err != nil {
		return err
	}
	defer s.closeTargets()
	defer s.fleet.close()
	s.operator = newOperator(s.fleet.controls, &s.checker)
	if err := s.start(ctx); err != nil {
		return err
	}
	callCtx, stop := context.WithCancel(ctx)
	defer stop()
	var wg sync.WaitGroup
	for i := range callers {
		c := newCaller(i, s.opts.Seed, s.fleet.entries, &s.checker)
		wg.Go(func() { c.run(callCtx) })
	}
	wg.Go(func() { s.checkTables(callCtx) })
	s.runPlan(ctx)
	err = s.checkRecovery(ctx)
	stop()
	wg.Wait()
	if err != nil {
		return err
	}
	return s.report()
}

// start starts hosts and targets, puts the first table and waits until each entry host serves all tried keys.
func (s *Soaker) start(ctx context.Context) error {
	for _, h := range s.fleet.hosts {
		if err := s.fleet.start(h); err != nil {
			return err
		}
	}
	for i := range s.opts.Targets + sharedTargets {
		if err := s.startTarget(i); err != nil {
			return err
		}
	}
	startCtx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := s.operator.putTable(startCtx); err != nil {
		return errors.Wrap(err, "first table")
	}
	s.endDisruption()
	return errors.Wrap(s.waitServed(startCtx, "begin"), "start")
}

// waitServed waits until each entry host has served each of some keys. The hosts are tried concurrently.
func (s *Soaker) waitServed(ctx context.Context, name string) error {
	results := make(chan error, len(s.fleet.entries))
	for i, entry := range s.fleet.entries {
		c := newCaller(i, s.opts.Seed, s.fleet.entries, &s.checker)
		c.name = fmt.Sprintf("%s%d", name, i)
		go func() { results <- c.waitServed(ctx, entry) }()
	}
	var failed error
	for range s.fleet.entries {
		if err := <-results; err != nil {
			failed = err
		}
	}
	return failed
}

// startTarget starts the next incarnation of target i. Connections of hosts to it go through a link.
func (s *Soaker) startTarget(i int) error {
	name := targetName(i)
	id := fmt.Sprintf("%s-%d", name, time.Now().UnixMilli())
	service, keyed := serviceName, i < s.opts.Targets
	if !keyed {
		service = sharedName
	}
	t := platformemulator.New(platformemulator.Options{
		ID:         id,
		Service:    service,
		DataCentre: dataCentreName(i),
		Keyed:      keyed,
		Controls:   s.fleet.controls,
		Work:       serviceTime,
		Listen:     s.fleet.targets[i].listen,
		Advertise: func(netip.AddrPort) (netip.AddrPort, error) {
			return s.fleet.targets[i].announced, nil
		},
		PoisonPath: poisonPath,
		OnPoison: func(path string, at time.Time, crashed bool) {
			s.checker.recordPoison(path, at, crashed)
			if crashed {
				go s.restartPoisoned(name)
			}
		},
		OnArrival: s.checker.recordArrival,
		OnRun:     func(m platformemulator.RunMsg) { s.checker.recordRun(m, drainTime) },
		OnDrained: s.checker.recordDrain,
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

// checkTables reads and checks the table at one control host after the other until ctx is done.
func (s *Soaker) checkTables(ctx context.Context) {
	for i := 0; ctx.Err() == nil; i++ {
		s.operator.checkTable(ctx, s.fleet.controls[i%len(s.fleet.controls)])
		select {
		case <-ctx.Done():
		case <-time.After(minStepGap):
		}
	}
}

// runPlan begins each step at its time and waits until all have ended. Steps overlap.
func (s *Soaker) runPlan(ctx context.Context) {
	began := time.Now()
	var wg sync.WaitGroup
	for _, st := range s.plan {
		select {
		case <-ctx.Done():
		case <-time.After(time.Until(began.Add(st.offset))):
		}
		if ctx.Err() != nil {
			break
		}
		wg.Go(func() { s.runStep(ctx, st) })
	}
	wg.Wait()
}

// runStep runs one step from its beginning to its end.
func (s *Soaker) runStep(ctx context.Context, st step) {
	switch st.kind {
	case kindTable, kindTakeout, kindDrain, kindCrash, kindBabble, kindLimit, kindPoison:
		s.runChange(ctx, st)
		return
	case kindStrand:
		s.strand(st)
		return
	}
	s.beginDisruption()
	defer s.endDisruption()
	switch st.kind {
	case kindKillAll:
		s.restartHosts(s.fleet.hosts, syscall.SIGKILL, st.duration)
	case kindKill:
		s.restartHosts([]*host{s.fleet.find(st.subject)}, syscall.SIGKILL, st.duration)
	case kindTerm:
		s.restartHosts([]*host{s.fleet.find(st.subject)}, syscall.SIGTERM, st.duration/4)
	case kindWipe:
		s.wipeDisk(s.fleet.find(st.subject), st.duration)
	case kindPause:
		h := s.fleet.find(st.subject)
		h.signal(syscall.SIGSTOP)
		time.Sleep(st.duration)
		h.signal(syscall.SIGCONT)
	case kindSlow:
		s.slow(s.fleet.find(st.subject), st.duration)
	case kindHoldUpdates:
		s.holdUpdates(st)
	case kindReload:
		s.fleet.find(st.subject).signal(syscall.SIGHUP)
	default:
		s.disruptLinks(st)
	}
}

// slow stops and continues a host in turn for the duration.
func (s *Soaker) slow(h *host, duration time.Duration) {
	for end := time.Now().Add(duration); time.Now().Before(end); {
		h.signal(syscall.SIGSTOP)
		time.Sleep(slowPause)
		h.signal(syscall.SIGCONT)
		time.Sleep(slowRun)
	}
}

// beginDisruption and endDisruption bracket a step during which hosts may be out of contact.
func (s *Soaker) beginDisruption() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disruptions++
	s.checker.setInContactSince(time.Time{})
}

func (s *Soaker) endDisruption() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.disruptions > 0 {
		s.disruptions--
	}
	if s.disruptions == 0 {
		s.checker.setInContactSince(time.Now().Add(contactDelay))
	}
}

// restartHosts stops hosts with sig and starts them again after the duration.
func (s *Soaker) restartHosts(hosts []*host, sig syscall.Signal, duration time.Duration) {
	var wg sync.WaitGroup
	for _, h := range hosts {
		wg.Go(func() { h.stop(sig) })
	}
	wg.Wait()
	time.Sleep(duration)
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
		s.checker.reportViolation("%s does not start: %v", h.name, err)
	}
}

// wipeDisk kills a control host, deletes its data and starts it again after the duration.
func (s *Soaker) wipeDisk(h *host, duration time.Duration) {
	h.stop(syscall.SIGKILL)
	if err := os.RemoveAll(h.dataFolder()); err != nil {
		s.checker.reportViolation("disk of %s: %v", h.name, err)
	}
	time.Sleep(duration)
	s.restart(h)
}

// runChange runs a step in which the operator or a target acts. Hosts stay in contact during it.
func (s *Soaker) runChange(ctx context.Context, st step) {
	changeCtx, cancel := context.WithTimeout(ctx, s.opts.For+recoveryTimeout)
	defer cancel()
	var err error
	switch st.kind {
	case kindTable:
		err = s.operator.putTable(changeCtx)
	case kindTakeout:
		path := platform.Counterpart{}.TakeoutPath(st.subject)
		if err = s.operator.submit(changeCtx, http.MethodPost, path, nil); err == nil {
			time.Sleep(st.duration)
			err = s.operator.submit(changeCtx, http.MethodDelete, path, nil)
		}
	case kindDrain:
		t := s.target(st.subject)
		t.Drain()
		time.Sleep(drainTime + st.duration)
		err = s.restartTarget(st.subject, t)
	case kindBabble:
		t := s.target(st.subject)
		t.SetEndlessBodies(true)
		time.Sleep(st.duration)
		t.SetEndlessBodies(false)
	case kindLimit:
		s.stateLimits(st)
	case kindPoison:
		s.sendPoison(ctx, st)
	case kindCrash:
		err = s.restartTarget(st.subject, s.target(st.subject))
	}
	if err != nil && ctx.Err() == nil {
		s.checker.reportViolation("step %s: %v", st, err)
	}
}

// stateLimits makes a target state the limits of the step one after the other. Its next incarnation states none.
func (s *Soaker) stateLimits(st step) {
	t := s.target(st.subject)
	for _, text := range st.limits {
		t.SetLimit(text)
		time.Sleep(st.duration / time.Duration(len(st.limits)))
	}
	t.SetLimit("")
}

// sendPoison sends the same request to all entry hosts in turn. Each target that begins to run it crashes.
func (s *Soaker) sendPoison(ctx context.Context, st step) {
	c := newCaller(int(st.offset.Milliseconds()), s.opts.Seed, s.fleet.entries, &s.checker)
	c.name = fmt.Sprintf("poison%d", st.offset.Milliseconds())
	defer c.client.CloseIdleConnections()
	key := uint16(c.rng.IntN(1 << 16))
	for end := time.Now().Add(st.duration); ctx.Err() == nil && time.Now().Before(end); {
		c.sendPath(ctx, c.entries[c.rng.IntN(len(c.entries))], routePath+poisonPath+st.offset.String(), key)
		time.Sleep(poisonGap)
	}
}

// restartPoisoned starts the next incarnation of a target that crashed under a request.
func (s *Soaker) restartPoisoned(name string) {
	if err := s.restartTarget(name, s.target(name)); err != nil {
		s.checker.reportViolation("%s does not start: %v", name, err)
	}
}

// restartTarget ends an incarnation of a target by a crash and starts the next one.
func (s *Soaker) restartTarget(name string, t *platformemulator.Emulator) error {
	t.Close()
	time.Sleep(targetRestartDelay)
	if s.target(name) != t {
		// Another step has replaced it.
		return nil
	}
	for i := range s.opts.Targets + sharedTargets {
		if targetName(i) == name {
			return s.startTarget(i)
		}
	}
	return nil
}

// checkRecovery ends the link faults and waits until each entry host serves all tried keys again and the acknowledged
// table is read back from each control host.
func (s *Soaker) checkRecovery(ctx context.Context) error {
	s.fleet.network.Heal()
	ctx, cancel := context.WithTimeout(ctx, recoveryTimeout)
	defer cancel()
	if err := s.waitServed(ctx, "end"); err != nil {
		return err
	}
	for _, base := range s.fleet.controls {
		for !s.operator.checkTable(ctx, base) {
			if ctx.Err() != nil {
				return errors.Wrapf(ErrInvariantViolated, "table is not read back at %s in time", base)
			}
			time.Sleep(minStepGap)
		}
	}
	return nil
}

// report prints the result and returns an error if there were violations.
func (s *Soaker) report() error {
	violations, answerCounts := s.checker.result()
	fmt.Fprintf(s.opts.Out, "answers by status: %v\n", answerCounts)
	for _, v := range violations {
		fmt.Fprintf(s.opts.Out, "broken: %s\n", v)
	}
	if len(violations) > 0 {
		return errors.Wrapf(ErrInvariantViolated, "seed %d, %d times, first: %s", s.opts.Seed, len(violations), violations[0])
	}
	return nil
}
