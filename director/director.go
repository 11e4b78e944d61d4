// Package director is one host of a system with direct dispatch: an entry host that sends callers' requests straight to
// targets, or a control host that keeps the registry and grants keys.
package director

import (
	"context"
	"expvar"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/committer"
	"bramleyline.example/bramleyline/coordinator"
	"bramleyline.example/bramleyline/follower"
	"bramleyline.example/bramleyline/forwarder"
	"bramleyline.example/bramleyline/logger"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/parser"
	"bramleyline.example/bramleyline/prober"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/settingsreader"
)

const (
	// electionTimeout trades the time without a leader against heartbeats between the data centres: an eighth of it is
	// the interval of heartbeats.
	electionTimeout = 500 * time.Millisecond
	// registerWait is the pause between two attempts to register this host.
	registerWait = 300 * time.Millisecond
	// registerTimeout bounds one attempt.
	registerTimeout = 2 * time.Second
	// registerLag is the greatest age of a control host's state at which it knows whether it is registered: some election
	// timeouts, so that a short time without a leader does not count.
	registerLag = 2 * time.Second
	// closeTime is kept for closing the parts at the end of the grace time.
	closeTime = 300 * time.Millisecond
	// logCloseTime bounds the writing of the last log lines.
	logCloseTime = 200 * time.Millisecond
)

// Dialect is the language in which callers, targets and operators speak to the system.
type Dialect struct {
	// Codec reads and writes the headers of requests.
	Codec forwarder.Codec
	// DecodeTable reads a traffic table.
	DecodeTable func(text []byte) (*matcher.Table, error)
	// ControlHandler serves operators and targets on a control host.
	ControlHandler func(*committer.Committer, *log.Logger) http.Handler
	// Targets makes calls at targets.
	Targets coordinator.Caller
	// Prober makes health checks of targets.
	Prober prober.Caller
}

// source is the replicated state as this host knows it, from its own log or from control hosts.
type source interface {
	State() *applier.State
	Changed() <-chan struct{}
	Contact() (leader string, age time.Duration)
}

// Director is one host. Make it with New.
type Director struct {
	settings settingsreader.Settings
	dialect  Dialect
	logs     *logger.Writer
	log      *log.Logger

	messenger *messenger.Messenger
	rpc       *messenger.Listener
	proposer  *proposer.Proposer
	source    source
	seeds     atomic.Pointer[[]netip.AddrPort]
	// follower pulls the state on an entry host.
	follower *follower.Follower
	entry    *entry
	control  *control
	metrics  *http.Server

	stopping atomic.Bool
	stopOnce sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// New returns a host that has not started. Log lines go to out.
func New(settings settingsreader.Settings, dialect Dialect, out io.Writer) (*Director, error) {
	if settings.Direct == nil {
		return nil, errors.New("settings have no section [direct]")
	}
	d := Director{
		settings: settings,
		dialect:  dialect,
		logs:     logger.NewWriter(out),
		done:     make(chan struct{}),
	}
	var err error
	if d.log, err = logger.New(d.logs, settings.LogLevel, settings.LogFormat, settings.Name); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.seeds.Store(&settings.Direct.Seeds)
	return &d, nil
}

// Start runs the parts of the host. A control host whose disk is full waits until there is room, or until ctx ends.
func (d *Director) Start(ctx context.Context) error {
	s := d.settings
	d.log.Info("start", "dataCentre", s.DataCentre, "entry", s.Roles.Entry, "control", s.Roles.Control, "found", s.Direct.Found,
		"seeds", s.Direct.Seeds)
	key := []byte(s.Keys.System)
	d.messenger = &messenger.Messenger{
		Key:  key,
		Dial: s.Dialer(),
	}
	d.rpc = &messenger.Listener{
		Key: key,
	}
	d.proposer = &proposer.Proposer{
		Messenger: d.messenger,
		Hosts:     d.controlHosts,
	}
	ln, err := net.Listen("tcp", s.Listen.RPC.String())
	if err != nil {
		return errors.Wrap(err, "rpc address")
	}
	if err := d.startRole(ctx); err != nil {
		_ = ln.Close()
		return err
	}
	d.rpc.Start(ln)
	d.startMetrics()
	go d.register()
	return nil
}

func (d *Director) startRole(ctx context.Context) error {
	if d.settings.Roles.Control {
		return d.startControl(ctx)
	}
	return d.startEntry()
}

// Reload takes over settings that may change while the host runs: the seeds.
func (d *Director) Reload(settings settingsreader.Settings) {
	if settings.Direct == nil {
		d.log.Warn("reload ignored", "reason", "settings have no section [direct]")
		return
	}
	d.seeds.Store(&settings.Direct.Seeds)
	if d.follower != nil {
		d.follower.Configure(d.seedSources())
	}
	d.log.Info("reload", "seeds", settings.Direct.Seeds)
}

// Failed is closed when the log of a control host has failed and the host cannot go on. It is nil on an entry host.
func (d *Director) Failed() <-chan struct{} {
	if d.control == nil {
		return nil
	}
	return d.control.controller.Done()
}

// Err returns the failure of the host's log.
func (d *Director) Err() error {
	if d.control == nil {
		return nil
	}
	return d.control.controller.Err()
}

// Done is closed when the host has stopped.
func (d *Director) Done() <-chan struct{} {
	return d.done
}

// Stop ends the host within the grace time of the settings. Requests in progress are answered first.
func (d *Director) Stop() {
	d.stopOnce.Do(func() {
		d.stopping.Store(true)
		d.log.Info("stop begins", "grace", d.settings.Direct.Grace)
		ctx, cancel := context.WithTimeout(context.Background(), d.settings.Direct.Grace-closeTime)
		defer cancel()
		if d.entry != nil {
			d.entry.stop(ctx)
		}
		d.cancel()
		if d.control != nil {
			d.control.stop()
		}
		d.log.Info("stop", "index", d.source.State().Index)
		d.logs.Close(logCloseTime)
		close(d.done)
	})
	<-d.done
}

// controlHosts returns the control hosts of the state and those of the settings, with their rpc addresses.
func (d *Director) controlHosts() map[string]netip.AddrPort {
	hosts := make(map[string]netip.AddrPort)
	known := make(map[netip.AddrPort]bool)
	if d.source != nil {
		st := d.source.State()
		for _, name := range st.Members() {
			if h := st.Hosts[name]; h.RPC.IsValid() {
				hosts[name] = h.RPC
				known[h.RPC] = true
			}
		}
	}
	for _, s := range d.seedSources() {
		if !known[s.Addr] {
			hosts[s.Name] = s.Addr
		}
	}
	return hosts
}

// seedSources returns the seeds as sources of state. A seed is named by its address until the state names it.
func (d *Director) seedSources() []follower.Source {
	var sources []follower.Source
	for _, seed := range *d.seeds.Load() {
		addr := d.rpcOf(seed)
		sources = append(sources, follower.Source{
			Name: founderName(addr),
			Addr: addr,
		})
	}
	return sources
}

// rpcOf returns the rpc address of the host whose control address is given: ports are the same on all hosts.
func (d *Director) rpcOf(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), d.settings.Listen.RPC.Port())
}

// register records this host in the state, and again whenever the state lacks it.
func (d *Director) register() {
	for {
		changed := d.source.Changed()
		if !d.fresh() {
			// The state may have this host already; after a restart of all hosts their proposals would hold up the election.
			select {
			case <-d.ctx.Done():
				return
			case <-changed:
			case <-time.After(registerWait):
			}
			continue
		}
		record := d.record()
		if have, ok := d.source.State().Hosts[record.Name]; !ok || have != record {
			ctx, cancel := context.WithTimeout(d.ctx, registerTimeout)
			_, err := d.proposer.Propose(ctx, applier.Command{
				RegisterHost: &applier.RegisterHostMsg{
					Host: record,
				},
			})
			cancel()
			if err != nil && d.ctx.Err() == nil {
				d.log.Warn("host is not registered yet", "err", err)
			}
			select {
			case <-d.ctx.Done():
				return
			case <-time.After(registerWait):
			}
			continue
		}
		select {
		case <-d.ctx.Done():
			return
		case <-changed:
		}
	}
}

// fresh reports whether the state of this host was the newest lately, or at some time since its start on an entry host.
func (d *Director) fresh() bool {
	if d.follower != nil {
		return d.follower.Confirmed()
	}
	return d.control.controller.Lag() <= registerLag
}

func (d *Director) record() applier.Host {
	h := applier.Host{
		Name:        d.settings.Name,
		Incarnation: 1,
		DataCentre:  d.settings.DataCentre,
		Control:     d.settings.Roles.Control,
		RPC:         d.settings.Listen.RPC,
	}
	if d.control != nil {
		h.Name, h.Announce = d.control.name, d.settings.Direct.Control
	}
	return h
}

// startMetrics serves the counters and histograms. A host runs without them if the address is taken.
func (d *Director) startMetrics() {
	addr := d.settings.Direct.Metrics
	if !addr.IsValid() {
		return
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		d.log.Warn("no metrics", "err", err)
		return
	}
	mux := http.NewServeMux()
	mux.Handle("/metrics", expvar.Handler())
	d.metrics = &http.Server{
		Handler:           mux,
		ReadHeaderTimeout: registerTimeout,
	}
	go serveHTTP(d.metrics, ln, d.log)
	context.AfterFunc(d.ctx, func() { _ = d.metrics.Close() })
}

func serveHTTP(s *http.Server, ln net.Listener, l *log.Logger) {
	if err := s.Serve(ln); err != nil && !errors.Is(err, http.ErrServerClosed) {
		l.Error("listener failed", "addr", ln.Addr(), "err", err)
	}
}

// Refuse logs findings in settings that were not taken over.
func (d *Director) Refuse(findings []parser.Finding) {
	for _, f := range findings {
		d.log.Warn("reload refused", "finding", f.String())
	}
}
