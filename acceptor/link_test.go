package acceptor

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/shaper"
)

// serveLink starts an Acceptor with a link of mbit, and returns it with a function that connects to it.
func serveLink(c *qt.C, mbit float64, allowance shaper.Allowance) (*Acceptor, func() (net.Conn, *bufio.Reader)) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := Acceptor{
		Handler: handlerFunc(func(_ context.Context, r *Request) *Answer {
			n := 0
			for _, part := range r.Body {
				n += len(part)
			}
			return &Answer{
				Status: http.StatusOK,
				Body:   fmt.Append(nil, n),
			}
		}),
		Link:      shaper.New(mbit, nil),
		Allowance: func(string, string, http.Header) shaper.Allowance { return allowance },
	}
	a.Link.SetActive(true)
	a.Start(ln)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.Finish(ctx)
	})
	return &a, func() (net.Conn, *bufio.Reader) {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		_ = conn.SetDeadline(time.Now().Add(10 * time.Second))
		return conn, bufio.NewReader(conn)
	}
}

func post(c *qt.C, conn net.Conn, size int) {
	_, err := fmt.Fprintf(conn, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n", size)
	c.Assert(err, qt.IsNil)
}

// Guards against callers that hold all turns without sending, or send slowly, and block the uploads and the short requests of
// others; the slow ones must still be served.
func TestSilentCallersDoNotBlockOthers(t *testing.T) {
	c := qt.New(t)
	_, dial := serveLink(c, 2.2, shaper.Allowance{})
	silent, _ := dial()
	post(c, silent, 50_000)
	slow, slowAnswers := dial()
	post(c, slow, 20_000)
	time.Sleep(50 * time.Millisecond)
	began := time.Now()
	short, answers := dial()
	_, err := io.WriteString(short, "POST /1 HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nshort")
	c.Assert(err, qt.IsNil)
	_, body := readAnswer(c, answers)
	c.Assert(body, qt.Equals, "5")
	c.Assert(time.Since(began) < 200*time.Millisecond, qt.IsTrue)
	fast, answers := dial()
	post(c, fast, 360_000)
	_, err = io.WriteString(fast, strings.Repeat("x", 360_000))
	c.Assert(err, qt.IsNil)
	_, body = readAnswer(c, answers)
	c.Assert(body, qt.Equals, "360000")
	took := time.Since(began)
	c.Assert(took > 200*time.Millisecond && took < 2*time.Second, qt.IsTrue, qt.Commentf("%s", took))
	for range 20 {
		_, err = io.WriteString(slow, strings.Repeat("x", 1000))
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
	}
	_, body = readAnswer(c, slowAnswers)
	c.Assert(body, qt.Equals, "20000")
}

// Guards against small receive buffers that stall callers, and against bodies that are mixed up or incomplete.
func TestManyUploadsAreReceived(t *testing.T) {
	c := qt.New(t)
	_, dial := serveLink(c, 20, shaper.Allowance{})
	var wg sync.WaitGroup
	began := time.Now()
	for i := range 10 {
		conn, answers := dial()
		wg.Go(func() {
			size := 100_000 + i
			post(c, conn, size)
			_, err := io.WriteString(conn, strings.Repeat("x", size))
			c.Check(err, qt.IsNil)
			_, body := readAnswer(c, answers)
			c.Check(body, qt.Equals, fmt.Sprint(size))
		})
	}
	wg.Wait()
	took := time.Since(began)
	c.Assert(took < 3*time.Second, qt.IsTrue, qt.Commentf("%s", took))
	t.Logf("10 uploads of 100 KB took %s", took)
}

// Guards against a body that is read although it cannot be in time, and against a refusal that does not say so.
func TestBodyIsRefusedAtItsHeader(t *testing.T) {
	c := qt.New(t)
	_, dial := serveLink(c, 2.2, shaper.Allowance{
		Objective: time.Second,
		Deadline:  2 * time.Second,
	})
	conn, answers := dial()
	post(c, conn, 1_000_000)
	resp, _ := readAnswer(c, answers)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(resp.Header.Get("Retry-After"), qt.Not(qt.Equals), "")
	c.Assert(resp.Close, qt.IsTrue)
	_, err := answers.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
	// A body that does not arrive before its deadline is refused then.
	conn, answers = dial()
	post(c, conn, 50_000)
	began := time.Now()
	resp, _ = readAnswer(c, answers)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(began) > 1500*time.Millisecond, qt.IsTrue)
}

// Guards against a planned stop that drops a body which waits for its turn, or that leaves its caller without an answer.
func TestStopReadsBodiesThatWait(t *testing.T) {
	c := qt.New(t)
	a, dial := serveLink(c, 2.2, shaper.Allowance{
		Deadline: 2 * time.Second,
	})
	var holders []*bufio.Reader
	for range 2 {
		conn, answers := dial()
		post(c, conn, 50_000)
		holders = append(holders, answers)
	}
	time.Sleep(50 * time.Millisecond)
	conn, answers := dial()
	post(c, conn, 100_000)
	go func() { _, _ = io.WriteString(conn, strings.Repeat("x", 100_000)) }()
	time.Sleep(50 * time.Millisecond)
	ctx, cancel := context.WithTimeout(context.Background(), 4*time.Second)
	defer cancel()
	c.Assert(a.Finish(ctx), qt.IsNil)
	_, body := readAnswer(c, answers)
	c.Assert(body, qt.Equals, "100000")
	for _, h := range holders {
		resp, _ := readAnswer(c, h)
		c.Assert(resp.StatusCode, qt.Equals, http.StatusServiceUnavailable)
	}
}

// Guards against bodies that keep their place until their deadline although their callers have left, and against callers that
// count as having left.
func TestCallerThatLeavesGivesUpItsPlace(t *testing.T) {
	c := qt.New(t)
	a, dial := serveLink(c, 2.2, shaper.Allowance{
		Deadline: 5 * time.Second,
	})
	var wg sync.WaitGroup
	for range 2 {
		conn, answers := dial()
		post(c, conn, 150_000)
		wg.Go(func() {
			for range 15 {
				_, _ = io.WriteString(conn, strings.Repeat("x", 10_000))
				time.Sleep(80 * time.Millisecond)
			}
			_, body := readAnswer(c, answers)
			c.Check(body, qt.Equals, "150000")
		})
	}
	time.Sleep(20 * time.Millisecond)
	for _, linger := range []int{-1, 0} {
		conn, _ := dial()
		post(c, conn, 200_000)
		_, err := io.WriteString(conn, "some of it")
		c.Assert(err, qt.IsNil)
		time.Sleep(20 * time.Millisecond)
		c.Assert(conn.(*net.TCPConn).SetLinger(linger), qt.IsNil)
		_ = conn.Close()
	}
	time.Sleep(600 * time.Millisecond)
	a.mu.Lock()
	n := len(a.conns)
	a.mu.Unlock()
	c.Check(n, qt.Equals, 2)
	wg.Wait()
}
