package server

import (
	"context"
	"io"
	"net"
)

// Option is a setting of a Server.
type Option func(*Server)

// WithDial sets how the host connects to other hosts. Tests route connections through a fault-injecting proxy with it.
func WithDial(dial func(ctx context.Context, network, addr string) (net.Conn, error)) Option {
	return func(s *Server) {
		s.dial = dial
	}
}

// WithLogOutput sets the writer of log lines; by default they are discarded.
func WithLogOutput(w io.Writer) Option {
	return func(s *Server) {
		s.logOutput = w
	}
}

// dialHost connects to the rpc address of another host, with TLS if the settings name certificates.
func (s *Server) dialHost(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.dial == nil {
		return s.certifier.Dial(ctx, network, addr)
	}
	return s.certifier.DialThrough(ctx, s.dial, network, addr)
}
