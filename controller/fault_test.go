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

// newSingleVoter returns the only voter of a control group.
func newSingleVoter(c *qt.C, options ...controller.Option) (*controller.Controller, error) {
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

// Guards against a controller that leads or acknowledges commands after a sync of its disk failed, and against the loss
// of acknowledged commands in a crash after that.
func TestFailedSyncStopsTheController(t *testing.T) {
	c := qt.New(t)
	for _, operations := range []int{1, 3, 30, 31, 32} {
		fs := diskfaulter.New()
		fs.FailSyncAfter(operations)
		a, err := newSingleVoter(c, controller.WithFileSystem(fs), controller.WithSnapshotEvery(5))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Start(), qt.IsNil)
		acknowledged := 0
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		for {
			_, err := a.Propose(ctx, takeOutCommand("", fmt.Sprint("dc", acknowledged)))
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
		a, err = newSingleVoter(c, controller.WithFileSystem(fs))
		c.Assert(err, qt.IsNil)
		c.Assert(a.Start(), qt.IsNil)
		for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
			if _, ok := a.Leading(timekeeper.Now()); ok {
				break
			}
		}
		c.Assert(len(a.State().DataCentres) >= acknowledged, qt.IsTrue)
		c.Assert(a.Close(), qt.IsNil)
	}
}

// Guards against two processes that use the same data folder and corrupt the log.
func TestDataFolderIsUsedOnce(t *testing.T) {
	c := qt.New(t)
	folder := c.TempDir()
	first, err := newSingleVoter(c, controller.WithDataFolder(folder))
	c.Assert(err, qt.IsNil)
	_, err = newSingleVoter(c, controller.WithDataFolder(folder))
	c.Assert(errors.Is(err, journaler.ErrInUse), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(first.Close(), qt.IsNil)
	second, err := newSingleVoter(c, controller.WithDataFolder(folder))
	c.Assert(err, qt.IsNil)
	c.Assert(second.Close(), qt.IsNil)
}

// Guards against a controller that stops, or that loses what it acknowledged, because its disk becomes full at any
// moment: at a write, a sync, a new segment, a snapshot. Meanwhile it must not lead or acknowledge anything; when there
// is room it must resume by itself, and after a power failure just then everything acknowledged must still be there.
func TestFullDiskSuspendsTheController(t *testing.T) {
	for operations := range 40 {
		t.Run(fmt.Sprint(operations), func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			fs := &lockedFileSystem{
				faulter: diskfaulter.New(),
			}
			a, err := newSingleVoter(c, controller.WithFileSystem(fs), controller.WithSnapshotEvery(5))
			c.Assert(err, qt.IsNil)
			c.Assert(a.Start(), qt.IsNil)
			acknowledged := 0
			propose := func() error {
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				_, err := a.Propose(ctx, takeOutCommand("", fmt.Sprint("dc", acknowledged)))
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
			fs.freeSpace()
			c.Assert(eventually(func() bool { return propose() == nil }), qt.IsTrue)
			c.Assert(acknowledged, qt.Equals, before+1)
			c.Assert(a.Close(), qt.IsNil)

			fs.faulter.Restart(rand.New(rand.NewPCG(1, uint64(operations))))
			a, err = newSingleVoter(c, controller.WithFileSystem(fs))
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
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return true
		}
	}
	return false
}

// lockedFileSystem lets a test fill a simulated disk and free its space while a controller uses it.
type lockedFileSystem struct {
	mu      sync.Mutex
	faulter *diskfaulter.Faulter
}

type lockedFile struct {
	fs   *lockedFileSystem
	file journaler.File
}

func (l *lockedFileSystem) fillAfter(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faulter.FillAfter(n)
}

func (l *lockedFileSystem) freeSpace() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faulter.Empty()
}

func (l *lockedFileSystem) Create(name string) (journaler.File, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	f, err := l.faulter.Create(name)
	if err != nil {
		return nil, err
	}
	return &lockedFile{
		fs:   l,
		file: f,
	}, nil
}

func (l *lockedFileSystem) ReadFile(name string) ([]byte, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.ReadFile(name)
}

func (l *lockedFileSystem) Rename(oldName, newName string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.Rename(oldName, newName)
}

func (l *lockedFileSystem) Remove(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.Remove(name)
}

func (l *lockedFileSystem) List() ([]string, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.List()
}

func (l *lockedFileSystem) SyncFile(name string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.SyncFile(name)
}

func (l *lockedFileSystem) SyncFolder() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faulter.SyncFolder()
}

func (f *lockedFile) Write(b []byte) (int, error) {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.file.Write(b)
}

func (f *lockedFile) Sync() error {
	f.fs.mu.Lock()
	defer f.fs.mu.Unlock()
	return f.file.Sync()
}

func (f *lockedFile) Close() error {
	return f.file.Close()
}
