package awaiter

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/confirmer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

// longTime is far longer than each wait of these tests.
const longTime = 20 * time.Second

// fakeLog is a Log whose commands were all applied at one time.
type fakeLog struct {
	readers   confirmer.Confirmer
	appliedAt time.Time
}

func (l *fakeLog) Readers() *confirmer.Confirmer { return &l.readers }

func (l *fakeLog) AppliedAt(uint64) time.Time { return l.appliedAt }

// peer is another control host.
type peer struct {
	readers confirmer.Confirmer
}

func (p *peer) Behind(args *controller.BehindArgs, reply *controller.BehindReply) error {
	end := time.Now().Add(args.Wait)
	for {
		reply.Behind = p.readers.Behind(timekeeper.Now(), args.Index)
		reply.Confirmed = p.readers.Confirmed(args.Names, args.Index)
		if len(reply.Behind) == 0 || time.Now().After(end) {
			return nil
		}
		time.Sleep(time.Millisecond)
	}
}

// oldPeer is a control host of a version that knows no readers.
type oldPeer struct{}

func (oldPeer) Pull(*controller.PullArgs, *controller.PullReply) error { return nil }

func serve(c *qt.C, service any) netip.AddrPort {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	l := &messenger.Listener{}
	c.Assert(l.Register("State", service), qt.IsNil)
	l.Start(ln)
	c.Cleanup(func() { _ = l.Close() })
	return ln.Addr().(*net.TCPAddr).AddrPort()
}

type fixture struct {
	log     fakeLog
	other   peer
	awaiter Awaiter
}

func newFixture(c *qt.C, peers ...netip.AddrPort) *fixture {
	var f fixture
	f.log.appliedAt = timekeeper.Now()
	addrs := map[string]netip.AddrPort{
		"other": serve(c, &f.other),
	}
	for _, addr := range peers {
		addrs[addr.String()] = addr
	}
	f.awaiter = Awaiter{
		Log:       &f.log,
		Messenger: &messenger.Messenger{},
		Peers:     func() map[string]netip.AddrPort { return addrs },
	}
	c.Cleanup(func() { _ = f.awaiter.Messenger.Close() })
	return &f
}

// Guards against an acknowledgement before a change is in force at a host that pulls from this control host or from another one.
func TestWaitsForReadersOfAllControlHosts(t *testing.T) {
	for name, readers := range map[string]func(*fixture) *confirmer.Confirmer{
		"own":      func(f *fixture) *confirmer.Confirmer { return &f.log.readers },
		"of other": func(f *fixture) *confirmer.Confirmer { return &f.other.readers },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := qt.New(t)
			f := newFixture(c)
			r := readers(f)
			r.Confirm(timekeeper.Now(), "a", 7)
			r.Confirm(timekeeper.Now(), "b", 6)
			done := make(chan error, 1)
			go func() { done <- f.awaiter.Await(context.Background(), 7, longTime) }()
			select {
			case err := <-done:
				c.Fatalf("acknowledged while b is behind: %v", err)
			case <-time.After(2 * roundTime):
			}
			r.Confirm(timekeeper.Now(), "b", 7)
			c.Assert(<-done, qt.IsNil)
		})
	}
}

// Guards against orders that are not acknowledged in time because of a host that cannot be reached, or a control host that cannot.
func TestWaitIsBounded(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	f := newFixture(c, ln.Addr().(*net.TCPAddr).AddrPort())
	f.log.readers.Confirm(timekeeper.Now(), "a", 6)
	const limit = 600 * time.Millisecond
	began := time.Now()
	c.Assert(f.awaiter.Await(context.Background(), 7, limit), qt.IsNil)
	took := time.Since(began)
	c.Check(took >= limit, qt.IsTrue, qt.Commentf("after %s", took))
	c.Check(took < limit+roundTime+2*roundMargin+time.Second, qt.IsTrue, qt.Commentf("after %s", took))

	f.log.appliedAt = time.Time{}
	began = time.Now()
	c.Assert(f.awaiter.Await(context.Background(), 7, limit), qt.IsNil)
	c.Check(time.Since(began) < limit, qt.IsTrue, qt.Commentf("a change of long ago took %s", time.Since(began)))
}

// Guards against a sender that gets no answer at all before it tries another control host.
func TestWaitEndsWithItsContext(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.log.readers.Confirm(timekeeper.Now(), "a", 6)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	c.Assert(f.awaiter.Await(ctx, 7, longTime), qt.ErrorIs, ErrBehind)
}

// Guards against a wait for a reader that pulls from another control host now.
func TestReaderThatMovedIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c)
	f.log.readers.Confirm(timekeeper.Now(), "a", 6)
	f.other.readers.Confirm(timekeeper.Now(), "a", 7)
	began := time.Now()
	c.Assert(f.awaiter.Await(context.Background(), 7, longTime), qt.IsNil)
	c.Check(time.Since(began) < 3*roundTime, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
}

// Guards against orders that wait in vain while a control host still runs the last landing, which knows no readers.
func TestControlHostOfAnOlderVersionIsNotWaitedFor(t *testing.T) {
	c := qt.New(t)
	f := newFixture(c, serve(c, oldPeer{}))
	f.log.readers.Confirm(timekeeper.Now(), "a", 7)
	began := time.Now()
	c.Assert(f.awaiter.Await(context.Background(), 7, longTime), qt.IsNil)
	c.Check(time.Since(began) < roundTime, qt.IsTrue, qt.Commentf("after %s", time.Since(began)))
}
