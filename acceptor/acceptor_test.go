package acceptor

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/matcher"
)

type handlerFunc func(ctx context.Context, r *Request) *Answer

func (f handlerFunc) Handle(ctx context.Context, r *Request) *Answer {
	return f(ctx, r)
}

func echo(_ context.Context, r *Request) *Answer {
	return &Answer{
		Status: http.StatusOK,
		Body:   []byte(r.Path + " " + string(bytes.Join(r.Body, nil))),
	}
}

// serve starts an Acceptor and returns it with a client connection to it.
func serve(c *qt.C, h handlerFunc, limits matcher.Limits) (*Acceptor, net.Conn) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	a := Acceptor{
		Handler: h,
		Limits:  func() matcher.Limits { return limits },
	}
	a.Start(ln)
	c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		_ = a.Finish(ctx)
	})
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = conn.Close() })
	c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
	return &a, conn
}

func readAnswer(c *qt.C, br *bufio.Reader) (*http.Response, string) {
	resp, err := http.ReadResponse(br, nil)
	c.Assert(err, qt.IsNil)
	body, err := io.ReadAll(resp.Body)
	c.Assert(err, qt.IsNil)
	return resp, string(body)
}

// Guards against answers to pipelined requests in the wrong order, and against a reader that waits for one answer
// before it reads the next request.
func TestPipelinedRequestsRunTogetherAndAreAnsweredInOrder(t *testing.T) {
	c := qt.New(t)
	second := make(chan struct{})
	_, conn := serve(c, func(ctx context.Context, r *Request) *Answer {
		if r.Path == "/1" {
			<-second
		} else {
			close(second)
		}
		return echo(ctx, r)
	}, matcher.Limits{})
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\nPOST /2 HTTP/1.1\r\nHost: x\r\nContent-Length: 3\r\n\r\nabc")
	c.Assert(err, qt.IsNil)
	br := bufio.NewReader(conn)
	_, body := readAnswer(c, br)
	c.Assert(body, qt.Equals, "/1 ")
	_, body = readAnswer(c, br)
	c.Assert(body, qt.Equals, "/2 abc")
}

// Guards against requests that go on running after their caller has disconnected.
func TestCallerThatLeavesCancelsItsRequest(t *testing.T) {
	c := qt.New(t)
	cancelled := make(chan struct{})
	started := make(chan struct{})
	_, conn := serve(c, func(ctx context.Context, _ *Request) *Answer {
		close(started)
		<-ctx.Done()
		close(cancelled)
		return &Answer{
			Abort: true,
		}
	}, matcher.Limits{})
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-started
	c.Assert(conn.Close(), qt.IsNil)
	select {
	case <-cancelled:
	case <-time.After(5 * time.Second):
		c.Fatal("request was not cancelled")
	}
}

// Guards against a graceful shutdown that reads a request and never answers it: an idle connection is closed at once, a
// request in progress is answered, and its connection is closed after that.
func TestFinishClosesIdleConnectionsAtOnceAndAnswersTheOthers(t *testing.T) {
	c := qt.New(t)
	release := make(chan struct{})
	started := make(chan struct{}, 1)
	a, busy := serve(c, func(ctx context.Context, r *Request) *Answer {
		started <- struct{}{}
		<-release
		return echo(ctx, r)
	}, matcher.Limits{})
	idle, err := net.Dial("tcp", a.ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = idle.Close() }()
	_, err = io.WriteString(busy, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	<-started
	for {
		a.mu.Lock()
		n := len(a.conns)
		a.mu.Unlock()
		if n == 2 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	finished := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		finished <- a.Finish(ctx)
	}()
	// The idle connection is closed while the other request still runs.
	c.Assert(idle.SetReadDeadline(time.Now().Add(5*time.Second)), qt.IsNil)
	_, err = idle.Read(make([]byte, 1))
	c.Assert(err, qt.Equals, io.EOF)
	close(release)
	resp, body := readAnswer(c, bufio.NewReader(busy))
	c.Assert(body, qt.Equals, "/1 ")
	c.Assert(resp.Close, qt.IsTrue)
	c.Assert(<-finished, qt.IsNil)
}

// Guards against a drain that closes a connection before the last request on it is answered, or not after that.
func TestDrainEndsConnectionWithItsLastAnswer(t *testing.T) {
	c := qt.New(t)
	a, conn := serve(c, echo, matcher.Limits{})
	br := bufio.NewReader(conn)
	_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, _ := readAnswer(c, br)
	c.Assert(resp.Close, qt.IsFalse)
	a.Drain()
	_, err = io.WriteString(conn, "GET /2 HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	resp, body := readAnswer(c, br)
	c.Assert(body, qt.Equals, "/2 ")
	c.Assert(resp.Close, qt.IsTrue)
	_, err = br.ReadByte()
	c.Assert(err, qt.Equals, io.EOF)
}

// Guards against input that a caller could use to exhaust memory or for request smuggling.
func TestBadInputIsRefused(t *testing.T) {
	limits := matcher.Limits{
		HeaderBytes: 1 << 10,
		BodyBytes:   8,
	}
	for name, test := range map[string]struct {
		text string
		want int
	}{
		"long header": {"GET / HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 16<<10) + "\r\n\r\n", 431},
		"long body":   {"POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 9\r\n\r\n123456789", 413},
		"long chunks": {"POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n", 413},
		"no request":  {"hello\r\n\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			_, conn := serve(c, echo, limits)
			_, err := io.WriteString(conn, test.text)
			c.Assert(err, qt.IsNil)
			resp, _ := readAnswer(c, bufio.NewReader(conn))
			c.Assert(resp.StatusCode, qt.Equals, test.want)
		})
	}
}

// ExampleAcceptor serves one connection.
func ExampleAcceptor() {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fmt.Println(err)
		return
	}
	a := Acceptor{
		Handler: handlerFunc(echo),
	}
	a.Start(ln)
	resp, err := http.Get("http://" + ln.Addr().String() + "/hello")
	if err != nil {
		fmt.Println(err)
		return
	}
	fmt.Println(resp.Status)
	_ = resp.Body.Close()
	http.DefaultClient.CloseIdleConnections()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	fmt.Println(a.Finish(ctx))
	// Output:
	// 200 OK
	// <nil>
}
