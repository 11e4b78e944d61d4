// Package platformemulator is a target as the users' platform has them, for tests and the soak: it announces itself,
// takes grants, and runs requests for the keys that it holds.
package platformemulator

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
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
	// announceInterval is the time between two announcements. Targets of the platform announce themselves each 870 ms;
	// tests need not wait as long.
	announceInterval = 100 * time.Millisecond
	// announceTimeout is how long a target waits for an acknowledgement before it asks the next host.
	announceTimeout = time.Second
)

// RunMsg says that a target began to run a request.
type RunMsg struct {
	Target string
	ID     string
	Key    uint16
	// Fence is that of the grant under which the key is held.
	Fence uint64
	At    time.Time
}

// Options are the properties of an Emulator. ID, Service, DataCentre and Controls are required.
type Options struct {
	ID         string
	Service    string
	DataCentre string
	// Keyed says that only requests for keys that are held run.
	Keyed bool
	// Listen is the address; the zero value picks one. Advertise maps it to the one that is announced; it may be nil.
	Listen    netip.AddrPort
	Advertise func(listen netip.AddrPort) (netip.AddrPort, error)
	// Controls are the base addresses of control hosts.
	Controls []string
	// Work is how long a request takes.
	Work time.Duration
	// OnRun is told of each run at the moment of its decision; it may be nil. Runs of one target are reported in order.
	OnRun func(RunMsg)
	// OnDrained is told when the drain was acknowledged; it may be nil.
	OnDrained func(target string, at time.Time)
}

// Emulator is one incarnation of a target. Make it with New.
type Emulator struct {
	opts      Options
	born      time.Time
	advertise netip.AddrPort
	server    *http.Server
	client    *http.Client

	mu       sync.Mutex
	draining bool
	told     bool
	seq      uint64
	running  int
	holds    []hold
	ran      map[string]int

	ctx    context.Context
	cancel context.CancelFunc
	done   chan struct{}
	// babbling says that bodies have no end.
	babbling atomic.Bool
}

type hold struct {
	span  registrar.Span
	fence uint64
	until time.Time
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
		ran:  make(map[string]int),
		done: make(chan struct{}),
	}
	e.ctx, e.cancel = context.WithCancel(context.Background())
	return &e
}

// Start listens and begins to announce the target.
func (e *Emulator) Start() error {
	addr := "127.0.0.1:0"
	if e.opts.Listen.IsValid() {
		addr = e.opts.Listen.String()
	}
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return errors.Wrap(err, "address of the target")
	}
	e.advertise = netip.MustParseAddrPort(ln.Addr().String())
	if e.opts.Advertise != nil {
		if e.advertise, err = e.opts.Advertise(e.advertise); err != nil {
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

// Done is closed when the target no longer announces itself.
func (e *Emulator) Done() <-chan struct{} {
	return e.done
}

// Close ends the target as a crash does: connections are cut and nothing is said.
func (e *Emulator) Close() {
	e.mu.Lock()
	e.cancel()
	e.mu.Unlock()
	<-e.done
	_ = e.server.Close()
	e.client.CloseIdleConnections()
}

// Drain makes the target say that it takes no new work.
func (e *Emulator) Drain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.draining = true
}

// Holding returns the number of keys that the target holds.
func (e *Emulator) Holding() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n, now := 0, time.Now()
	for _, h := range e.holds {
		if now.Before(h.until) {
			n += int(h.span.To) - int(h.span.From) + 1
		}
	}
	return n
}

// Runs returns how often each request ran.
func (e *Emulator) Runs() map[string]int {
	e.mu.Lock()
	defer e.mu.Unlock()
	runs := make(map[string]int, len(e.ran))
	for id, n := range e.ran {
		runs[id] = n
	}
	return runs
}

func (e *Emulator) announce() {
	defer close(e.done)
	for i := 0; ; i++ {
		e.announceAt(e.opts.Controls[i%len(e.opts.Controls)])
		select {
		case <-e.ctx.Done():
			return
		case <-time.After(announceInterval):
		}
	}
}

// announceAt announces the target at one control host. One that is down or has no leader is asked again later.
func (e *Emulator) announceAt(base string) {
	e.mu.Lock()
	e.seq++
	draining := e.draining
	t := registrar.Target{
		Incarnation: registrar.Incarnation{
			ID:   e.opts.ID,
			Born: e.born,
		},
		Service:    e.opts.Service,
		Addr:       e.advertise,
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
		e.drained()
	}
}

func (e *Emulator) drained() {
	e.mu.Lock()
	told := e.told
	e.told = true
	e.mu.Unlock()
	if !told && e.opts.OnDrained != nil {
		e.opts.OnDrained(e.opts.ID, time.Now())
	}
}

// ServeHTTP takes grants and runs requests.
func (e *Emulator) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	req := platform.Counterpart{}.Request(r.Header)
	if req.Expected != "" && req.Expected != e.opts.ID {
		e.refuse(w, req.ID)
		return
	}
	if order, ok := (platform.Counterpart{}).Order(r.URL.Path, bytes.NewReader(body)); ok {
		e.order(w, order)
		return
	}
	if !e.begin(req) {
		e.refuse(w, req.ID)
		return
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
	if e.babbling.Load() {
		e.babble(w)
		return
	}
	_, _ = fmt.Fprintf(w, "%s %s %s", e.opts.ID, r.URL.Path, body)
}

// Babble makes the target send bodies without end, or answers again.
func (e *Emulator) Babble(on bool) {
	e.babbling.Store(on)
}

// babble writes until the other side closes or the target ends.
func (e *Emulator) babble(w io.Writer) {
	noise := bytes.Repeat([]byte("x"), 16<<10)
	for e.ctx.Err() == nil {
		if _, err := w.Write(noise); err != nil {
			return
		}
	}
}

func (e *Emulator) refuse(w http.ResponseWriter, id string) {
	platform.Counterpart{}.Answer(w.Header(), id, selector.Load{
		Slots: 4,
	}, true)
	w.WriteHeader(http.StatusMisdirectedRequest)
}

// begin reports whether the target runs the request, and counts the run.
func (e *Emulator) begin(req platform.TargetRequest) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.ctx.Err() != nil {
		// The process has ended.
		return false
	}
	fence := uint64(0)
	if e.opts.Keyed {
		h, ok := e.holdOf(req)
		if !ok {
			return false
		}
		fence = h.fence
	}
	e.ran[req.ID]++
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

func (e *Emulator) holdOf(req platform.TargetRequest) (hold, bool) {
	now := time.Now()
	for _, h := range e.holds {
		if req.HasKey && h.span.From <= req.Key && req.Key <= h.span.To && now.Before(h.until) {
			return h, true
		}
	}
	return hold{}, false
}

// order carries out a grant or a release.
func (e *Emulator) order(w http.ResponseWriter, c lessor.CallMsg) {
	e.mu.Lock()
	defer e.mu.Unlock()
	var kept []hold
	for _, h := range e.holds {
		if h.span.To < c.Span.From || h.span.From > c.Span.To {
			kept = append(kept, h)
			continue
		}
		if c.Grant != nil && h.fence > c.Fence {
			w.WriteHeader(http.StatusConflict)
			return
		}
		kept = append(kept, without(h, c.Span)...)
	}
	if c.Grant != nil {
		kept = append(kept, hold{
			span:  c.Span,
			fence: c.Fence,
			until: time.Now().Add(c.Grant.Hold),
		})
	} else {
		platform.Counterpart{}.Handover(w.Header(), "from-"+e.opts.ID)
	}
	e.holds = kept
}

// without returns what is left of h when the keys of s are taken away.
func without(h hold, s registrar.Span) []hold {
	var rest []hold
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
