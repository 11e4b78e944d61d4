package server

import (
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// quietTime is how long no connection may arrive before a draining listener closes: a connection that the operating
	// system has accepted is reset when its listener closes.
	quietTime = 10 * time.Millisecond
	// maxDrainTime bounds the drain of a listener at which connections go on arriving.
	maxDrainTime = 500 * time.Millisecond
)

// drainListener is a listener that can be drained: it accepts the connections that wait, and closes when there are none. A
// listener without deadlines closes at once.
type drainListener struct {
	net.Listener
	// drainUntil is when the drain ends at the latest, in Unix nanoseconds; zero while there is none.
	drainUntil atomic.Int64
	closeOnce  sync.Once
	closed     chan struct{}
}

func newDrainListener(ln net.Listener) *drainListener {
	return &drainListener{
		Listener: ln,
		closed:   make(chan struct{}),
	}
}

// drain begins the drain, and waits until the listener is closed or nobody accepts any more, which done tells.
func (l *drainListener) drain(done <-chan struct{}) {
	l.drainUntil.Store(time.Now().Add(maxDrainTime).UnixNano())
	if !l.setDeadline(time.Now()) {
		_ = l.Close()
		return
	}
	select {
	case <-l.closed:
	case <-done:
	}
}

// Close closes the listener. Closing it again, as http.Server does after a drain, is no error.
func (l *drainListener) Close() (err error) {
	l.closeOnce.Do(func() {
		err = l.Listener.Close()
		close(l.closed)
	})
	return err
}

func (l *drainListener) setDeadline(t time.Time) bool {
	d, ok := l.Listener.(interface{ SetDeadline(time.Time) error })
	return ok && d.SetDeadline(t) == nil
}

// Accept returns the next connection. In a drain it fails with net.ErrClosed after quietTime without one.
func (l *drainListener) Accept() (net.Conn, error) {
	for {
		until := l.drainUntil.Load()
		if until != 0 {
			l.setDeadline(time.Now().Add(quietTime))
		}
		conn, err := l.Listener.Accept()
		switch {
		case until != 0 && (err != nil || time.Now().UnixNano() > until):
			_ = l.Close()
			if err == nil {
				return conn, nil
			}
			return nil, net.ErrClosed
		case err != nil && l.drainUntil.Load() != 0 && errors.Is(err, os.ErrDeadlineExceeded):
			// The drain began during this call.
			continue
		}
		return conn, err
	}
}
