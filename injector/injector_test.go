package injector

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

// startEcho returns the address of a server that sends back what it reads.
func startEcho(t *testing.T) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

// openLink returns a connection through a new link to an echo server.
func openLink(t *testing.T, i *Injector, from, to string) net.Conn {
	t.Cleanup(func() { _ = i.Close() })
	addr, err := i.Open(from, to, loopback, startEcho(t))
	qt.Assert(t, err, qt.IsNil)
	c, err := net.Dial("tcp", addr.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	pingPong(t, c)
	return c
}

// pingPong fails the test unless the echo of what it sends arrives.
func pingPong(t *testing.T, c net.Conn) {
	buf := make([]byte, 4)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Write([]byte("ping"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(c, buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buf), qt.Equals, "ping")
}

// assertNoAnswer sends bytes and fails the test if an answer arrives within 30 ms.
func assertNoAnswer(t *testing.T, c net.Conn) {
	_, err := c.Write([]byte("lost"))
	qt.Assert(t, err, qt.IsNil)
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	var netErr net.Error
	qt.Assert(t, errors.As(err, &netErr) && netErr.Timeout(), qt.IsTrue)
}

// TestCut guards against a cut that closes connections or affects other links, and against a connection that delivers
// bytes after a cut that dropped earlier ones.
func TestCut(t *testing.T) {
	c := qt.New(t)
	var i Injector
	inside := openLink(t, &i, "waw/1", "waw/2")
	across := openLink(t, &i, "waw/1", "krk/1")
	c.Assert(i.Isolate("waw/*", Fault{Cut: true}), qt.IsNil)
	pingPong(t, inside)
	assertNoAnswer(t, across)
	i.Heal()
	_ = across.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = across.Write([]byte("x"))
	_, err := across.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestOneDirection guards against a cut of one direction that also stops the other one.
func TestOneDirection(t *testing.T) {
	var i Injector
	received := make(chan string, 1)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	qt.Assert(t, err, qt.IsNil)
	defer ln.Close()
	go func() {
		c, err := ln.Accept()
		if err != nil {
			return
		}
		buf := make([]byte, 4)
		_, _ = io.ReadFull(c, buf)
		received <- string(buf)
		_, _ = c.Write(buf)
	}()
	defer i.Close()
	addr, err := i.Open("a", "b", loopback, ln.Addr().(*net.TCPAddr).AddrPort())
	qt.Assert(t, err, qt.IsNil)
	c, err := net.Dial("tcp", addr.String())
	qt.Assert(t, err, qt.IsNil)
	defer c.Close()
	qt.Assert(t, i.Set("b", "a", Fault{Cut: true}), qt.IsNil)
	assertNoAnswer(t, c)
	qt.Assert(t, <-received, qt.Equals, "lost")
}

// TestHold guards against bytes that are lost or reordered while they are held back.
func TestHold(t *testing.T) {
	var i Injector
	c := openLink(t, &i, "a", "b")
	qt.Assert(t, i.Set("a", "b", Fault{Hold: true}), qt.IsNil)
	assertNoAnswer(t, c)
	i.Heal()
	buf := make([]byte, 4)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := io.ReadFull(c, buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buf), qt.Equals, "lost")
	pingPong(t, c)
}

// TestTruncate guards against a truncated response that an HTTP client takes for a complete one.
func TestTruncate(t *testing.T) {
	var i Injector
	defer i.Close()
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write(bytes.Repeat([]byte("x"), 100_000))
	}))
	defer srv.Close()
	upstream := netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))
	qt.Assert(t, i.Set("b", "a", Fault{TruncateAfter: 50_000}), qt.IsNil)
	addr, err := i.Open("a", "b", loopback, upstream)
	qt.Assert(t, err, qt.IsNil)
	resp, err := http.Get("http://" + addr.String())
	qt.Assert(t, err, qt.IsNil)
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	qt.Assert(t, err, qt.IsNotNil)
	qt.Assert(t, len(body) > 0 && len(body) < 50_000, qt.IsTrue)
}

// TestRefuseAndReset guards against a refused connection that fails as a reset one does: a caller could not conclude
// that its request was never sent.
func TestRefuseAndReset(t *testing.T) {
	c := qt.New(t)
	var i Injector
	conn := openLink(t, &i, "a", "b")
	n, err := i.Reset("a", "*")
	c.Assert(err, qt.IsNil)
	c.Assert(n, qt.Equals, 1)
	_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
	_, err = conn.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue)
	addr := i.linkWires()[0].Address
	c.Assert(i.Set("a", "b", Fault{Refuse: true}), qt.IsNil)
	_, err = net.Dial("tcp", addr)
	c.Assert(errors.Is(err, syscall.ECONNREFUSED), qt.IsTrue)
	i.Heal()
	again, err := net.Dial("tcp", addr)
	c.Assert(err, qt.IsNil)
	pingPong(t, again)
	c.Assert(again.Close(), qt.IsNil)
}

// TestDialer guards against a dial function that connects in spite of a cut, or that bypasses the link.
func TestDialer(t *testing.T) {
	c := qt.New(t)
	var i Injector
	defer i.Close()
	addr := startEcho(t)
	i.Name(addr, "b")
	dial := i.Dialer("a")
	conn, err := dial(context.Background(), "tcp", addr.String())
	c.Assert(err, qt.IsNil)
	pingPong(t, conn)
	srv := httptest.NewServer(i.Handler())
	defer srv.Close()
	resp, err := http.Post(srv.URL+"/v1/rules", "application/json", strings.NewReader(`{"from":"a","to":"b","cut":true}`))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(resp.Body.Close(), qt.IsNil)
	assertNoAnswer(t, conn)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = dial(ctx, "tcp", addr.String())
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
}
