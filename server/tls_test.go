package server

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/settingsreader"
)

const testBase = `[deployment]
name = test
region = loopback

[timing]
balancerWait = 10ms

[dataCentre north]

[service tally]
kind = keyed
key = path:1
slots = 32
`

// writeCertificate writes a self-signed certificate for loopback, which is its own certificate authority, and returns
// its files and a pool that trusts it.
func writeCertificate(c *qt.C, folder string) (settingsreader.TLS, *x509.CertPool) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := x509.Certificate{
		SerialNumber:          big.NewInt(1),
		Subject:               pkix.Name{CommonName: "host"},
		IPAddresses:           []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:             time.Now().Add(-time.Hour),
		NotAfter:              time.Now().Add(time.Hour),
		IsCA:                  true,
		BasicConstraintsValid: true,
		KeyUsage:              x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature,
		ExtKeyUsage:           []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, &template, &template, &key.PublicKey, key)
	c.Assert(err, qt.IsNil)
	keyDER, err := x509.MarshalECPrivateKey(key)
	c.Assert(err, qt.IsNil)
	cert := pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})
	files := settingsreader.TLS{
		Certificate: filepath.Join(folder, "host.pem"),
		Key:         filepath.Join(folder, "host.key"),
		Authority:   filepath.Join(folder, "host.pem"),
	}
	c.Assert(os.WriteFile(files.Certificate, cert, 0o600), qt.IsNil)
	c.Assert(os.WriteFile(files.Key, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600), qt.IsNil)
	pool := x509.NewCertPool()
	c.Assert(pool.AppendCertsFromPEM(cert), qt.IsTrue)
	return files, pool
}

// startTLSHosts starts two hosts with TLS on every listener; the first one is the only control host.
func startTLSHosts(c *qt.C, files settingsreader.TLS) []*Server {
	anyPort := netip.MustParseAddrPort("127.0.0.1:0")
	var servers []*Server
	for i, name := range []string{"north-1", "north-2"} {
		s, err := New(settingsreader.Settings{
			Name:       name,
			DataCentre: "north",
			Roles:      settingsreader.Roles{Entry: true, Control: i == 0},
			DataFolder: c.TempDir(),
			Listen:     settingsreader.Listen{Caller: anyPort, Peer: anyPort, RPC: anyPort, Announce: anyPort, Operator: anyPort},
			Keys:       settingsreader.Keys{System: "test-system-key-0000", Target: "test-target-key-0000", Operator: "test-operator-key-00"},
			TLS:        files,
		})
		c.Assert(err, qt.IsNil)
		servers = append(servers, s)
	}
	for _, s := range servers {
		s.Join(map[string]netip.AddrPort{"north-1": servers[0].ListenAddrs().RPC})
		c.Assert(s.Start(), qt.IsNil)
		c.Cleanup(s.Kill)
	}
	return servers
}

// Guards against a listener that accepts plain text although the settings name certificates, and against a process
// without a trusted certificate that reaches the listeners between hosts.
func TestTLSOnEveryListener(t *testing.T) {
	c := qt.New(t)
	files, pool := writeCertificate(c, t.TempDir())
	servers := startTLSHosts(c, files)
	ctx, cancel := context.WithTimeout(context.Background(), 30*time.Second)
	defer cancel()
	result, err := servers[1].Propose(ctx, applier.Command{
		RequestID: "test",
		PutConfig: &applier.PutConfigMsg{
			Digest:   merger.Digest(testBase, nil),
			Operator: "test",
			At:       time.Now(),
			Base:     testBase,
		},
	})
	c.Assert(err, qt.IsNil)
	c.Assert(result.Rejection, qt.Equals, "")
	clientTLS := &tls.Config{RootCAs: pool}
	e := emulator.New(emulator.Options{
		Name:       "tally-1",
		Service:    "tally",
		DataCentre: "north",
		Token:      "test-target-key-0000",
		Announce:   []netip.AddrPort{servers[0].ListenAddrs().Announce, servers[1].ListenAddrs().Announce},
		TLS:        clientTLS,
	})
	c.Assert(e.Start(), qt.IsNil)
	c.Cleanup(func() { _ = e.Close() })

	caller := &http.Client{Transport: &http.Transport{TLSClientConfig: clientTLS}}
	// One of the two hosts does not dispatch to the target, and so forwards the request over TLS.
	for _, s := range servers {
		status, reason := 0, ""
		for status != http.StatusOK && ctx.Err() == nil {
			if resp, err := caller.Get("https://" + s.ListenAddrs().Caller.String() + "/tally/key1"); err == nil {
				status, reason = resp.StatusCode, resp.Header.Get("Bramleyline-Reason")
				_ = resp.Body.Close()
			}
			time.Sleep(20 * time.Millisecond)
		}
		c.Assert(status, qt.Equals, http.StatusOK, qt.Commentf("%s", reason))
		l := s.ListenAddrs()
		for _, addr := range []netip.AddrPort{l.Caller, l.Peer, l.Announce, l.Operator} {
			resp, err := http.Get("http://" + addr.String() + "/")
			if err == nil {
				c.Check(resp.StatusCode, qt.Equals, http.StatusBadRequest, qt.Commentf("plain text at %s", addr))
				_ = resp.Body.Close()
			}
		}
		withoutTLS := &messenger.Messenger{Key: []byte("test-system-key-0000")}
		c.Check(withoutTLS.Call(ctx, l.RPC, "Facts.Get", struct{}{}, &LocalFacts{}), qt.IsNotNil)
		_ = withoutTLS.Close()
	}
}
