package revalidator

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	qt "github.com/frankban/quicktest"
)

var errLeft = errors.New("left")

// Guards against entries that stay in use without a confirmation, and against confirmations that count from their arrival.
func TestEntriesAreFreshForTheirLifetime(t *testing.T) {
	c := qt.New(t)
	start := time.Unix(100, 0)
	v := Revalidator[string]{
		Lifetime: time.Second,
	}
	c.Check(v.Fresh(start.Add(time.Second), start, "a"), qt.IsTrue)
	c.Check(v.Fresh(start.Add(1001*time.Millisecond), start, "a"), qt.IsFalse)
	now := start.Add(2 * time.Second)
	asked := func() error {
		now = now.Add(300 * time.Millisecond)
		return nil
	}
	c.Assert(v.Validate(context.Background(), func() time.Time { return now }, "a", asked), qt.IsNil)
	c.Check(v.Fresh(start.Add(3*time.Second), start, "a"), qt.IsTrue)
	c.Check(v.Fresh(start.Add(3001*time.Millisecond), start, "a"), qt.IsFalse)
	c.Check(v.Fresh(start.Add(3*time.Second), start, "b"), qt.IsFalse)
	v.Confirm(start.Add(time.Second), "a")
	c.Check(v.Fresh(start.Add(3*time.Second), start, "a"), qt.IsTrue, qt.Commentf("an older confirmation replaced a newer one"))
	v.Forget(start.Add(2500 * time.Millisecond))
	c.Check(v.Fresh(start.Add(3*time.Second), start, "a"), qt.IsFalse)
}

// Guards against a check for each of many requests that find the same entry stale, and against a check that fails for all because
// the one who began it has left.
func TestChecksOfOneEntryAreShared(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := qt.New(t)
		v := Revalidator[int]{
			Lifetime:      time.Minute,
			RetryInterval: time.Minute,
		}
		var asked atomic.Int32
		release := make(chan struct{})
		ask := func() error {
			asked.Add(1)
			<-release
			return nil
		}
		left, leave := context.WithCancel(context.Background())
		leave()
		c.Assert(v.Validate(left, time.Now, 7, ask), qt.ErrorIs, context.Canceled)
		var wg sync.WaitGroup
		for range 20 {
			wg.Go(func() { c.Check(v.Validate(context.Background(), time.Now, 7, ask), qt.IsNil) })
		}
		synctest.Wait()
		close(release)
		wg.Wait()
		c.Assert(asked.Load(), qt.Equals, int32(1))
	})
}

// Guards against requests that all ask an origin which has just denied the entry.
func TestFailedCheckStandsForAWhile(t *testing.T) {
	c := qt.New(t)
	now := time.Unix(100, 0)
	clock := func() time.Time { return now }
	v := Revalidator[int]{
		RetryInterval: time.Second,
	}
	asked := 0
	ask := func() error {
		asked++
		return errLeft
	}
	c.Check(v.Validate(context.Background(), clock, 7, ask), qt.ErrorIs, errLeft)
	now = now.Add(time.Second)
	c.Check(v.Validate(context.Background(), clock, 7, ask), qt.ErrorIs, errLeft)
	c.Check(asked, qt.Equals, 1)
	now = now.Add(time.Millisecond)
	c.Check(v.Validate(context.Background(), clock, 7, ask), qt.ErrorIs, errLeft)
	c.Check(asked, qt.Equals, 2)
}
