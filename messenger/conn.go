package messenger

import (
	"net"
	"sync/atomic"
	"time"
)

// watchedConn sets a deadline of idleTimeout for each read and write, and records the time of the last successful read.
type watchedConn struct {
	net.Conn

	// written is called after each write; it may be nil.
	written func(n int)
	// lastReadAt is the time of the last read that returned data, or else of the start, in nanoseconds since 1970.
	lastReadAt atomic.Int64
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{
		Conn: conn,
	}
	c.lastReadAt.Store(time.Now().UnixNano())
	return c
}

func (c *watchedConn) lastRead() time.Time {
	return time.Unix(0, c.lastReadAt.Load())
}

func (c *watchedConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.lastReadAt.Store(time.Now().UnixNano())
		counters.Add("bytesRead", int64(n))
	}
	return n, err
}

func (c *watchedConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Write(b)
	counters.Add("bytesWritten", int64(n))
	if c.written != nil {
		c.written(n)
	}
	return n, err
}
