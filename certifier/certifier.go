// Package certifier makes TLS configurations from files that are read again when they change.
package certifier

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"expvar"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/settingsreader"
)

// checkInterval bounds how often the files are looked at. A certificate is replaced days before it expires.
const checkInterval = time.Second

var counters = expvar.NewMap("certifier")

// ErrNoCertificate reports a file without a certificate.
var ErrNoCertificate = errors.New("file has no certificate")

// Certifier keeps the certificate of a host and the authority that it trusts. Make it with New; it is safe for
// concurrent use.
//
// A file that cannot be read leaves the last good ones in use, so that half of a replacement does not stop the host.
type Certifier struct {
	files settingsreader.TLS

	mu      sync.Mutex
	checked time.Time
	stamps  [3]stamp
	pair    *tls.Certificate
	pool    *x509.CertPool
}

// stamp tells whether a file has changed.
type stamp struct {
	size int64
	at   time.Time
}

// New reads the files. It returns nil without an error if none are named, which means plain TCP.
func New(files settingsreader.TLS) (*Certifier, error) {
	if files == (settingsreader.TLS{}) {
		return nil, nil
	}
	c := Certifier{
		files: files,
	}
	if err := c.load(); err != nil {
		return nil, err
	}
	return &c, nil
}

// Server returns the configuration for addresses on which the system's own hosts connect: both sides need a
// certificate of the authority. A nil Certifier returns nil.
func (c *Certifier) Server() *tls.Config {
	return c.server(tls.RequireAndVerifyClientCert)
}

// Public returns the configuration for addresses on which callers, targets and operators connect: they need no
// certificate. A nil Certifier returns nil.
func (c *Certifier) Public() *tls.Config {
	return c.server(tls.NoClientCert)
}

func (c *Certifier) server(auth tls.ClientAuthType) *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// The configuration is made for each connection, because ClientCAs cannot be changed in a shared one.
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   auth,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns the configuration for one connection to a host, whose certificate must have the address as a subject
// alternative name. It has the files of this moment; Dial takes them anew for each connection. A nil Certifier returns
// nil.
func (c *Certifier) Client(addr netip.Addr) *tls.Config {
	if c == nil {
		return nil
	}
	pair, pool := c.current()
	return &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*pair},
		RootCAs:      pool,
		ServerName:   addr.String(),
	}
}

// DialFunc opens a connection, as net.Dialer does.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// Dial connects to addr, which is IP:PORT, and finishes the handshake before ctx ends. A nil Certifier connects without
// TLS. It fits Messenger.Dial and http.Transport.DialTLSContext.
func (c *Certifier) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{}
	return c.DialThrough(ctx, d.DialContext, network, addr)
}

// DialThrough is Dial over a connection that dial makes. The certificate is that of addr, whatever address dial
// connects to.
func (c *Certifier) DialThrough(ctx context.Context, dial DialFunc, network, addr string) (net.Conn, error) {
	if c == nil {
		return dial(ctx, network, addr)
	}
	to, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "address of a host")
	}
	conn, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	client := tls.Client(conn, c.Client(to.Addr()))
	if err := client.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "handshake with %s", addr)
	}
	return client, nil
}

// current returns the files in use, and reads them again if they changed.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checked) >= checkInterval {
		c.checked = time.Now()
		if c.changed() {
			if err := c.load(); err != nil {
				counters.Add("reloadErrors", 1)
			} else {
				counters.Add("reloads", 1)
			}
		}
	}
	return c.pair, c.pool
}
