// Package router is the reverse proxy of an entry host. It routes each caller's request to the target that owns its
// key, or to one of the targets of a shared service, either through the dispatcher of this host or through the host
// that dispatches for the target.
//
// An answer that states "not run" is given only for a request that did not run, and a request that may have run is sent
// again only if it is idempotent. Retries and hedged attempts are bounded by budgets.
package router

import (
	"context"
	"crypto/tls"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/signer"
)

// Options configures a Router: the host that it runs on and the sources of its configuration and routes.
type Options struct {
	Host       string
	DataCentre string
	// Config returns the configuration in force, nil if there is none yet.
	Config  func() *configurer.Config
	Locator *locator.Current
	// PeerKey is the system key with which hosts sign the requests that they forward.
	PeerKey string
	// PeerTLS returns the configuration for a connection to another host's peer address; nil means plain TCP.
	PeerTLS func(addr netip.Addr) *tls.Config
	// Seed makes request identities and the choice of targets reproducible in tests. Zero means a random seed, which a
	// host needs: two processes with the same seed would assign the same identities.
	Seed uint64
	// Sketch creates the heavy-hitter sketch that finds the hot keys of one target; nil means none.
	Sketch func() dispatcher.Sketch
	// Links notices the loss of this host's links to targets; it may be nil.
	Links dispatcher.Links
	// Log receives changes of the limits that targets state; it may be nil.
	Log *log.Logger
	// Dial makes connections to targets and hosts; nil means a plain net.Dialer.
	Dial sender.DialFunc
}

// Router is the http.Handler for callers' requests. Create one with New.
type Router struct {
	opts           Options
	identityPrefix string
	identityCount  atomic.Uint64
	sender         *sender.Sender
	dispatcher     *dispatcher.Dispatcher
	signer         *signer.Signer
	watch          watcher
	services       serviceStates
	admission      admission
	recorder       recorder.Recorder
	active         atomic.Int64
	stopping       atomic.Bool
	done           chan struct{}
	closed         atomic.Bool

	// answers bounds the memory of the answers that are being read.
	answers *reserver.Reserver
}

// New returns a Router. It refuses requests as notReady until opts.Config and opts.Locator have a value.
func New(opts Options) *Router {
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	answers := &reserver.Reserver{
		Limit: maxHeldHeaderBytes,
	}
	s := sender.New(opts.Dial, sender.WithMemory(answers))
	r := Router{
		answers:        answers,
		opts:           opts,
		identityPrefix: opts.Host + "-" + strconv.FormatUint(opts.Seed, 36) + "-",
		sender:         s,
		dispatcher: dispatcher.New(dispatcher.Options{
			Locator: opts.Locator,
			Sender:  s,
			Sketch:  opts.Sketch,
			Links:   opts.Links,
			Log:     opts.Log,
		}),
		signer: signer.New(opts.PeerKey),
		watch: watcher{
			current: opts.Locator,
		},
		admission: admission{
			maxRequests: maxHeldRequests,
		},
		done: make(chan struct{}),
	}
	r.recorder.Publish(opts.Host)
	return &r
}

// Traffic returns the interface through which the tracker of the host reads loads and exchanges suspect requests.
func (r *Router) Traffic() reporter.Traffic {
	return r.dispatcher
}

// Recorder returns the latency histograms of the host; it is also an http.Handler that writes them as text.
func (r *Router) Recorder() *recorder.Recorder {
	return &r.recorder
}

// ReportLoad passes the load that a target of a shared service reported at reportedAt to the balancer of the service.
func (r *Router) ReportLoad(service, target string, load float64, reportedAt time.Time) {
	cfg, table := r.opts.Config(), (*locator.Table)(nil)
	if cfg != nil {
		table, _ = r.opts.Locator.Load().Table(service)
	}
	if table == nil || table.Keyed {
		return
	}
	svc, ok := cfg.Service(service)
	for i := range table.Routes {
		if ok && table.Routes[i].Target == target {
			r.services.get(service, r).balancer.Report(table, &table.Routes[i], load, reportedAt, svc.Limits.ReportMaxAge)
			return
		}
	}
}

// Done returns a channel that is closed when the Router has been drained.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// DisableKeepAlives makes each answer from now on close its connection, for callers and for hosts that forward
// requests: a request that arrives on an idle connection while the host closes it would be cut. The host calls
// DisableKeepAlives when its readiness goes off, before it closes its listeners.
func (r *Router) DisableKeepAlives() {
	r.stopping.Store(true)
}

// drainPollInterval is the interval at which Drain checks for requests in progress.
const drainPollInterval = 5 * time.Millisecond

// Drain waits until no request is in progress, and then closes the connections to targets and other hosts. Requests
// that arrive until then are answered as usual, so the host closes its listeners before it calls Drain.
func (r *Router) Drain(ctx context.Context) error {
	t := time.NewTicker(drainPollInterval)
	defer t.Stop()
	for r.active.Load() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-t.C:
		}
	}
	r.sender.Close()
	if !r.closed.Swap(true) {
		close(r.done)
	}
	return nil
}

// peerTLS returns the TLS configuration for a connection to another host, nil for plain TCP.
func (r *Router) peerTLS(addr netip.Addr) *tls.Config {
	if r.opts.PeerTLS == nil {
		return nil
	}
	return r.opts.PeerTLS(addr)
}

func (r *Router) nextIdentity() string {
	return r.identityPrefix + strconv.FormatUint(r.identityCount.Add(1), 36)
}

// ServeHTTP answers a caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := exchange{
		router:   r,
		w:        w,
		start:    time.Now(),
		identity: r.nextIdentity(),
	}
	x.run(req, x.accept, x.serve)
}

// Peer returns the handler for requests that other entry hosts forwarded.
func (r *Router) Peer() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		x := exchange{
			router: r,
			w:      w,
			start:  time.Now(),
		}
		x.run(req, x.acceptPeer, x.servePeer)
	})
}
