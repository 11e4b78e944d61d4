package server

import (
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/participant"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/puller"
	"bramleyline.example/bramleyline/router"
)

// initRPC creates the RPC client and server for calls between hosts, and the proposer, which uses the client.
func (s *Server) initRPC() error {
	key := []byte(s.settings.Keys.System)
	s.messenger = &messenger.Messenger{
		Key:  key,
		Dial: s.dialHost,
	}
	s.rpc = &messenger.Listener{
		Key: key,
		TLS: s.certifier.Server(),
	}
	s.proposer = &proposer.Proposer{
		Messenger: s.messenger,
		Hosts:     s.controlHosts,
	}
	return s.registerFacts()
}

// controlHosts returns the rpc addresses of the control hosts by name: the voters in the settings and the control hosts
// in the state, whose addresses take precedence.
func (s *Server) controlHosts() map[string]netip.AddrPort {
	hosts := make(map[string]netip.AddrPort)
	for name, addr := range s.settings.Voters {
		hosts[name] = addr
	}
	if s.source == nil {
		return hosts
	}
	for name, h := range s.source.State().Hosts {
		if h.Control && h.RPC.IsValid() {
			hosts[name] = h.RPC
		}
	}
	return hosts
}

// startState starts the source of the replicated state: on a control host a member of the control group, on other hosts
// a puller, which pulls the state from control hosts.
func (s *Server) startState() error {
	if !s.settings.Roles.Control {
		s.puller = puller.New(s.messenger, s.sources(), s.logger)
		s.source = s.puller
		s.puller.Start()
		return nil
	}
	c, err := controller.New(
		controller.WithName(s.settings.Name),
		controller.WithVoters(s.settings.Voters),
		controller.WithDataFolder(s.settings.DataFolder),
		controller.WithMessenger(s.messenger),
		controller.WithSeed(s.incarnation),
		controller.WithLogger(s.logger),
	)
	if err != nil {
		return err
	}
	if err := c.Register(s.rpc); err != nil {
		return err
	}
	s.controller = c
	s.source = c
	return c.Start()
}

// sources lists the voters in the settings in the random iteration order of a map, which spreads the pullers of the
// deployment over the control hosts.
func (s *Server) sources() []puller.Source {
	var sources []puller.Source
	for name, addr := range s.settings.Voters {
		sources = append(sources, puller.Source{
			Name: name,
			Addr: addr,
		})
	}
	return sources
}

// hostRecord returns the record of this host for the replicated state.
func (s *Server) hostRecord() applier.Host {
	l := s.ListenAddrs()
	return applier.Host{
		Name:        s.settings.Name,
		Incarnation: s.incarnation,
		DataCentre:  s.settings.DataCentre,
		Control:     s.settings.Roles.Control,
		Peer:        l.Peer,
		RPC:         l.RPC,
		Announce:    l.Announce,
	}
}

// startOwnership starts the participant, which takes part in assigning slots to targets, and creates the router, which
// reads the participant's routing table.
func (s *Server) startOwnership() error {
	var leading func(now time.Time) (time.Time, bool)
	if s.controller != nil {
		leading = s.controller.Leading
	}
	p, err := participant.New(participant.Options{
		Host:      s.hostRecord(),
		Voters:    s.settings.Voters,
		Source:    s.source,
		Proposer:  s.proposer,
		Leading:   leading,
		Messenger: s.messenger,
		Config:    s.Config,
		Token:     s.settings.Keys.Target,
	})
	if err != nil {
		return err
	}
	s.participant = p
	s.current = p.Current()
	s.links = s.newLinks()
	s.router = router.New(router.Options{
		Host:       s.settings.Name,
		DataCentre: s.settings.DataCentre,
		Config:     s.Config,
		Locator:    s.current,
		PeerKey:    s.settings.Keys.System,
		Dial:       s.dial,
		PeerTLS:    s.certifier.Client,
		Sketch:     newSketch,
		Links:      s.links,
		Log:        s.logger,
	})
	p.SetTraffic(s.router.Traffic())
	if err := p.Register(s.rpc); err != nil {
		return errors.Wrap(err, "register ownership services")
	}
	p.Start()
	return nil
}

// startHTTP serves targets' heartbeats, forwarded requests and callers' requests on the addresses that are set.
func (s *Server) startHTTP() {
	if s.listeners.announce != nil {
		s.announce = serveHTTP(s.listeners.announce, s.participant.Handler(), s.certifier.Public())
	}
	if s.listeners.peer != nil {
		s.peer = serveHTTP(s.listeners.peer, s.router.Peer(), s.certifier.Server())
	}
	if s.listeners.caller != nil {
		s.caller = serveHTTP(s.listeners.caller, s.router, s.certifier.Public())
	}
}
