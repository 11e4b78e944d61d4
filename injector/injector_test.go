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

// echo returns the address of a server that sends back what it reads.
func echo(t *testing.T) netip.AddrPort {
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

func open(t *testing.T, i *Injector, from, to string) net.Conn {
	t.Cleanup(func() { _ = i.Close() })
	addr, err := i.Open(from, to, loopback, echo(t))
	qt.Assert(t, err, qt.IsNil)
	c, err := net.Dial("tcp", addr.String())
	qt.Assert(t, err, qt.IsNil)
	t.Cleanup(func() { _ = c.Close() })
	exchange(t, c)
	return c
}

func exchange(t *testing.T, c net.Conn) {
	buf := make([]byte, 4)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := c.Write([]byte("ping"))
	qt.Assert(t, err, qt.IsNil)
	_, err = io.ReadFull(c, buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buf), qt.Equals, "ping")
}

func silent(t *testing.T, c net.Conn) {
	_, err := c.Write([]byte("lost"))
	qt.Assert(t, err, qt.IsNil)
	_ = c.SetReadDeadline(time.Now().Add(30 * time.Millisecond))
	_, err = c.Read(make([]byte, 1))
	var netErr net.Error
	qt.Assert(t, errors.As(err, &netErr) && netErr.Timeout(), qt.IsTrue)
}

// TestCut guards against a cut that closes connections, that hits other links, or that skips bytes once it is over.
func TestCut(t *testing.T) {
	c := qt.New(t)
	var i Injector
	inside := open(t, &i, "waw/1", "waw/2")
	across := open(t, &i, "waw/1", "krk/1")
	c.Assert(i.Isolate("waw/*", Fault{Cut: true}), qt.IsNil)
	exchange(t, inside)
	silent(t, across)
	i.Heal()
	_ = across.SetDeadline(time.Now().Add(10 * time.Second))
	_, _ = across.Write([]byte("x"))
	_, err := across.Read(make([]byte, 1))
	c.Assert(errors.Is(err, syscall.ECONNRESET), qt.IsTrue, qt.Commentf("%v", err))
}

// TestOneDirection guards against a cut of one direction that stops the other one.
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
	silent(t, c)
	qt.Assert(t, <-received, qt.Equals, "lost")
}

// TestHold guards against held bytes that are lost or reordered.
func TestHold(t *testing.T) {
	var i Injector
	c := open(t, &i, "a", "b")
	qt.Assert(t, i.Set("a", "b", Fault{Hold: true}), qt.IsNil)
	silent(t, c)
	i.Heal()
	buf := make([]byte, 4)
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	_, err := io.ReadFull(c, buf)
	qt.Assert(t, err, qt.IsNil)
	qt.Assert(t, string(buf), qt.Equals, "lost")
	exchange(t, c)
}

// TestTruncate guards against a truncated response that looks whole.
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

// TestRefuseAndReset guards against refusals that a caller cannot tell from a lost request.
func TestRefuseAndReset(t *testing.T) {
	c := qt.New(t)
	var i Injector
	conn := open(t, &i, "a", "b")
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
	exchange(t, again)
	c.Assert(again.Close(), qt.IsNil)
}

// TestDialer guards against a dialer that connects through a cut, or that passes a link by.
func TestDialer(t *testing.T) {
	c := qt.New(t)
	var i Injector
	defer i.Close()
	addr := echo(t)
	i.Name(addr, "b")
	dial := i.Dialer("a")
	conn, err := dial(context.Background(), "tcp", addr.String())
	c.Assert(err, qt.IsNil)
	exchange(t, conn)
	srv := httptest.NewServer(i.Handler())
	defer srv.Close()
	resp, err := http.Post(srv.URL+"/v1/rules", "application/json", strings.NewReader(`{"from":"a","to":"b","cut":true}`))
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusOK)
	c.Assert(resp.Body.Close(), qt.IsNil)
	silent(t, conn)
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err = dial(ctx, "tcp", addr.String())
	c.Assert(errors.Is(err, context.DeadlineExceeded), qt.IsTrue)
	c.Assert(conn.Close(), qt.IsNil)
}
