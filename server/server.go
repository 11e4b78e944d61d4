// Package server is the composition root of a host process: it opens the listeners, creates and starts the components
// that the host's roles need, and shuts them down gracefully.
package server

import (
	"context"
	"io"
	"maps"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/certifier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/detector"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/logger"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/notifier"
	"bramleyline.example/bramleyline/operator"
	"bramleyline.example/bramleyline/participant"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/puller"
	"bramleyline.example/bramleyline/router"
	"bramleyline.example/bramleyline/settingsreader"
)

// stateSource provides the newest replicated state that this host has, from its own log or pulled from control hosts.
type stateSource interface {
	State() *applier.State
	// Changed returns a channel that is closed when a newer state arrives.
	Changed() <-chan struct{}
	// Contact returns the control leader, empty if none is known, and the time since the last known contact with it.
	Contact() (leader string, age time.Duration)
}

// Server is one host. Make it with New.
type Server struct {
	settings    settingsreader.Settings
	incarnation uint64
	dial        func(ctx context.Context, network, addr string) (net.Conn, error)
	logOutput   io.Writer
	logger      *log.Logger

	listeners   listenerSet
	certifier   *certifier.Certifier
	notifier    *notifier.Notifier
	messenger   *messenger.Messenger
	rpc         *messenger.Listener
	controller  *controller.Controller
	puller      *puller.Puller
	source      stateSource
	proposer    *proposer.Proposer
	participant *participant.Participant
	router      *router.Router
	links       *detector.Detector
	operator    *operator.Operator
	current     *locator.Current
	caller      *httpListener
	peer        *httpListener
	announce    *httpListener

	config atomic.Pointer[configInForce]
	// stopping is true once Stop or Kill was called.
	stopping atomic.Bool
	// cancel ends watch; it is nil until Start has succeeded. watchDone is closed when watch has returned.
	cancel    context.CancelFunc
	watchDone chan struct{}
	// done is closed when all components have stopped.
	done chan struct{}
}

// configInForce is the configuration in force on this host, and since when.
type configInForce struct {
	config *configurer.Config
	since  time.Time
}

// New returns a host with open listeners, on which nothing is served until Start.
func New(settings settingsreader.Settings, options ...Option) (*Server, error) {
	s := &Server{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		logOutput:   io.Discard,
		watchDone:   make(chan struct{}),
		done:        make(chan struct{}),
	}
	for _, o := range options {
		o(s)
	}
	l, err := logger.New(s.logOutput, settings.LogLevel, settings.LogFormat, settings.Name)
	if err != nil {
		return nil, err
	}
	s.logger = l
	if s.certifier, err = certifier.New(settings.TLS); err != nil {
		return nil, err
	}
	if s.dial == nil {
		s.dial = settings.Dialer()
	}
	if err := s.listeners.open(settings.Listen); err != nil {
		return nil, err
	}
	return s, nil
}

// ListenAddrs returns the addresses on which the host listens.
func (s *Server) ListenAddrs() settingsreader.Listen {
	return settingsreader.Listen{
		Caller:   listenAddr(s.listeners.caller),
		Peer:     listenAddr(s.listeners.peer),
		RPC:      listenAddr(s.listeners.rpc),
		Announce: listenAddr(s.listeners.announce),
		Operator: listenAddr(s.listeners.operator),
	}
}

// Join sets the voters of the first control group in place of those in the settings. Programs whose hosts listen on
// free ports call it before Start, because the addresses are known only after New.
func (s *Server) Join(voters map[string]netip.AddrPort) {
	s.settings.Voters = maps.Clone(voters)
}

// Start starts the components of the host.
func (s *Server) Start() error {
	s.notifier = notifier.New()
	if err := s.notifier.Subscribe(s.logEvent); err != nil {
		return err
	}
	if err := s.initRPC(); err != nil {
		return err
	}
	if err := s.startState(); err != nil {
		return err
	}
	if err := s.startOwnership(); err != nil {
		return err
	}
	s.rpc.Start(s.listeners.rpc)
	s.startHTTP()
	s.startOperator()

	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.watch(ctx)
	return nil
}

// State returns the newest replicated state that this host has.
func (s *Server) State() *applier.State {
	return s.source.State()
}

// Propose commits a command to the replicated log and returns its result.
func (s *Server) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	return s.proposer.Propose(ctx, cmd)
}

// Config returns the configuration in force on this host, nil if there is none yet.
func (s *Server) Config() *configurer.Config {
	if f := s.config.Load(); f != nil {
		return f.config
	}
	return nil
}

// Ready reports whether callers' requests may be sent to this host.
func (s *Server) Ready() bool {
	return s.checkReady() == nil
}

// Errors that say why a host is not ready.
var (
	ErrStopping        = errors.New("host is stopping")
	ErrNoConfiguration = errors.New("host has no configuration yet")
	ErrNoRoutes        = errors.New("host has no routing table yet")
)

// checkReady returns why the host is not ready, nil if it is.
func (s *Server) checkReady() error {
	switch {
	case s.stopping.Load():
		return ErrStopping
	case s.Config() == nil:
		return ErrNoConfiguration
	case s.settings.Roles.Entry && s.current.Load() == nil:
		return ErrNoRoutes
	}
	return nil
}

// Done returns a channel that is closed when the host has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Failed returns a channel that is closed when the replicated log of a control host has failed, so that the host cannot
// go on; Err then returns the reason. The channel is nil, and so never ready, on a host without a log.
func (s *Server) Failed() <-chan struct{} {
	if s.controller == nil {
		return nil
	}
	return s.controller.Done()
}

// Err returns the failure of the host's replicated log, nil if there was none or the host has no log.
func (s *Server) Err() error {
	if s.controller == nil {
		return nil
	}
	return s.controller.Err()
}
