package server

import (
	"context"
	"crypto/tls"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settingsreader"
)

// Bounds of the HTTP listeners. The timeouts are longer than a request's own deadline; they close connections whose
// peer is unresponsive.
const (
	headerTimeout  = 5 * time.Second
	idleTimeout    = 2 * time.Minute
	maxHeaderBytes = 64 << 10
)

// listenerSet holds the listeners of a host. They are opened before anything starts, so that a wrong address is found
// at once.
type listenerSet struct {
	caller   net.Listener
	peer     net.Listener
	rpc      net.Listener
	announce net.Listener
	operator net.Listener
}

// open listens on all addresses that l names and reports all failures together.
func (s *listenerSet) open(l settingsreader.Listen) error {
	var failures []string
	for _, item := range []struct {
		ln   *net.Listener
		addr netip.AddrPort
	}{
		{ln: &s.caller, addr: l.Caller},
		{ln: &s.peer, addr: l.Peer},
		{ln: &s.rpc, addr: l.RPC},
		{ln: &s.announce, addr: l.Announce},
		{ln: &s.operator, addr: l.Operator},
	} {
		if *item.ln != nil || !item.addr.IsValid() {
			continue
		}
		ln, err := net.Listen("tcp", item.addr.String())
		if err != nil {
			failures = append(failures, err.Error())
			continue
		}
		*item.ln = ln
	}
	if len(failures) > 0 {
		s.close()
		return errors.Errorf("listen: %q", failures)
	}
	return nil
}

func (s *listenerSet) close() {
	for _, ln := range []net.Listener{s.caller, s.peer, s.rpc, s.announce, s.operator} {
		if ln != nil {
			_ = ln.Close()
		}
	}
}

// listenAddr returns the address of ln, the zero AddrPort if ln is nil or not a TCP listener.
func listenAddr(ln net.Listener) netip.AddrPort {
	if ln == nil {
		return netip.AddrPort{}
	}
	if a, ok := ln.Addr().(*net.TCPAddr); ok {
		return a.AddrPort()
	}
	return netip.AddrPort{}
}

// httpListener is an HTTP server with one handler on one listener.
type httpListener struct {
	server   *http.Server
	listener *drainListener
	done     chan struct{}
}

func serveHTTP(ln net.Listener, h http.Handler, cfg *tls.Config) *httpListener {
	l := &httpListener{
		server: &http.Server{
			Handler:           h,
			ReadHeaderTimeout: headerTimeout,
			IdleTimeout:       idleTimeout,
			MaxHeaderBytes:    maxHeaderBytes,
			TLSConfig:         cfg,
		},
		listener: newDrainListener(ln),
		done:     make(chan struct{}),
	}
	ln = l.listener
	if cfg != nil {
		ln = tls.NewListener(ln, cfg)
	}
	go func() {
		defer close(l.done)
		_ = l.server.Serve(ln)
	}()
	return l
}

// stop accepts the connections that wait, closes the listener and the idle connections, and waits for the requests in
// progress until ctx ends.
func (l *httpListener) stop(ctx context.Context) error {
	l.listener.drain(l.done)
	err := l.server.Shutdown(ctx)
	if err != nil {
		_ = l.server.Close()
	}
	<-l.done
	return errors.Wrap(err, "wait for requests in progress")
}

// kill closes the listener and all connections at once.
func (l *httpListener) kill() {
	_ = l.server.Close()
	<-l.done
}
