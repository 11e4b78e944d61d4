package controller_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/diskfaulter"
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
		fs := diskfaulter.New()
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

// Guards against a controller that ends, or that forgets what it acknowledged, because its disk is full at any moment: at
// a write, a sync, a new segment, a snapshot. It leads and acknowledges nothing meanwhile, goes on by itself when there is
// room, and after a loss of power just then everything acknowledged is there.
func TestFullDiskSuspendsTheController(t *testing.T) {
	for operations := range 40 {
		t.Run(fmt.Sprint(operations), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fs := &guarded{
				fs: diskfaulter.New(),
			}
			a, err := alone(c, controller.WithFileSystem(fs), controller.WithSnapshotEvery(5))
			c.Assert(err, qt.IsNil)
			c.Assert(a.Start(), qt.IsNil)
			acknowledged := 0
			propose := func() error {
				ctx, cancel := context.WithTimeout(context.Background(), patience)
				defer cancel()
				_, err := a.Propose(ctx, takeOut("", fmt.Sprint("dc", acknowledged)))
				if err == nil {
					acknowledged++
				}
				return err
			}
			c.Assert(eventually(func() bool { return propose() == nil }), qt.IsTrue)
			fs.fillAfter(operations)
			for range 200 {
				if propose() != nil {
					break
				}
			}
			before := acknowledged
			c.Assert(propose(), qt.Not(qt.IsNil))
			_, leading := a.Leading(timekeeper.Now())
			c.Assert(leading, qt.IsFalse)
			c.Assert(len(a.State().DataCentres) >= acknowledged, qt.IsTrue)
			fs.empty()
			c.Assert(eventually(func() bool { return propose() == nil }), qt.IsTrue)
			c.Assert(acknowledged, qt.Equals, before+1)
			c.Assert(a.Close(), qt.IsNil)

			fs.fs.Restart(rand.New(rand.NewPCG(1, uint64(operations))))
			a, err = alone(c, controller.WithFileSystem(fs))
			c.Assert(err, qt.IsNil)
			c.Assert(a.Start(), qt.IsNil)
			c.Assert(eventually(func() bool {
				_, ok := a.Leading(timekeeper.Now())
				return ok && len(a.State().DataCentres) >= acknowledged
			}), qt.IsTrue)
			c.Assert(a.Close(), qt.IsNil)
		})
	}
}

func eventually(done func() bool) bool {
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// guarded is a file system that a test fills while a controller uses it.
type guarded struct {
	mu sync.Mutex
	fs *diskfaulter.Faulter
}

type guardedFile struct {
	g *guarded
	f journaler.File
}

func (g *guarded) fillAfter(n int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fs.FillAfter(n)
}

func (g *guarded) empty() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.fs.Empty()
}

func (g *guarded) Create(name string) (journaler.File, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f, err := g.fs.Create(name)
	if err != nil {
		return nil, err
	}
	return &guardedFile{
		g: g,
		f: f,
	}, nil
}

func (g *guarded) ReadFile(name string) ([]byte, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fs.ReadFile(name)
}

func (g *guarded) Rename(oldName, newName string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fs.Rename(oldName, newName)
}

func (g *guarded) Remove(name string) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fs.Remove(name)
}

func (g *guarded) List() ([]string, error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fs.List()
}

func (g *guarded) SyncFolder() error {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.fs.SyncFolder()
}

func (f *guardedFile) Write(b []byte) (int, error) {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.f.Write(b)
}

func (f *guardedFile) Sync() error {
	f.g.mu.Lock()
	defer f.g.mu.Unlock()
	return f.f.Sync()
}

func (f *guardedFile) Close() error {
	return f.f.Close()
}
