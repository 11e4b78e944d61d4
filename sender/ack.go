package sender

import (
	"context"
	"os"
	"time"
)

// minAckWait and maxAckWait bound the time between two checks of the send queue.
const (
	minAckWait = time.Millisecond
	maxAckWait = 20 * time.Millisecond
)

// awaitAck waits until the peer has acknowledged the whole request, after it has ended its stream. It returns an error if the
// peer resets the connection instead, or does neither in time. Once the stream has ended, reads do not report a reset any more.
func (a *attempt) awaitAck() error {
	for wait := minAckWait; ; wait = min(2*wait, maxAckWait) {
		unacked, err := a.conn.unacknowledged()
		if err != nil || unacked == 0 {
			return err
		}
		left := time.Until(a.req.Deadline)
		if left <= 0 {
			return os.ErrDeadlineExceeded
		}
		if err := sleep(a.ctx, min(wait, left)); err != nil {
			return err
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
