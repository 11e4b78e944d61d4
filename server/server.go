// Package server is one host of the system: it opens the listeners, runs the parts that the host's roles ask for, and
// stops them gracefully.
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
	"bramleyline.example/bramleyline/follower"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/logger"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/notifier"
	"bramleyline.example/bramleyline/operator"
	"bramleyline.example/bramleyline/participant"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/router"
	"bramleyline.example/bramleyline/settingsreader"
)

// source is the replicated state as this host knows it, from its own log or from control hosts.
type source interface {
	State() *applier.State
	Changed() <-chan struct{}
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
	follower    *follower.Follower
	source      source
	proposer    *proposer.Proposer
	participant *participant.Participant
	router      *router.Router
	operator    *operator.Operator
	current     *locator.Current
	caller      *httpListener
	peer        *httpListener
	announce    *httpListener

	config   atomic.Pointer[forceConfig]
	stopping atomic.Bool
	cancel   context.CancelFunc
	watched  chan struct{}
	done     chan struct{}
}

// forceConfig is the configuration in force on this host, and since when.
type forceConfig struct {
	config *configurer.Config
	since  time.Time
}

// New opens the listeners of a host. Start runs it.
func New(settings settingsreader.Settings, options ...Option) (*Server, error) {
	s := &Server{
		settings:    settings,
		incarnation: uint64(time.Now().UnixNano()),
		logOutput:   io.Discard,
		watched:     make(chan struct{}),
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

// Listen returns the addresses on which the host listens.
func (s *Server) Listen() settingsreader.Listen {
	return settingsreader.Listen{
		Caller:   address(s.listeners.caller),
		Peer:     address(s.listeners.peer),
		RPC:      address(s.listeners.rpc),
		Announce: address(s.listeners.announce),
		Operator: address(s.listeners.operator),
	}
}

// Join replaces the first voters of the settings. It is called before Start by programs that let hosts pick their
// ports.
func (s *Server) Join(voters map[string]netip.AddrPort) {
	s.settings.Voters = maps.Clone(voters)
}

// Start runs the parts of the host.
func (s *Server) Start() error {
	s.notifier = notifier.New()
	if err := s.notifier.Subscribe(s.logEvent); err != nil {
		return err
	}
	if err := s.connect(); err != nil {
		return err
	}
	if err := s.startState(); err != nil {
		return err
	}
	if err := s.startOwnership(); err != nil {
		return err
	}
	s.rpc.Start(s.listeners.rpc)
	s.startTraffic()
	s.startOperator()

	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	go s.watch(ctx)
	return nil
}

// State returns the newest replicated state that this host knows.
func (s *Server) State() *applier.State {
	return s.source.State()
}

// Propose commits a command in the log.
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
	return s.notReady() == nil
}

// Readiness errors.
var (
	ErrStopping        = errors.New("host is stopping")
	ErrNoConfiguration = errors.New("host has no configuration yet")
	ErrNoRoutes        = errors.New("host has no routing table yet")
)

func (s *Server) notReady() error {
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

// Done is closed when the host has stopped.
func (s *Server) Done() <-chan struct{} {
	return s.done
}

// Failed is closed when the log of a control host has failed and the host cannot go on; Err then says why. It is nil,
// and so never ready, on a host without a log.
func (s *Server) Failed() <-chan struct{} {
	if s.controller == nil {
		return nil
	}
	return s.controller.Done()
}

// Err returns the failure of the host's log.
func (s *Server) Err() error {
	if s.controller == nil {
		return nil
	}
	return s.controller.Err()
}
