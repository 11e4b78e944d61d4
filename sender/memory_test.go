package sender

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reserver"
)

// endless is a target that answers each connection with start and then with repetitions of next until it is closed.
func endless(c *qt.C, start string, next func(n int) string) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				if _, err := conn.Read(make([]byte, 4096)); err != nil {
					return
				}
				_, err := io.WriteString(conn, start)
				for n := 0; err == nil; n++ {
					_, err = io.WriteString(conn, next(n))
				}
			}()
		}
	}()
	return netip.MustParseAddrPort(ln.Addr().String())
}

// shortLines returns many header lines with different names, which take the most memory for their length.
func shortLines(n int) string {
	var b strings.Builder
	for i := range 500 {
		fmt.Fprintf(&b, "%x:\r\n", 500*n+i)
	}
	return b.String()
}

// watchHeap returns a function that returns the greatest growth of the heap since the call of watchHeap, in bytes.
func watchHeap(c *qt.C) func() int64 {
	var before runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	var peak atomic.Int64
	done := make(chan struct{})
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			select {
			case <-done:
				return
			case <-time.After(time.Millisecond):
			}
			var now runtime.MemStats
			runtime.ReadMemStats(&now)
			peak.Store(max(peak.Load(), int64(now.HeapAlloc)-int64(before.HeapAlloc)))
		}
	})
	stop := sync.OnceFunc(func() {
		close(done)
		wg.Wait()
	})
	c.Cleanup(stop)
	return func() int64 {
		stop()
		return peak.Load()
	}
}

// Guards against a faulty target whose answers without end, in the header or in the body, take all memory of the host when many
// are read at the same time, and against answers of sound targets that fail because of them.
func TestAnswersWithoutEndAreBoundedTogether(t *testing.T) {
	const limit, requests = 32 << 20, 100
	head := "HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\n"
	block := strings.Repeat("x", 32<<10)
	for _, tt := range []struct {
		name  string
		start string
		next  func(int) string
	}{
		{
			name:  "header",
			start: head,
			next:  shortLines,
		},
		{
			name:  "body without a length",
			start: head + "\r\n",
			next:  func(int) string { return block },
		},
		{
			name:  "long body",
			start: head + fmt.Sprintf("Content-Length: %d\r\n\r\n", MaxBody),
			next: func(n int) string {
				time.Sleep(20 * time.Millisecond)
				return block
			},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			memory := reserver.Reserver{
				Limit: limit,
			}
			s := New(nil, WithMemory(&memory))
			c.Cleanup(s.Close)
			faulty := endless(c, tt.start, tt.next)
			sound := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) {
				_, _ = w.Write(make([]byte, 1<<20))
			})
			sound.Start()
			// The connection is opened before the processor is busy with what the faulty target sends.
			_, f := readAll(s, sound.request("x"))
			c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
			heap := watchHeap(c)
			var wg sync.WaitGroup
			var held, refused atomic.Int64
			for range requests {
				wg.Go(func() {
					r := rawRequest(faulty)
					r.Connections = requests
					r.Deadline = time.Now().Add(2 * time.Second)
					_, f := readAll(s, r)
					// A busy machine does not open each connection within dialTimeout. Nothing was sent then.
					for f != nil && f.Reason == ReasonUnreachable && time.Now().Before(r.Deadline) {
						_, f = readAll(s, r)
					}
					if c.Check(f != nil && f.MayHaveRun, qt.IsTrue, qt.Commentf("%v", f)) && f.Reason == ReasonMemory {
						refused.Add(1)
					}
					held.Store(max(held.Load(), memory.Held()))
				})
			}
			time.Sleep(50 * time.Millisecond)
			for range 20 {
				body, f := readAll(s, sound.request("x"))
				c.Check(f == nil && len(body) == 1<<20, qt.IsTrue, qt.Commentf("%v", f))
			}
			wg.Wait()
			c.Assert(refused.Load() > 0, qt.IsTrue)
			c.Assert(held.Load() <= limit, qt.IsTrue)
			c.Assert(memory.Held(), qt.Equals, int64(0))
			grown := heap()
			c.Logf("heap grew by %d MB", grown>>20)
			c.Assert(grown < 4*limit, qt.IsTrue, qt.Commentf("heap grew by %d MB", grown>>20))
		})
	}
}

// readAll sends a request and reads the answer as an entry host does.
func readAll(s *Sender, r *Request) ([]byte, *Fault) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	resp, f := s.Send(ctx, r)
	if f != nil {
		return nil, f
	}
	defer func() { _ = resp.Close() }()
	return resp.ReadAll()
}

// Guards against reservations that are lost, or given back while the answer is still in use.
func TestReservationLastsUntilRelease(t *testing.T) {
	c := qt.New(t)
	memory := reserver.Reserver{
		Limit: 1 << 20,
	}
	s := New(nil, WithMemory(&memory))
	c.Cleanup(s.Close)
	w := newTestServer(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("X-Long", strings.Repeat("x", 2*freeHeader))
		_, _ = w.Write(bytes.Repeat([]byte("x"), 200<<10))
	})
	w.Start()
	r := w.request("x")
	resp, f := s.Send(context.Background(), r)
	c.Assert(f == nil, qt.IsTrue)
	body, f := resp.ReadAll()
	c.Assert(f == nil && len(body) == 200<<10, qt.IsTrue)
	resp.Keep()
	c.Assert(resp.Close(), qt.IsNil)
	c.Assert(memory.Held() > 200<<10, qt.IsTrue)
	resp.Release()
	c.Assert(memory.Held(), qt.Equals, int64(0))
	_, f = readAll(s, r)
	c.Assert(f == nil, qt.IsTrue)
	c.Assert(memory.Held(), qt.Equals, int64(0))
}

// Guards against bytes that a target sends after its answer, which stay in the buffers of the operating system while the
// connection is idle.
func TestIdleConnectionWithBytesIsClosed(t *testing.T) {
	c := qt.New(t)
	s := New(nil)
	c.Cleanup(s.Close)
	closed := make(chan struct{})
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		defer close(closed)
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		_, _ = conn.Read(make([]byte, 4096))
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\nContent-Length: 2\r\n\r\nok")
		time.Sleep(50 * time.Millisecond)
		for err == nil {
			_, err = conn.Write(make([]byte, 64<<10))
		}
	}()
	r := rawRequest(netip.MustParseAddrPort(ln.Addr().String()))
	body, f := readAll(s, r)
	c.Assert(f == nil && string(body) == "ok", qt.IsTrue, qt.Commentf("%v", f))
	time.Sleep(200 * time.Millisecond)
	s.Trim(time.Now())
	select {
	case <-closed:
	case <-time.After(5 * time.Second):
		c.Fatal("connection stays open")
	}
}

// Guards against small answers without a bound on their sum, while their callers take them slowly, and against small answers that
// fail because long ones have used up their memory.
func TestSmallAnswersAreBoundedApart(t *testing.T) {
	c := qt.New(t)
	memory := reserver.Reserver{
		Limit: 10 << 10,
	}
	s := New(nil, WithMemory(&memory))
	c.Cleanup(s.Close)
	w := newTestServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 4<<10)) })
	w.Start()
	c.Assert(memory.Reserve(10<<10), qt.IsTrue)
	var held []*Response
	for range 2 {
		resp, f := s.Send(context.Background(), w.request("x"))
		c.Assert(f == nil, qt.IsTrue)
		_, f = resp.ReadAll()
		c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
		resp.Keep()
		c.Assert(resp.Close(), qt.IsNil)
		held = append(held, resp)
	}
	_, f := readAll(s, w.request("x"))
	c.Assert(f.Reason, qt.Equals, ReasonMemory)
	held[0].Release()
	_, f = readAll(s, w.request("x"))
	c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
	held[1].Release()
	c.Assert(s.small.Held(), qt.Equals, int64(0))
}
