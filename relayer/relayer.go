// Package relayer passes the requests of an entry host that has lost its links to targets to other entry hosts, which serve
// them as if their callers had come there. A request makes one hop at most: a host without links says so, and nothing is
// sent on.
package relayer

import (
	"context"
	"expvar"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/signer"
	"bramleyline.example/bramleyline/stripper"
)

const (
	// askInterval is the time between two rounds in which hosts are asked for their links, askSize the number of hosts in
	// one, and askTimeout bounds a round.
	askInterval = 400 * time.Millisecond
	askSize     = 6
	askTimeout  = 300 * time.Millisecond
	// soundTime is how long the last good answer of a host holds, and avoidTime how long a host that has no links or does not
	// answer is avoided.
	soundTime = 2 * time.Second
	avoidTime = 2 * time.Second
	// maxHosts bounds the hosts that one request is offered to.
	maxHosts = 3
	// maxConnections bounds the connections to one other host.
	maxConnections = 64
	// remotePenalty is the factor on the load of a host in another data centre, since bytes between data centres cost more.
	remotePenalty = 1.5
)

// ReasonNoHost is the reason of the fault of a request that no other host can serve.
const ReasonNoHost = "noLinks"

// ReasonBusy is the reason of the fault of a request that would load other hosts too much.
const ReasonBusy = "relayBusy"

// counters are requests passed on, hosts that had no links, and requests that no host took.
var counters = expvar.NewMap("relay")

var (
	errNoHost = errors.New("no other host is known to reach targets")
	errBusy   = errors.New("other hosts cannot take more requests of this one")
)

// Host is another entry host.
type Host struct {
	Name       string
	Addr       netip.AddrPort
	DataCentre string
}

// Options configure a Relayer. All but Log are required.
type Options struct {
	// Hosts returns the entry hosts to which bodies of this host's callers may go, without this host.
	Hosts      func() []Host
	DataCentre string
	Sender     *sender.Sender
	Signer     *signer.Signer
	Log        *log.Logger
}

// Relayer chooses hosts and passes requests to them. Make it with New. It is safe for concurrent use.
type Relayer struct {
	opts Options

	window window

	mu    sync.Mutex
	hosts map[string]*hostState
	// round is closed at the end of the first round since Start.
	round chan struct{}
	stop  context.CancelFunc
	wg    sync.WaitGroup
}

// hostState is what is known of another host.
type hostState struct {
	inFlight   int
	soundUntil time.Time
	avoidUntil time.Time
}

// New returns a Relayer that knows no host.
func New(o Options) *Relayer {
	return &Relayer{
		opts:  o,
		hosts: make(map[string]*hostState),
	}
}

// Start begins to ask other hosts for their links, when those of this host are lost.
func (r *Relayer) Start() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stop != nil {
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	r.stop = cancel
	round := make(chan struct{})
	r.round = round
	for _, s := range r.hosts {
		s.soundUntil, s.avoidUntil = time.Time{}, time.Time{}
	}
	r.wg.Go(func() { r.askInRounds(ctx, round) })
}

// Stop ends what Start began.
func (r *Relayer) Stop() {
	r.mu.Lock()
	if r.stop != nil {
		r.stop()
		r.stop = nil
	}
	r.mu.Unlock()
}

// Close stops the Relayer and waits for its end.
func (r *Relayer) Close() {
	r.Stop()
	r.wg.Wait()
}

func (r *Relayer) askInRounds(ctx context.Context, first chan struct{}) {
	r.ask(ctx)
	close(first)
	ticker := time.NewTicker(askInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.ask(ctx)
		}
	}
}

// ask asks a sample of hosts at the same time. Half of it is of this host's data centre, as far as it has as many.
func (r *Relayer) ask(ctx context.Context) {
	hosts := r.opts.Hosts()
	rand.Shuffle(len(hosts), func(i, j int) { hosts[i], hosts[j] = hosts[j], hosts[i] })
	var sample, rest []Host
	for _, h := range hosts {
		if h.DataCentre == r.opts.DataCentre && len(sample) < askSize/2 {
			sample = append(sample, h)
		} else {
			rest = append(rest, h)
		}
	}
	sample = append(sample, rest[:min(len(rest), askSize-len(sample))]...)
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	var wg sync.WaitGroup
	var asked, slow atomic.Int32
	for _, h := range sample {
		wg.Go(func() {
			deadline, _ := ctx.Deadline()
			began := time.Now()
			a, _, fault := r.send(ctx, h, &acceptor.Request{
				Method: http.MethodOptions,
				URI:    signer.StatusPath,
				Host:   h.Addr.String(),
			}, deadline)
			ok := fault == nil && a.Status == http.StatusNoContent
			// A host that had links and does not answer in time is overloaded, or lost; one that declines is neither.
			if wasSound := r.note(h, ok); ok || wasSound && fault != nil {
				asked.Add(1)
				if !ok || time.Since(began) > congestedTime {
					slow.Add(1)
				}
			}
		})
	}
	wg.Wait()
	if asked.Load() > 0 {
		r.window.adapt(2*slow.Load() > asked.Load())
	}
}

// note records whether a host can serve requests, and returns whether it was known to.
func (r *Relayer) note(h Host, sound bool) (wasSound bool) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	s := r.state(h)
	wasSound = now.Before(s.soundUntil)
	if sound {
		s.soundUntil, s.avoidUntil = now.Add(soundTime), time.Time{}
		return wasSound
	}
	s.soundUntil, s.avoidUntil = time.Time{}, now.Add(avoidTime)
	return wasSound
}

// state returns the state of a host. The caller holds the lock.
func (r *Relayer) state(h Host) *hostState {
	s, ok := r.hosts[h.Name]
	if !ok {
		s = &hostState{}
		r.hosts[h.Name] = s
	}
	return s
}

// choose takes the less loaded one of two hosts that are drawn from those known to have links, or from those of which
// nothing is known if there are none. Drawing keeps hosts that lose their links at the same moment from meeting at one.
func (r *Relayer) choose(tried map[string]bool) (Host, bool) {
	hosts := r.opts.Hosts()
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	var sound, unknown []Host
	for _, h := range hosts {
		s := r.state(h)
		switch {
		case tried[h.Name] || now.Before(s.avoidUntil):
		case now.Before(s.soundUntil):
			sound = append(sound, h)
		default:
			unknown = append(unknown, h)
		}
	}
	if len(sound) == 0 {
		sound = unknown
	}
	if len(sound) == 0 {
		return Host{}, false
	}
	a, b := sound[rand.IntN(len(sound))], sound[rand.IntN(len(sound))]
	if r.load(b) < r.load(a) {
		a = b
	}
	r.state(a).inFlight++
	return a, true
}

// load returns the load of a host as this host sees it. The caller holds the lock.
func (r *Relayer) load(h Host) float64 {
	load := float64(r.state(h).inFlight + 1)
	if h.DataCentre != r.opts.DataCentre {
		load *= remotePenalty
	}
	return load
}

// Relay passes a request to another host and returns its answer. The fault says whether the request may have run; if no
// host could take it, its reason is ReasonNoHost.
func (r *Relayer) Relay(ctx context.Context, req *acceptor.Request, deadline time.Time) (*acceptor.Answer, *sender.Fault) {
	if !r.window.enter() {
		counters.Add("held", 1)
		return nil, sender.NewFault(ReasonBusy, http.StatusServiceUnavailable, errBusy)
	}
	defer r.window.leave()
	r.mu.Lock()
	round := r.round
	r.mu.Unlock()
	if round != nil {
		select {
		case <-round:
		case <-ctx.Done():
		}
	}
	tried := make(map[string]bool, maxHosts)
	for len(tried) < maxHosts && ctx.Err() == nil {
		h, ok := r.choose(tried)
		if !ok {
			break
		}
		tried[h.Name] = true
		a, taken, fault := r.send(ctx, h, req, deadline)
		r.mu.Lock()
		r.state(h).inFlight--
		r.mu.Unlock()
		switch {
		case fault == nil && taken:
			counters.Add("passed", 1)
			return a, nil
		case fault == nil || !fault.MayHaveRun && ctx.Err() == nil:
			counters.Add("declined", 1)
			r.note(h, false)
		default:
			return nil, fault
		}
	}
	counters.Add("unplaced", 1)
	return nil, sender.NewFault(ReasonNoHost, http.StatusServiceUnavailable, errNoHost)
}

// send passes a request to one host. taken is false if the host says that it has no links and did not run the request.
func (r *Relayer) send(
	ctx context.Context, h Host, req *acceptor.Request, deadline time.Time,
) (a *acceptor.Answer, taken bool, fault *sender.Fault) {
	id := strconv.FormatUint(rand.Uint64(), 16)
	resp, fault := r.opts.Sender.Send(ctx, &sender.Request{
		Addr:        h.Addr,
		Method:      req.Method,
		URI:         req.URI,
		Host:        req.Host,
		Header:      stripper.EndToEnd(req.Header, ownHeader),
		LateFields:  func() []sender.Field { return r.fields(req, id) },
		Body:        req.Body,
		Identity:    id,
		EchoHeader:  signer.HeaderID,
		Deadline:    deadline,
		Connections: maxConnections,
	})
	if fault != nil {
		return nil, false, fault
	}
	var held acceptor.Releaser
	taken = resp.Header.Get(signer.HeaderLinks) == ""
	body, fault := resp.ReadAll()
	if fault == nil && taken {
		resp.Keep()
		held = resp
	}
	_ = resp.Close()
	if fault != nil {
		return nil, false, fault
	}
	return &acceptor.Answer{
		Status: resp.Status,
		Header: stripper.EndToEnd(resp.Header, ownHeader),
		Body:   body,
		Held:   held,
	}, taken, nil
}

// fields returns the signed headers of a request. Its age is zero if it comes from no caller.
func (r *Relayer) fields(req *acceptor.Request, id string) []sender.Field {
	age := time.Duration(0)
	if !req.Arrived.IsZero() {
		age = max(0, time.Since(req.Arrived))
	}
	ms := strconv.FormatInt(age.Milliseconds(), 10)
	return []sender.Field{
		{
			Name:  signer.HeaderID,
			Value: id,
		},
		{
			Name:  signer.HeaderAge,
			Value: ms,
		},
		{
			Name:  signer.HeaderSignature,
			Value: r.opts.Signer.Sign(req.Body, req.Method, req.Host, req.URI, id, ms),
		},
	}
}

// ownHeader reports whether a header is one of the system itself.
func ownHeader(name string) bool {
	return strings.HasPrefix(name, "Bramleyline-")
}
