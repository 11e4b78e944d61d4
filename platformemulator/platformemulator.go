// Package platformemulator is a test double of a target on the customers' platform, for tests and the soak. It
// announces itself at the control hosts, accepts grants of keys, and runs requests only for the keys that it holds.
package platformemulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/lessor"
	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/selector"
)

const (
	// announceInterval is the time between two announcements. Real targets of the platform announce themselves every
	// 870 ms; it is shorter here so that tests need not wait as long.
	announceInterval = 100 * time.Millisecond
	// announceTimeout bounds the wait for the acknowledgement of an announcement; the next one goes to another control
	// host. It also bounds the time in which the headers of a request must arrive.
	announceTimeout = time.Second
)

// RunMsg reports that a target began to run a request.
type RunMsg struct {
	// Target is the ID of the target, ID that of the request.
	Target string
	ID     string
	Key    uint16
	// Fence is that of the grant under which the target holds the key, zero for a target that is not keyed.
	Fence uint64
	// At is the time at which the run began.
	At time.Time
}

// ArrivalMsg reports that a request arrived at a target.
type ArrivalMsg struct {
	// Target is the ID of the target.
	Target string
	At     time.Time
	// Limit is the limit that the target states, in requests per second, and LimitSince the time since which it states
	// any. LimitSince is zero if it states none.
	Limit      float64
	LimitSince time.Time
}

// Options configure an Emulator. ID, Service, DataCentre and Controls are required.
type Options struct {
	ID         string
	Service    string
	DataCentre string
	// Keyed says that the target runs only requests for keys that it holds.
	Keyed bool
	// Listen is the listening address; the zero value picks a free port on loopback. Advertise maps the address to the
	// one that is announced; it may be nil.
	Listen    netip.AddrPort
	Advertise func(listen netip.AddrPort) (netip.AddrPort, error)
	// Controls are the base URLs of control hosts.
	Controls []string
	// Work is the service time of each request.
	Work time.Duration
	// OnArrival is called for each request that arrives, whether the target runs it or not; it may be nil.
	OnArrival func(ArrivalMsg)
	// OnRun is called for each run at the moment at which the target decides to run the request; it may be nil. The
	// runs of one target are reported in order.
	OnRun func(RunMsg)
	// OnDrained is called once, when a control host has acknowledged the drain; it may be nil.
	OnDrained func(target string, at time.Time)
	// PoisonPath is a part of the path of requests that crash the target when it begins to run them; empty for none.
	// OnPoison is called when such a request arrives, crashed says that the target ends; it may be nil.
	PoisonPath string
	// RejectShare is the share of requests, from 0 to 1, that the target rejects as if it were full.
	RejectShare float64
	OnPoison    func(id string, at time.Time, crashed bool)
}

// Emulator is one incarnation of a target. Make it with New.
type Emulator struct {
	opts Options
	// born is the time of birth of the incarnation.
	born           time.Time
	advertisedAddr netip.AddrPort
	server         *http.Server
	client         *http.Client

	mu       sync.Mutex
	draining bool
	// drainReported says that the acknowledgement of the drain was reported to OnDrained.
	drainReported bool
	// seq is the sequence number of the last announcement.
	seq uint64
	// running is the number of requests in progress.
	running int
	// healthChecks is the number of health checks that were answered.
	healthChecks int
	held         []heldSpan
	runCounts    map[string]int
	// limitText is the text of the limit in answers, empty for none. If it is a limit, limit is its value and limitSince the
	// time since which answers state one.
	limitText  string
	limit      float64
	limitSince time.Time

	crashOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
	// endlessBodies says that the bodies of answers have no end.
	endlessBodies atomic.Bool
}

// heldSpan is a span of keys that the target holds until expiresAt, with the fence of its grant.
type heldSpan struct {
	span      registrar.Span
	fence     uint64
	expiresAt time.Time
}

// New returns a target that has not started.
func New(o Options) *Emulator {
	e := Emulator{
		opts: o,
		born: time.Now(),
		client: &http.Client{
			Timeout:   announceTimeout,
			Transport: &http.Transport{},
		},
		runCounts: make(map[string]int),
		done:      make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return &e
}

// Start makes the target listen and announce itself.
func (e *Emulator) Start() error {
	addr := "127.0.0.1:0"
	if e.opts.Listen.IsValid() {
		addr = e.opts.Listen.String()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "address of the target")
	}
	e.advertisedAddr = netip.MustParseAddrPort(ln.Addr().String())
	if e.opts.Advertise != nil {
		if e.advertisedAddr, err = e.opts.Advertise(e.advertisedAddr); err != nil {
			_ = ln.Close()
			return errors.Wrap(err, "advertised address")
		}
	}
	e.server = &http.Server{
		Handler:           e,
		ReadHeaderTimeout: announceTimeout,
	}
	go func() { _ = e.server.Serve(ln) }()
	go e.announce()
	return nil
}

// Done returns a channel that is closed when the target no longer announces itself.
func (e *Emulator) Done() <-chan struct{} {
	return e.done
}

// Close ends the target as a crash does: it closes the connections without an announcement or an answer.
func (e *Emulator) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	<-e.done
	_ = e.server.Close()
	e.client.CloseIdleConnections()
}

// Drain makes the target announce that it is draining, so that it gets no new requests.
func (e *Emulator) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// HeldKeys returns the number of keys that the target holds under grants that have not expired.
func (e *Emulator) HeldKeys() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, now := 0, time.Now()
	for _, h := range e.held {
		if now.Before(h.expiresAt) {
			n += int(h.span.To) - int(h.span.From) + 1
		}
	}
	return n
}

// Runs returns the number of runs of each request, by request ID.
func (e *Emulator) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.runCounts))
	for id, n := range e.runCounts {
		runs[id] = n
	}
	return runs
}

func (e *Emulator) announce() {
	defer close(e.done)
	for i := 0; ; i++ {
		e.announceTo(e.opts.Controls[i%len(e.opts.Controls)])
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// announceTo announces the target at one control host. If that host is down or has no leader, the announcement fails; a
// later one tries the host again.
func (e *Emulator) announceTo(base string) {
	e.mu.Lock()
	e.seq++
	draining := e.draining
	t := registrar.Target{
		Incarnation: registrar.Incarnation{
			ID:   e.opts.ID,
			Born: e.born,
		},
		Service:    e.opts.Service,
		Addr:       e.advertisedAddr,
		DataCentre: e.opts.DataCentre,
		Slots:      4,
		Seq:        e.seq,
		Draining:   draining,
	}
	e.mu.Unlock()
	path, body, err := platform.Counterpart{}.Announcement(t)
	if err != nil {
		return
	}
	req, err := http.NewRequestWithContext(e.ctx, http.MethodPut, base+path, bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := e.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
	if draining && resp.StatusCode == http.StatusOK {
		e.reportDrain()
	}
}

func (e *Emulator) reportDrain() {
	e.mu.Lock()
	alreadyReported := e.drainReported
	e.drainReported = true
	e.mu.Unlock()
	if !alreadyReported && e.opts.OnDrained != nil {
		e.opts.OnDrained(e.opts.ID, time.Now())
	}
}

// ServeHTTP accepts grants and releases of keys, and runs requests.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	if e.isDraining() {
		platform.Counterpart{}.Leave(w.Header())
	}
	if r.URL.Path == (platform.Counterpart{}).HealthPath() {
		e.reportHealth(w)
		return
	}
	req := platform.Counterpart{}.Request(r.Header)
	if req.Expected != "" && req.Expected != e.opts.ID {
		e.reject(w, req.ID)
		return
	}
	if call, ok := (platform.Counterpart{}).Order(r.URL.Path, bytes.NewReader(body)); ok {
		e.handleCall(w, call)
		return
	}
	e.arrive(w)
	poison := e.opts.PoisonPath != "" && strings.Contains(r.URL.Path, e.opts.PoisonPath)
	if poison && e.opts.OnPoison != nil {
		e.opts.OnPoison(r.URL.Path, time.Now(), false)
	}
	if rand.Float64() < e.opts.RejectShare {
		platform.Counterpart{}.Answer(w.Header(), req.ID, selector.Load{
			Running: 4,
			Waiting: 4,
			Slots:   4,
		}, true)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	if !e.admit(req) {
		e.reject(w, req.ID)
		return
	}
	if poison {
		e.crash(r.URL.Path)
	}
	time.Sleep(e.opts.Work)
	e.mu.Lock()
	e.running--
	load := selector.Load{
		Running: e.running,
		Slots:   4,
	}
	e.mu.Unlock()
	platform.Counterpart{}.Answer(w.Header(), req.ID, load, false)
	if e.endlessBodies.Load() {
		e.writeEndlessBody(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", e.opts.ID, r.URL.Path, body)
}

// crash ends the target because of the request for path, which gets no answer. It does not return.
func (e *Emulator) crash(path string) {
	e.crashOnce.Do(func() {
		if e.opts.OnPoison != nil {
			e.opts.OnPoison(path, time.Now(), true)
		}
		go e.Close()
	})
	panic(http.ErrAbortHandler)
}

// SetLimit sets the limit that the answers state from now on, as the text of the header; empty for none.
func (e *Emulator) SetLimit(text string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.limitText = text
	n, err := strconv.ParseFloat(text, 64)
	switch {
	case err != nil || !(n >= 0) || math.IsInf(n, 0):
		// Such a text limits nothing.
		e.limit, e.limitSince = 0, time.Time{}
		return
	case e.limitSince.IsZero():
		e.limitSince = time.Now()
	}
	e.limit = n
}

// arrive reports the arrival of a request and states the limit in its answer.
func (e *Emulator) arrive(w http.ResponseWriter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.limitText != "" {
		platform.Counterpart{}.Limit(w.Header(), e.limitText)
	}
	if e.opts.OnArrival != nil {
		e.opts.OnArrival(ArrivalMsg{
			Target:     e.opts.ID,
			At:         time.Now(),
			Limit:      e.limit,
			LimitSince: e.limitSince,
		})
	}
}

// SetEndlessBodies switches whether the target sends bodies without end instead of its usual answers.
func (e *Emulator) SetEndlessBodies(on bool) {
	e.endlessBodies.Store(on)
}

// writeEndlessBody writes until the host closes the connection or the target ends. The answer never ends as a whole one.
func (e *Emulator) writeEndlessBody(w io.Writer) {
	noise := bytes.Repeat([]byte("x"), 16<<10)
	for e.ctx.Err() == nil {
		if _, err := w.Write(noise); err != nil {
			break
		}
	}
	panic(http.ErrAbortHandler)
}

// reject answers that the request was not run.
func (e *Emulator) reject(w http.ResponseWriter, id string) {
	platform.Counterpart{}.Answer(w.Header(), id, selector.Load{
		Slots: 4,
	}, true)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// admit reports whether the target runs the request. If so, it counts and reports the run.
func (e *Emulator) admit(req platform.TargetRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		// The target has crashed.
		return false
	}
	fence := uint64(0)
	if e.opts.Keyed {
		h, ok := e.findHeld(req)
		if !ok {
			return false
		}
		fence = h.fence
	}
	e.runCounts[req.ID]++
	e.running++
	if e.opts.OnRun != nil {
		e.opts.OnRun(RunMsg{
			Target: e.opts.ID,
			ID:     req.ID,
			Key:    req.Key,
			Fence:  fence,
			At:     time.Now(),
		})
	}
	return true
}

func (e *Emulator) findHeld(req platform.TargetRequest) (heldSpan, bool) {
	now := time.Now()
	for _, h := range e.held {
		if req.HasKey && h.span.From <= req.Key && req.Key <= h.span.To && now.Before(h.expiresAt) {
			return h, true
		}
	}
	return heldSpan{}, false
}

// handleCall carries out a grant or a release of keys. It rejects a grant if one of the keys is held under a higher
// fence.
func (e *Emulator) handleCall(w http.ResponseWriter, c lessor.CallMsg) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []heldSpan
	for _, h := range e.held {
		if h.span.To < c.Span.From || h.span.From > c.Span.To {
			kept = append(kept, h)
			continue
		}
		if c.Grant != nil && h.fence > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
		kept = append(kept, subtract(h, c.Span)...)
	}
	if c.Grant != nil {
		kept = append(kept, heldSpan{
			span:      c.Span,
			fence:     c.Fence,
			expiresAt: time.Now().Add(c.Grant.Hold),
		})
	} else {
		platform.Counterpart{}.Handover(w.Header(), "from-"+e.opts.ID)
	}
	e.held = kept
}

// subtract returns the parts of h outside s.
func subtract(h heldSpan, s registrar.Span) []heldSpan {
	var rest []heldSpan
	if h.span.From < s.From {
		left := h
		left.span.To = s.From - 1
		rest = append(rest, left)
	}
	if h.span.To > s.To {
		right := h
		right.span.From = s.To + 1
		rest = append(rest, right)
	}
	return rest
}
