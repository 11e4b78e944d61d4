package messenger

import (
	"net"
	"sync/atomic"
	"time"
)

// watchedConn moves its deadline on with each read and write, and remembers when it last read anything.
type watchedConn struct {
	net.Conn

	readAt atomic.Int64
}

func newWatchedConn(conn net.Conn) *watchedConn {
	c := &watchedConn{
		Conn: conn,
	}
	c.readAt.Store(time.Now().UnixNano())
	return c
}

func (c *watchedConn) lastRead() time.Time {
	return time.Unix(0, c.readAt.Load())
}

func (c *watchedConn) Read(b []byte) (int, error) {
	_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.readAt.Store(time.Now().UnixNano())
		counters.Add("bytesRead", int64(n))
	}
	return n, err
}

func (c *watchedConn) Write(b []byte) (int, error) {
	_ = c.SetWriteDeadline(time.Now().Add(idleTimeout))
	n, err := c.Conn.Write(b)
	counters.Add("bytesWritten", int64(n))
	return n, err
}
