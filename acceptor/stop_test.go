package acceptor

import (
	"bufio"
	"context"
	"io"
	"net"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// busyListener is the listener of a busy host: it accepts nothing until gate is closed, and each read of its
// connections is delayed.
type busyListener struct {
	*net.TCPListener
	gate  <-chan struct{}
	delay time.Duration
}

func (l *busyListener) Accept() (net.Conn, error) {
	<-l.gate
	c, err := l.TCPListener.Accept()
	if err != nil {
		return nil, err
	}
	return &delayedConn{
		Conn:  c,
		delay: l.delay,
	}, nil
}

// delayedConn delays each read.
type delayedConn struct {
	net.Conn
	delay time.Duration
}

func (c *delayedConn) Read(b []byte) (int, error) {
	time.Sleep(c.delay)
	return c.Conn.Read(b)
}

// Guards against a planned stop under load that drops what callers sent just before it: connections that wait in the
// listener's queue, and requests that have arrived on a connection but were not read yet.
func TestStopAnswersWhatWasSentBefore(t *testing.T) {
	for _, tt := range []struct {
		name string
		// acceptsLate is true if the host accepts the connections only after the stop has begun.
		acceptsLate bool
		delay       time.Duration
	}{
		{
			name:        "not accepted",
			acceptsLate: true,
		},
		{
			name:  "not read",
			delay: 50 * time.Millisecond,
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			gate := make(chan struct{})
			a := Acceptor{
				Handler: handlerFunc(echo),
			}
			a.Start(&busyListener{
				TCPListener: ln.(*net.TCPListener),
				gate:        gate,
				delay:       tt.delay,
			})
			const callers = 20
			var conns []net.Conn
			for range callers {
				conn, err := net.Dial("tcp", ln.Addr().String())
				c.Assert(err, qt.IsNil)
				c.Cleanup(func() { _ = conn.Close() })
				c.Assert(conn.SetDeadline(time.Now().Add(10*time.Second)), qt.IsNil)
				conns = append(conns, conn)
			}
			if !tt.acceptsLate {
				close(gate)
				for {
					a.mu.Lock()
					n := len(a.conns)
					a.mu.Unlock()
					if n == callers {
						break
					}
					time.Sleep(time.Millisecond)
				}
			}
			for _, conn := range conns {
				_, err := io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
				c.Assert(err, qt.IsNil)
			}
			finished := make(chan error, 1)
			go func() {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				finished <- a.Finish(ctx)
			}()
			if tt.acceptsLate {
				time.Sleep(10 * time.Millisecond)
				close(gate)
			}
			for _, conn := range conns {
				resp, body := readAnswer(c, bufio.NewReader(conn))
				c.Assert(body, qt.Equals, "/1 ")
				c.Assert(resp.Close, qt.IsTrue)
			}
			c.Assert(<-finished, qt.IsNil)
		})
	}
}

// Guards against a stopping host that keeps idle connections until it ends, on which callers send requests that it has no time
// for, and against closing them all at once, so that their callers connect again at the same moment.
func TestIdleConnectionsAreClosedOneAfterTheOther(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	release := make(chan struct{})
	a := Acceptor{
		Handler: handlerFunc(func(ctx context.Context, r *Request) *Answer {
			if r.Path == "/slow" {
				<-release
			}
			return echo(ctx, r)
		}),
	}
	a.Start(ln)
	const callers, spread = 40, 800 * time.Millisecond
	closedAfter := make(chan time.Duration, callers)
	var began time.Time
	ready := make(chan struct{})
	for range callers {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		c.Cleanup(func() { _ = conn.Close() })
		br := bufio.NewReader(conn)
		_, err = io.WriteString(conn, "GET /1 HTTP/1.1\r\nHost: x\r\n\r\n")
		c.Assert(err, qt.IsNil)
		_, _ = readAnswer(c, br)
		go func() {
			<-ready
			_, _ = br.ReadByte()
			closedAfter <- time.Since(began)
		}()
	}
	busy, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = busy.Close() })
	_, err = io.WriteString(busy, "GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
	c.Assert(err, qt.IsNil)
	began = time.Now()
	close(ready)
	a.Drain()
	a.CloseIdle(context.Background(), spread)
	var all []time.Duration
	for range callers {
		all = append(all, <-closedAfter)
	}
	slices.Sort(all)
	c.Assert(all[callers/4] < spread*3/4, qt.IsTrue, qt.Commentf("%v", all))
	c.Assert(all[callers*3/4]-all[callers/4] > spread/4, qt.IsTrue, qt.Commentf("%v", all))
	close(release)
	resp, body := readAnswer(c, bufio.NewReader(busy))
	c.Assert(body, qt.Equals, "/slow ")
	c.Assert(resp.Close, qt.IsTrue)
	c.Assert(a.Finish(context.Background()), qt.IsNil)
}
