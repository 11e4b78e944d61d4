// Package director assembles and runs one host of a system with direct dispatch: an entry host, which is a reverse proxy
// that sends callers' requests straight to targets, or a control host, which is a member of the consensus group that
// keeps the registry of targets and grants them leases of keys.
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
	"bramleyline.example/bramleyline/forwarder"
	"bramleyline.example/bramleyline/logger"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/parser"
	"bramleyline.example/bramleyline/prober"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/puller"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/settingsreader"
	"bramleyline.example/bramleyline/shaper"
)

const (
	// electionTimeout is a compromise between the time without a leader and the heartbeat traffic between the data
	// centres: the interval of heartbeats is an eighth of it.
	electionTimeout = 500 * time.Millisecond
	// registerWait is the pause between two attempts to register this host.
	registerWait = 300 * time.Millisecond
	// registerTimeout bounds one attempt to register this host.
	registerTimeout = 2 * time.Second
	// maxRegisterStaleness is the greatest age at which a control host's state still shows reliably whether the host is
	// registered. It is several election timeouts, so that a short time without a leader does not count as stale.
	maxRegisterStaleness = 2 * time.Second
	// maxLeaderAge is the age of the contact with a leader up to which commands are proposed to it first.
	maxLeaderAge = 2 * electionTimeout
	// closeTime is the part of the grace time that is reserved for closing the components of the host.
	closeTime = 300 * time.Millisecond
	// logCloseTime bounds the writing of the last log lines.
	logCloseTime = 200 * time.Millisecond
)

// Protocol implements the protocol that callers, targets and operators use with the system.
type Protocol struct {
	// Codec reads and writes the headers of requests.
	Codec forwarder.Codec
	// DecodeTable parses a traffic table.
	DecodeTable func(text []byte) (*matcher.Table, error)
	// ControlHandler returns the HTTP handler that serves operators and targets on a control host.
	ControlHandler func(*committer.Committer, *log.Logger) http.Handler
	// Targets calls targets to grant, renew or release keys.
	Targets coordinator.Caller
	// Prober makes health checks of targets.
	Prober prober.Caller
}

// source provides this host's copy of the replicated state: a control host has it from its own log, an entry host pulls
// it from control hosts.
type source interface {
	State() *applier.State
	Changed() <-chan struct{}
	Contact() (leader string, age time.Duration)
}

// Director is one host. Make it with New.
type Director struct {
	settings settingsreader.Settings
	protocol Protocol
	logs     *logger.Writer
	log      *log.Logger

	messenger *messenger.Messenger
	// pulls carries the pulls of the state alone: a call of another kind that times out closes the connection on which it was made.
	pulls    *messenger.Messenger
	rpc      *messenger.Listener
	proposer *proposer.Proposer
	source   source
	seeds    atomic.Pointer[[]netip.AddrPort]
	// puller pulls the state on an entry host.
	puller *puller.Puller
	// dialTarget opens connections to targets.
	dialTarget sender.DialFunc
	entry      *entry
	control    *control
	metrics    *http.Server
	// link schedules what this host sends and receives on its link; it is nil if that needs no scheduling.
	link *shaper.Shaper

	stopping atomic.Bool
	stopOnce sync.Once
	ctx      context.Context
	cancel   context.CancelFunc
	done     chan struct{}
}

// Option changes a Director at its construction.
type Option func(*Director)

// WithTargetDialer sets the function that opens connections to targets, instead of a net.Dialer.
func WithTargetDialer(dial sender.DialFunc) Option {
	return func(d *Director) { d.dialTarget = dial }
}

// New returns a host that has not started. Log lines go to out.
func New(settings settingsreader.Settings, protocol Protocol, out io.Writer, opts ...Option) (*Director, error) {
	if settings.Direct == nil {
		return nil, errors.New("settings have no section [direct]")
	}
	d := Director{
		settings: settings,
		protocol: protocol,
		logs:     logger.NewWriter(out),
		done:     make(chan struct{}),

		dialTarget: settings.Dialer(),
	}
	if d.dialTarget == nil {
		d.dialTarget = (&net.Dialer{}).DialContext
	}
	for _, o := range opts {
		o(&d)
	}
	var err error
	if d.log, err = logger.New(d.logs, settings.LogLevel, settings.LogFormat, settings.Name); err != nil {
		return nil, err
	}
	d.ctx, d.cancel = context.WithCancel(context.Background())
	d.seeds.Store(&settings.Direct.Seeds)
	return &d, nil
}

// Start starts the components of the host. A control host whose disk is full waits until there is space, or until ctx
// ends.
func (d *Director) Start(ctx context.Context) error {
	s := d.settings
	d.log.Info("start", "dataCentre", s.DataCentre, "entry", s.Roles.Entry, "control", s.Roles.Control, "found", s.Direct.Bootstrap,
		"seeds", s.Direct.Seeds)
	key := []byte(s.Keys.System)
	d.messenger = &messenger.Messenger{
		Key:  key,
		Dial: s.Dialer(),
	}
	d.rpc = &messenger.Listener{
		Key: key,
	}
	if s.Roles.Entry {
		d.pulls = &messenger.Messenger{
			Key:  key,
			Dial: s.Dialer(),
		}
		if d.link = shaper.New(s.Direct.Link, d.log); d.link != nil {
			written := func(n int) { d.link.Written(shaper.Control, n) }
			d.messenger.Written, d.pulls.Written = written, written
		}
	}
	d.proposer = &proposer.Proposer{
		Messenger: d.messenger,
		Hosts:     d.controlHosts,
		Leader:    d.heardLeader,
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

// Reload applies the settings that may change while the host runs: the seeds.
func (d *Director) Reload(settings settingsreader.Settings) {
	if settings.Direct == nil {
		d.log.Warn("reload ignored", "reason", "settings have no section [direct]")
		return
	}
	d.seeds.Store(&settings.Direct.Seeds)
	if d.puller != nil {
		d.puller.SetSources(d.seedSources())
	}
	d.log.Info("reload", "seeds", settings.Direct.Seeds)
}

// Failed returns a channel that is closed when the log of a control host has failed and the host cannot continue. The
// channel is nil on an entry host.
func (d *Director) Failed() <-chan struct{} {
	if d.control == nil {
		return nil
	}
	return d.control.controller.Done()
}

// Err returns the error with which the log of a control host failed. It is nil on an entry host.
func (d *Director) Err() error {
	if d.control == nil {
		return nil
	}
	return d.control.controller.Err()
}

// Done returns a channel that is closed when the host has stopped.
func (d *Director) Done() <-chan struct{} {
	return d.done
}

// Stop shuts the host down within the grace time of the settings. Requests in progress are answered first.
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

// controlHosts returns the rpc addresses of the control hosts by name: those in the replicated state, and the seeds of
// the settings that the state lacks.
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

// heardLeader returns the name of the control leader if this host has heard of it lately, directly or from its source of state.
func (d *Director) heardLeader() string {
	if d.source == nil {
		return ""
	}
	leader, age := d.source.Contact()
	if age > maxLeaderAge {
		return ""
	}
	return leader
}

// seedSources returns the seeds as sources of state. Until the state contains the host, its name is derived from its
// address.
func (d *Director) seedSources() []puller.Source {
	var sources []puller.Source
	for _, seed := range *d.seeds.Load() {
		addr := d.rpcAddr(seed)
		sources = append(sources, puller.Source{
			Name: founderName(addr),
			Addr: addr,
		})
	}
	return sources
}

// rpcAddr returns the rpc address of the host whose control address is given: ports are the same on all hosts.
func (d *Director) rpcAddr(control netip.AddrPort) netip.AddrPort {
	return netip.AddrPortFrom(control.Addr(), d.settings.Listen.RPC.Port())
}

// register keeps this host registered: it proposes the host's record whenever the state lacks it or has another one.
func (d *Director) register() {
	for {
		changed := d.source.Changed()
		if !d.hasFreshState() {
			// The newest state may contain this host already. After a restart of all hosts, needless proposals from all of
			// them would delay the election.
			select {
			case <-d.ctx.Done():
				return
			case <-changed:
			case <-time.After(registerWait):
			}
			continue
		}
		record := d.hostRecord()
		if registered, ok := d.source.State().Hosts[record.Name]; !ok || registered != record {
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

// hasFreshState reports whether the state of this host is recent enough to show if the host is registered: on a control
// host, it is at most maxRegisterStaleness old; on an entry host, it has been the newest at some time since the start.
func (d *Director) hasFreshState() bool {
	if d.puller != nil {
		return d.puller.Confirmed()
	}
	return d.control.controller.Lag() <= maxRegisterStaleness
}

func (d *Director) hostRecord() applier.Host {
	h := applier.Host{
		Name:        d.settings.Name,
		Incarnation: 1,
		DataCentre:  d.settings.DataCentre,
		Control:     d.settings.Roles.Control,
		RPC:         d.settings.Listen.RPC,
	}
	if d.entry != nil {
		h.Peer = d.settings.Listen.Peer
	}
	if d.control != nil {
		h.Name, h.Announce = d.control.name, d.settings.Direct.Control
	}
	return h
}

// startMetrics serves the counters and histograms. If the address cannot be listened on, the host runs without them.
func (d *Director) startMetrics() {
	addr := d.settings.Direct.Metrics
	if !addr.IsValid() {
		return
	}
	ln, err := net.Listen("tcp", addr.String())
	if err != nil {
		d.log.Warn("metrics are not served", "err", err)
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

// LogRejectedSettings logs the findings that prevented a reload of the settings.
func (d *Director) LogRejectedSettings(findings []parser.Finding) {
	for _, f := range findings {
		d.log.Warn("reload refused", "finding", f.String())
	}
}
