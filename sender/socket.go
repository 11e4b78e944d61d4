package sender

import (
	"github.com/pkg/errors"
	"golang.org/x/sys/unix"
)

// unacknowledged returns the number of written bytes that the peer has not acknowledged, or the error that is pending on the
// socket.
func (c *conn) unacknowledged() (n int, err error) {
	if c.raw == nil {
		return 0, nil
	}
	pending := 0
	controlErr := c.raw.Control(func(fd uintptr) {
		// A reset empties the queue, so the error is read after it.
		if n, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ); err != nil {
			return
		}
		pending, err = unix.GetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_ERROR)
	})
	switch {
	case controlErr != nil:
		return 0, controlErr
	case err != nil:
		return 0, errors.Wrap(err, "read the state of the socket")
	case pending != 0:
		return 0, unix.Errno(pending)
	}
	return n, nil
}
