package server

import (
	"context"
	"io"
	"net"
	"net/netip"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settler"
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

func newLogger(w io.Writer, settings settler.Settings) (*log.Logger, error) {
	level := log.InfoLevel
	if settings.LogLevel != "" {
		parsed, err := log.ParseLevel(settings.LogLevel)
		if err != nil {
			return nil, errors.Wrap(err, "logLevel")
		}
		level = parsed
	}
	formatters := map[string]log.Formatter{
		"":       log.TextFormatter,
		"text":   log.TextFormatter,
		"json":   log.JSONFormatter,
		"logfmt": log.LogfmtFormatter,
	}
	formatter, ok := formatters[settings.LogFormat]
	if !ok {
		return nil, errors.Errorf("logFormat %q is none of text, json and logfmt", settings.LogFormat)
	}
	return log.NewWithOptions(w, log.Options{
		Level:           level,
		Formatter:       formatter,
		ReportTimestamp: true,
		Fields:          []any{"host", settings.Name},
	}), nil
}

// dialHost connects to the rpc address of another host, with TLS if the settings name certificates.
func (s *Server) dialHost(ctx context.Context, network, addr string) (net.Conn, error) {
	if s.dial == nil {
		return s.certifier.Dial(ctx, network, addr)
	}
	return s.certifier.DialThrough(ctx, s.dial, network, addr)
}
