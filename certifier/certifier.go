// Package certifier provides TLS configurations whose certificate, key and authority files are reloaded when they
// change, without a restart.
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

// checkInterval is the shortest time between two checks of the files for changes. A certificate is replaced days before
// it expires.
const checkInterval = time.Second

var counters = expvar.NewMap("certifier")

// ErrNoCertificate reports an authority file without a certificate.
var ErrNoCertificate = errors.New("file has no certificate")

// Certifier holds the certificate of a host and the certificate authority that it trusts. Make it with New; it is safe
// for concurrent use.
//
// While a changed file cannot be used, the last valid certificate and authority stay in use, so that a half-finished
// replacement of the files does not stop the host.
type Certifier struct {
	files settingsreader.TLS

	mu sync.Mutex
	// checkedAt is the time of the last check of the files for changes.
	checkedAt time.Time
	// stamps are those of the files in use, in the order of fileNames.
	stamps [3]stamp
	pair   *tls.Certificate
	pool   *x509.CertPool
}

// stamp is the size and the modification time of a file, by which a change is detected.
type stamp struct {
	size       int64
	modifiedAt time.Time
}

// New reads the files. It returns nil without an error if no files are named, which means plain TCP.
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

// Server returns the server configuration for addresses to which the system's own hosts connect: both sides need a
// certificate of the authority (mutual TLS). A nil Certifier returns nil.
func (c *Certifier) Server() *tls.Config {
	return c.server(tls.RequireAndVerifyClientCert)
}

// Public returns the server configuration for addresses to which callers, targets and operators connect: they need no
// certificate. A nil Certifier returns nil.
func (c *Certifier) Public() *tls.Config {
	return c.server(tls.NoClientCert)
}

// server returns a server configuration with the given client authentication.
func (c *Certifier) server(clientAuth tls.ClientAuthType) *tls.Config {
	if c == nil {
		return nil
	}
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		// Each connection gets a new configuration, because ClientCAs must not be changed in a shared one.
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*pair},
				ClientAuth:   clientAuth,
				ClientCAs:    pool,
			}, nil
		},
	}
}

// Client returns the client configuration for one connection to a host, whose certificate must have the address as a
// subject alternative name. It is not updated when the files change; Dial makes a new one for each connection. A nil
// Certifier returns nil.
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

// Dial connects to addr, which is IP:PORT, and completes the TLS handshake before ctx ends. A nil Certifier connects
// without TLS. It has the type of Messenger.Dial and http.Transport.DialTLSContext.
func (c *Certifier) Dial(ctx context.Context, network, addr string) (net.Conn, error) {
	d := net.Dialer{}
	return c.DialThrough(ctx, d.DialContext, network, addr)
}

// DialThrough is Dial over a connection that dial opens. The certificate of the server must be valid for addr, whatever
// address dial connects to.
func (c *Certifier) DialThrough(ctx context.Context, dial DialFunc, network, addr string) (net.Conn, error) {
	if c == nil {
		return dial(ctx, network, addr)
	}
	hostAddr, err := netip.ParseAddrPort(addr)
	if err != nil {
		return nil, errors.Wrap(err, "parse host address")
	}
	conn, err := dial(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	client := tls.Client(conn, c.Client(hostAddr.Addr()))
	if err := client.HandshakeContext(ctx); err != nil {
		_ = conn.Close()
		return nil, errors.Wrapf(err, "TLS handshake with %s", addr)
	}
	return client, nil
}

// current returns the certificate and the authority in use. It checks the files at most every checkInterval, and
// reloads them if they changed.
func (c *Certifier) current() (*tls.Certificate, *x509.CertPool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if time.Since(c.checkedAt) >= checkInterval {
		c.checkedAt = time.Now()
		if c.filesChanged() {
			if err := c.load(); err != nil {
				counters.Add("reloadErrors", 1)
			} else {
				counters.Add("reloads", 1)
			}
		}
	}
	return c.pair, c.pool
}
