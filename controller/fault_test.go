package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/faulter"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

func alone(c *qt.C, options ...controller.Option) (*controller.Controller, error) {
	m := &messenger.Messenger{}
	c.Cleanup(func() { _ = m.Close() })
	timing := configurer.DefaultTiming()
	timing.ElectionTimeout = 50 * time.Millisecond
	return controller.New(append([]controller.Option{
		controller.WithTiming(timing),
		controller.WithName("a"),
		controller.WithMessenger(m),
		controller.WithVoters(map[string]netip.AddrPort{"a": netip.MustParseAddrPort("127.0.0.1:1")}),
	}, options...)...)
}

// A controller whose disk fails must stop leading and answer nothing more; what it acknowledged must be there after a
// crash.
func TestFailedSyncStopsTheController(t *testing.T) {
	c := qt.New(t)
	for _, operations := range []int{1, 3, 30, 31, 32} {
		fs := faulter.New()
		fs.FailSyncAfter(operations)
		a, err := alone(c, controller.WithFileSystem(fs), controller.WithSnapshotEvery(5))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Start(), qt.IsNil)
		acknowledged := 0
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		for {
			_, err := a.Propose(ctx, takeOut("", fmt.Sprint("dc", acknowledged)))
			if err == nil {
				acknowledged++
			} else if !errors.Is(err, controller.ErrNotLeader) {
				break
			}
		}
		<-a.Done()
		c.Assert(errors.Is(a.Err(), journaler.ErrFailed), qt.IsTrue, qt.Commentf("%v", a.Err()))
		_, ok := a.Leading(timekeeper.Now())
		c.Assert(ok, qt.IsFalse)
		c.Assert(errors.Is(a.Close(), journaler.ErrFailed), qt.IsTrue)

		fs.Restart(rand.New(rand.NewPCG(1, uint64(operations))))
		a, err = alone(c, controller.WithFileSystem(fs))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Start(), qt.IsNil)
		for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, ok := a.Leading(timekeeper.Now()); ok {
				break
			}
		}
		c.Assert(len(a.State().DataCentres) >= acknowledged, qt.IsTrue)
		c.Assert(a.Close(), qt.IsNil)
	}
}

// Two processes that write one log would destroy it.
func TestDataFolderIsUsedOnce(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	first, err := alone(c, controller.WithDataFolder(folder))
	c.Assert(err, qt.IsNil)
	_, err = alone(c, controller.WithDataFolder(folder))
	c.Assert(errors.Is(err, journaler.ErrInUse), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(first.Close(), qt.IsNil)
	second, err := alone(c, controller.WithDataFolder(folder))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
}
