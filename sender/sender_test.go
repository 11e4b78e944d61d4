package sender

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// testServer is a server that repeats the identity of each request, and counts its open connections and their peak.
type testServer struct {
	*httptest.Server
	open, peak atomic.Int64
}

func newTestServer(tb testing.TB, h http.HandlerFunc) *testServer {
	w := testServer{
		Server: httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
			rw.Header().Set("Bramleyline-Request", r.Header.Get("Bramleyline-Request"))
			h(rw, r)
		})),
	}
	w.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		switch s {
		case http.StateNew:
			if n := w.open.Add(1); n > w.peak.Load() {
				w.peak.Store(n)
			}
		case http.StateClosed:
			w.open.Add(-1)
		}
	}
	tb.Cleanup(w.Close)
	return &w
}

func (w *testServer) request(body string) *Request {
	return &Request{
		Addr:        netip.MustParseAddrPort(w.Listener.Addr().String()),
		Method:      "POST",
		URI:         "/x",
		Host:        "x",
		Fields:      []Field{{Name: "Bramleyline-Request", Value: "a-1"}},
		Body:        [][]byte{[]byte(body)},
		Identity:    "a-1",
		Deadline:    time.Now().Add(10 * time.Second),
		Connections: 2,
	}
}

func send(s *Sender, r *Request) (string, *Fault) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	resp, f := s.Send(ctx, r)
	if f != nil {
		return "", f
	}
	defer resp.Close()
	b, err := io.ReadAll(resp)
	if err != nil {
		return "", err.(*Fault)
	}
	return string(b), nil
}

// echoBody answers with the body of the request. It reads the whole body first, because net/http's server ends the body
// when the first part of the answer is written.
func echoBody(w http.ResponseWriter, r *http.Request) {
	b, _ := io.ReadAll(r.Body)
	_, _ = w.Write(b)
}

// Guards against more connections than the limit, idle connections that are never closed, and leaked goroutines.
func TestConnectionsAreBoundedAndTrimmed(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	w := newTestServer(t, echoBody)
	w.Start()
	s := New(nil)
	body := strings.Repeat("5 kg ", 20_000)
	var wg sync.WaitGroup
	for range 40 {
		wg.Go(func() {
			if got, f := send(s, w.request(body)); f != nil || got != body {
				t.Errorf("answer of %d bytes, %v", len(got), f)
			}
		})
	}
	wg.Wait()
	c.Assert(w.peak.Load() <= 2, qt.IsTrue)
	s.Trim(time.Now())
	_, known := s.pools.Load(w.request("").Addr)
	c.Assert(known, qt.IsTrue)
	s.Trim(time.Now().Add(2 * maxIdleTime))
	_, known = s.pools.Load(w.request("").Addr)
	c.Assert(known, qt.IsFalse)
	_, f := send(s, w.request("again"))
	c.Assert(f == nil, qt.IsTrue)
	s.Close()
	_, f = send(s, w.request("late"))
	c.Assert(f.MayHaveRun, qt.IsFalse)
	w.Close()
}

// Guards against a new TLS connection for each request, because session tickets, which a server sends unasked, were
// taken for an unexpected answer; and against an unknown outcome after a failed TLS handshake.
func TestTLSConnectionIsReused(t *testing.T) {
	c := qt.New(t)
	w := newTestServer(t, echoBody)
	w.StartTLS()
	s := New(nil)
	defer s.Close()
	for _, body := range []string{"1", "2", "3"} {
		r := w.request(body)
		r.TLS = w.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
		r.TLS.ServerName = "example.com"
		got, f := send(s, r)
		c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
		c.Assert(got, qt.Equals, body)
	}
	c.Assert(w.peak.Load(), qt.Equals, int64(1))
	r := w.request("wrong name")
	r.TLS = &tls.Config{ServerName: "example.com"}
	s.Close()
	s = New(nil)
	_, f := send(s, r)
	c.Assert(f.MayHaveRun, qt.IsFalse)
}

// Guards against a connection that is closed because the deadline of its last request has passed or because Check
// refused a request on it, and against one that stays open although its request was cancelled while it ran.
func TestReuseAfterDeadlineCheckAndCancellation(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{}, 1)
	w := newTestServer(t, func(rw http.ResponseWriter, r *http.Request) {
		// net/http's server detects a closed connection only after the body was read.
		b, _ := io.ReadAll(r.Body)
		if string(b) == "hold" {
			<-r.Context().Done()
			cancelled <- struct{}{}
		}
		_, _ = rw.Write(b)
	})
	w.Start()
	s := New(nil)
	defer s.Close()
	r := w.request("1")
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, f := send(s, r)
	c.Assert(f == nil, qt.IsTrue)
	time.Sleep(60 * time.Millisecond)
	r = w.request("2")
	r.Check = func() error { return ErrClosed }
	_, f = send(s, r)
	c.Assert(f.MayHaveRun, qt.IsFalse)
	got, f := send(s, w.request("3"))
	c.Assert(f == nil && got == "3", qt.IsTrue, qt.Commentf("%v", f))
	c.Assert(w.peak.Load(), qt.Equals, int64(1))

	ctx, cancel := context.WithCancel(context.Background())
	go func() {
		time.Sleep(20 * time.Millisecond)
		cancel()
	}()
	_, f = s.Send(ctx, w.request("hold"))
	c.Assert(f.Reason, qt.Equals, ReasonCancelled)
	c.Assert(f.MayHaveRun, qt.IsTrue)
	// The cancellation closes the connection, which cancels the context of the handler.
	<-cancelled
}

// Guards against MayHaveRun being false although a part of the request was written, and against it being true although
// no connection was opened.
func TestProofOfWhatWasWritten(t *testing.T) {
	c := qt.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer l.Close()
	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}
			// Closing the connection while a part of the request is unread resets it.
			_, _ = io.ReadFull(conn, make([]byte, 100))
			_ = conn.Close()
		}
	}()
	w := testServer{Server: &httptest.Server{Listener: l}}
	s := New(nil)
	defer s.Close()
	_, f := send(s, w.request(strings.Repeat("x", 8<<20)))
	c.Assert(f.MayHaveRun, qt.IsTrue)
	c.Assert(f.Severed, qt.IsTrue, qt.Commentf("%v", f))
	_ = l.Close()
	_, f = send(s, w.request("x"))
	c.Assert(f.MayHaveRun, qt.IsFalse)
	c.Assert(f.Reason, qt.Equals, ReasonUnreachable)
}
