// Package router takes callers' requests, finds the owner of each key and passes the request on to its target, either
// through the dispatcher of this host or through the host that dispatches for the target.
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

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/dispatcher"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/sender"
)

// Options name the host and the sources that a Router works with.
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
	// Seed makes identities and choices repeatable in tests. Zero means random, which a host needs: two processes with
	// the same seed would give the same identities.
	Seed uint64
	// Sketch makes the sketch of hot keys for one target. It may be nil.
	Sketch func() dispatcher.Sketch
	// Dial makes connections to targets and hosts; nil means a plain net.Dialer.
	Dial sender.DialFunc
}

// Router is the handler for callers' requests. Make it with New.
type Router struct {
	opts       Options
	prefix     string
	count      atomic.Uint64
	sender     *sender.Sender
	dispatcher *dispatcher.Dispatcher
	signer     *signer
	watch      watcher
	services   services
	room       room
	recorder   recorder.Recorder
	active     atomic.Int64
	leaving    atomic.Bool
	done       chan struct{}
	closed     atomic.Bool
}

// New returns a Router that is ready for requests as soon as its sources are.
func New(opts Options) *Router {
	if opts.Seed == 0 {
		opts.Seed = rand.Uint64()
	}
	s := sender.New(opts.Dial)
	r := Router{
		opts:   opts,
		prefix: opts.Host + "-" + strconv.FormatUint(opts.Seed, 36) + "-",
		sender: s,
		dispatcher: dispatcher.New(dispatcher.Options{
			Locator: opts.Locator,
			Sender:  s,
			Sketch:  opts.Sketch,
		}),
		signer: newSigner(opts.PeerKey),
		watch: watcher{
			current: opts.Locator,
		},
		room: room{
			limit: roomLimit,
		},
		done: make(chan struct{}),
	}
	r.recorder.Publish(opts.Host)
	return &r
}

// Traffic returns the interface through which the tracker of the host reads the traffic.
func (r *Router) Traffic() reporter.Traffic {
	return r.dispatcher
}

// Recorder returns the histograms of the host, which are also a handler that shows them as text.
func (r *Router) Recorder() *recorder.Recorder {
	return &r.recorder
}

// Reported takes the load that a target of a shared service stated at at. The tracker calls it for heartbeats.
func (r *Router) Reported(service, target string, load float64, at time.Time) {
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
			r.services.find(service, r).balancer.Report(table, &table.Routes[i], load, at, svc.Limits.ReportMaxAge)
			return
		}
	}
}

// Done is closed when the Router has been drained.
func (r *Router) Done() <-chan struct{} {
	return r.done
}

// Leave announces that the host is about to close its listeners. From then on each answer asks its caller, or the host
// that forwarded the request, to close the connection: a request that arrives on an idle connection while it is being
// closed would be cut. The host calls it when its readiness goes off.
func (r *Router) Leave() {
	r.leaving.Store(true)
}

// drainInterval is the interval at which Drain looks for requests in progress.
const drainInterval = 5 * time.Millisecond

// Drain waits until no request is in progress, and then closes the connections to targets and hosts. New requests are
// answered as usual until then; the host closes its listeners first.
func (r *Router) Drain(ctx context.Context) error {
	t := time.NewTicker(drainInterval)
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

func (r *Router) identity() string {
	return r.prefix + strconv.FormatUint(r.count.Add(1), 36)
}

// ServeHTTP answers a caller's request.
func (r *Router) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	x := exchange{
		router:   r,
		w:        w,
		start:    time.Now(),
		identity: r.identity(),
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
