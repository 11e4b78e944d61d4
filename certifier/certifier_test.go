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

// testAuthority is a certificate authority that signs the certificates of a test.
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

// writeFiles signs a certificate with a serial number for an IP address, and writes the three files of a host.
func (a *testAuthority) writeFiles(folder string, serial int64, ip string) settingsreader.TLS {
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

// forceReload makes the next use reload the files.
func (c *Certifier) forceReload() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.checkedAt = time.Time{}
	c.stamps = [3]stamp{}
}

// connect dials server with client. It returns the serial number of the server's certificate, or the error of either
// side.
func connect(c *qt.C, server *tls.Config, client *Certifier) (int64, error) {
	return handshake(c, server, func(addr string) (net.Conn, error) { return client.Dial(c.Context(), "tcp", addr) })
}

// handshake is connect with any dial function.
func handshake(c *qt.C, server *tls.Config, dial func(addr string) (net.Conn, error)) (int64, error) {
	ln, err := tls.Listen("tcp", "127.0.0.1:0", server)
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	serverErr := make(chan error, 1)
	go func() {
		conn, err := ln.Accept()
		if err == nil {
			err = conn.(*tls.Conn).Handshake()
			_ = conn.Close()
		}
		serverErr <- err
	}()
	conn, err := dial(ln.Addr().String())
	if err != nil {
		<-serverErr
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	return conn.(*tls.Conn).ConnectionState().PeerCertificates[0].SerialNumber.Int64(), <-serverErr
}

// Guards against a certificate that was replaced while the host runs and is used only after a restart, and against a
// half-finished replacement that stops the host.
func TestFilesAreReadAgain(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	folder := c.TempDir()
	host, err := New(a.writeFiles(folder, 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	server := host.Server()
	serial, err := connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(10))

	files := a.writeFiles(folder, 11, "127.0.0.1")
	host.forceReload()
	serial, err = connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))

	c.Assert(os.WriteFile(files.Key, nil, 0o600), qt.IsNil)
	host.forceReload()
	serial, err = connect(c, server, host)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))
}

// Guards against a replaced authority that is used only after a restart: both sides must verify with the new one.
func TestAuthorityIsReadAgain(t *testing.T) {
	c := qt.New(t)
	folder, other := c.TempDir(), c.TempDir()
	old, next := newAuthority(c), newAuthority(c)
	host, err := New(old.writeFiles(folder, 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	peer, err := New(next.writeFiles(other, 20, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	_, err = connect(c, host.Server(), peer)
	c.Assert(err, qt.ErrorMatches, ".*unknown authority.*")
	next.writeFiles(folder, 11, "127.0.0.1")
	host.forceReload()
	serial, err := connect(c, host.Server(), peer)
	c.Assert(err, qt.IsNil)
	c.Assert(serial, qt.Equals, int64(11))
}

// Guards against connections with a peer that has no certificate, one of another authority or one of another address.
func TestWrongPeersAreRefused(t *testing.T) {
	c := qt.New(t)
	a := newAuthority(c)
	host, err := New(a.writeFiles(c.TempDir(), 10, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	foreignHost, err := New(newAuthority(c).writeFiles(c.TempDir(), 20, "127.0.0.1"))
	c.Assert(err, qt.IsNil)
	otherAddress, err := New(a.writeFiles(c.TempDir(), 30, "127.0.0.2"))
	c.Assert(err, qt.IsNil)
	// These clients do not verify the server, so that an error can only come from the server.
	anonymousClient := func(addr string) (net.Conn, error) {
		return tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true})
	}
	foreignClient := func(addr string) (net.Conn, error) {
		cfg := foreignHost.Client(netip.MustParseAddrPort(addr).Addr())
		cfg.InsecureSkipVerify = true
		return tls.Dial("tcp", addr, cfg)
	}
	_, err = handshake(c, host.Server(), anonymousClient)
	c.Assert(err, qt.IsNotNil)
	_, err = handshake(c, host.Server(), foreignClient)
	c.Assert(err, qt.IsNotNil)
	_, err = handshake(c, host.Public(), anonymousClient)
	c.Assert(err, qt.IsNil)
	_, err = connect(c, foreignHost.Public(), host)
	c.Assert(err, qt.IsNotNil)
	// The certificate of a host must not be accepted for another address.
	_, err = connect(c, otherAddress.Public(), host)
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
