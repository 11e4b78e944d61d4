package server

import (
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Option changes how a host is made.
type Option func(*Server)

// WithDial sets how the host connects to other hosts. Tests lead connections through a fault-injecting proxy with it.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(s *Server) {
		s.dial = dial
	}
}

// WithLog sets where log lines go; the default is nowhere.
func WithLog(w io.Writer) Option {
	return func(s *Server) {
		s.logOutput = w
	}
}

// translate makes the host dial the translated address where the settings have one.
func (s *Server) translate() {
	if len(s.settings.Translation) == 0 || s.dial != nil {
		return
	}
	var d net.Dialer
	s.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
		announced, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		if reachable, ok := s.settings.Translation[announced]; ok {
			addr = reachable.String()
		}
		return d.DialContext(ctx, network, addr)
	}
}

// dialHost connects to the rpc address of another host, with TLS if the settings name certificates.
func (s *Server) dialHost(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.dial == nil {
		return s.certifier.Dial(ctx, network, addr)
	}
	return s.certifier.DialThrough(ctx, s.dial, network, addr)
}
