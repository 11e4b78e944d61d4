package certifier

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/settingsreader"
)

// testAuthority signs the certificates of a test.
type testAuthority struct {
	c    *qt.C
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
}

func newAuthority(c *qt.C) *testAuthority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	cert, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	return &testAuthority{c: c, cert: cert, key: key}
}

// write signs a certificate with a serial number and writes the three files of a host.
func (a *testAuthority) write(folder string, serial int64, ip string) settingsreader.TLS {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	a.c.Assert(err, qt.IsNil)
	template := x509.Certificate{
		SerialNumber: big.NewInt(serial), IPAddresses: []net.IP{net.ParseIP(ip)},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, a.cert, &key.PublicKey, a.key)
	a.c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	a.c.Assert(err, qt.IsNil)
	files := settingsreader.TLS{
		Certificate: filepath.Join(folder, "host.pem"), Key: filepath.Join(folder, "host.key"),
		Authority: filepath.Join(folder, "authority.pem"),
	}
	for file, block := range map[string]*pem.Block{
		files.Certificate: {Type: "CERTIFICATE", Bytes: der},
		files.Key:         {Type: "EC PRIVATE KEY", Bytes: keyDER},
		files.Authority:   {Type: "CERTIFICATE", Bytes: a.cert.Raw},
	} {
		a.c.Assert(os.WriteFile(file, pem.EncodeToMemory(block), 0o600), qt.IsNil)
	}
	return files
}

// expire makes the next use look at the files.
func (c *Certifier) expire() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checked = time.Time{}
	c.stamps = [3]stamp{}
}

// connect returns the serial number of the server's certificate, and the error of either side.
func connect(c *qt.C, server *tls.Config, client *Certifier) (int64, error) {
	return handshake(c, server, func(addr string) (net.Conn, error) { return client.Dial(c.Context(), "tcp", addr) })
}

func handshake(c *qt.C, server *tls.Config, dial func(addr string) (net.Conn, error)) (int64, error) {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	failed := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		failed <- err
	}()
	conn, err := dial(ln.Addr().String())
	if err != nil {
		<-failed
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-failed
}

// A certificate that is replaced while the host runs must be used without a restart, and half of a replacement must not
// stop the host.
func TestFilesAreReadAgain(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	folder := c.TempDir()
	host, err := New(a.write(folder, 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	server := host.Server()
	serial, err := connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(10))

	files := a.write(folder, 11, "127.0.0.1")
	host.expire()
	serial, err = connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))

	c.Assert(os.WriteFile(files.Key, nil, 0o600), qt.IsNil)
	host.expire()
	serial, err = connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))
}

// The authority may be replaced too: the new one counts for both sides from then on.
func TestAuthorityIsReadAgain(t *testing.T) {
	c := qt.New(t)
	folder, other := c.TempDir(), c.TempDir()
	old, next := newAuthority(c), newAuthority(c)
	host, err := New(old.write(folder, 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	peer, err := New(next.write(other, 20, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	_, err = connect(c, host.Server(), peer)
	c.Assert(err, qt.ErrorMatches, ".*unknown authority.*")
	next.write(folder, 11, "127.0.0.1")
	host.expire()
	serial, err := connect(c, host.Server(), peer)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))
}

func TestWrongPeersAreRefused(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	host, err := New(a.write(c.TempDir(), 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	stranger, err := New(newAuthority(c).write(c.TempDir(), 20, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	elsewhere, err := New(a.write(c.TempDir(), 30, "127.0.0.2"))
	c.Assert(err, qt.IsNil)
	// These accept any server, so that the test sees what the server says to them.
	anonymous := func(addr string) (net.Conn, error) {
		return tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	}
	foreign := func(addr string) (net.Conn, error) {
		cfg := stranger.Client(netip.MustParseAddrPort(addr).Addr())
		cfg.InsecureSkipVerify = true
		return tls.Dial("tcp", addr, cfg)
	}
	_, err = handshake(c, host.Server(), anonymous)
	c.Assert(err, qt.IsNotNil)
	_, err = handshake(c, host.Server(), foreign)
	c.Assert(err, qt.IsNotNil)
	_, err = handshake(c, host.Public(), anonymous)
	c.Assert(err, qt.IsNil)
	_, err = connect(c, stranger.Public(), host)
	c.Assert(err, qt.IsNotNil)
	// A host's certificate must not serve for another address.
	_, err = connect(c, elsewhere.Public(), host)
	c.Assert(err, qt.ErrorMatches, ".*127.0.0.1.*")
}

func TestNoFilesMeanPlainTCP(t *testing.T) {
	c := qt.New(t)
	host, err := New(settingsreader.TLS{})
	c.Assert(err, qt.IsNil)
	c.Assert(host.Server(), qt.IsNil)
	c.Assert(host.Public(), qt.IsNil)
	c.Assert(host.Client(netip.IPv6Loopback()), qt.IsNil)
	_, err = New(settingsreader.TLS{Certificate: "no-such-file"})
	c.Assert(err, qt.IsNotNil)
}
