package server

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// stalledListener is a listener of a process that stands still: it accepts nothing before gate is closed.
type stalledListener struct {
	*net.TCPListener
	gate chan struct{}
}

func (l *stalledListener) Accept() (net.Conn, error) {
	<-l.gate
	return l.TCPListener.Accept()
}

// Guards against a planned stop that resets connections which the operating system has accepted and the host has not, since
// it stood still for a moment: their requests are cut although the host was still in rotation when they were sent.
func TestStopServesConnectionsThatWaitToBeAccepted(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	stalled := &stalledListener{
		TCPListener: ln.(*net.TCPListener),
		gate:        make(chan struct{}),
	}
	l := serveHTTP(stalled, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(http.StatusNoContent)
	}), nil)
	const callers = 20
	statuses := make(chan int, callers)
	for range callers {
		go func() {
			client := http.Client{
				Transport: &http.Transport{},
			}
			resp, err := client.Get("http://" + ln.Addr().String())
			if err != nil {
				statuses <- 0
				return
			}
			_ = resp.Body.Close()
			statuses <- resp.StatusCode
		}()
	}
	time.Sleep(100 * time.Millisecond)
	ctx, cancel := context.WithTimeout(c.Context(), 10*time.Second)
	defer cancel()
	stopped := make(chan error, 1)
	go func() { stopped <- l.stop(ctx) }()
	time.Sleep(100 * time.Millisecond)
	close(stalled.gate)
	for range callers {
		c.Check(<-statuses, qt.Equals, http.StatusNoContent)
	}
	c.Assert(<-stopped, qt.IsNil)
	_, err = net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNotNil)
}
