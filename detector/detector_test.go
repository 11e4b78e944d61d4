package detector

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// network is a set of targets that accept, refuse or leave unanswered.
type network struct {
	mu      sync.Mutex
	refused map[netip.AddrPort]bool
	silent  bool
	// accepting is a target that accepts although the others are silent.
	accepting netip.AddrPort
	dials     atomic.Int32
}

func targets(n int) []netip.AddrPort {
	var addrs []netip.AddrPort
	for i := range n {
		addrs = append(addrs, netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 80))
	}
	return addrs
}

func (n *network) set(silent bool, refused ...netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.silent, n.refused = silent, make(map[netip.AddrPort]bool)
	for _, a := range refused {
		n.refused[a] = true
	}
}

func (n *network) dial(ctx context.Context, _, addr string) (net.Conn, error) {
	n.dials.Add(1)
	n.mu.Lock()
	silent, refused := n.silent, n.refused[netip.MustParseAddrPort(addr)]
	n.mu.Unlock()
	if silent && netip.MustParseAddrPort(addr) != n.accepting {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	if refused {
		return nil, syscall.ECONNREFUSED
	}
	near, far := net.Pipe()
	_ = far.Close()
	return near, nil
}

func newDetector(t *testing.T, n *network, changes chan bool) *Detector {
	d := New(Options{
		Sample:   func(k int) []netip.AddrPort { return targets(4) },
		Dial:     n.dial,
		OnChange: func(lost bool) { changes <- lost },
	})
	t.Cleanup(d.Close)
	return d
}

// Guards against a host that takes the loss of some targets for that of its links, and against one that does not notice
// that all of them refuse, or that they accept again.
func TestLinksAreLostOnlyIfNoTargetAccepts(t *testing.T) {
	c := qt.New(t)
	defer goleak.VerifyNone(t, goleak.IgnoreCurrent())
	var n network
	changes := make(chan bool, 10)
	d := newDetector(t, &n, changes)
	defer d.Close()
	n.set(false, targets(3)...)
	c.Assert(d.Check(context.Background()), qt.IsFalse)
	n.set(false, targets(4)...)
	c.Assert(d.Check(context.Background()), qt.IsFalse, qt.Commentf("the last probe still holds"))
	time.Sleep(soundTime)
	c.Assert(d.Check(context.Background()), qt.IsTrue)
	c.Assert(<-changes, qt.IsTrue)
	n.set(false)
	c.Assert(<-changes, qt.IsFalse)
	c.Assert(d.Lost(), qt.IsFalse)
}

// Guards against a host that waits for the deadline of each request while its links hang.
func TestSilenceOfAllTargetsStartsAProbe(t *testing.T) {
	c := qt.New(t)
	var n network
	changes := make(chan bool, 10)
	d := newDetector(t, &n, changes)
	n.set(true)
	now := time.Now()
	d.Begin(now)
	d.Begin(now.Add(silenceLimit / 2))
	c.Assert(n.dials.Load(), qt.Equals, int32(0))
	d.Begin(now.Add(silenceLimit + time.Millisecond))
	c.Assert(<-changes, qt.IsTrue)
}

// Guards against requests that wait for a probe of targets that hang although another one has accepted.
func TestProbeEndsWithTheFirstTargetThatAccepts(t *testing.T) {
	c := qt.New(t)
	n := network{
		accepting: targets(4)[2],
	}
	n.set(true)
	d := newDetector(t, &n, make(chan bool, 10))
	began := time.Now()
	c.Assert(d.Check(context.Background()), qt.IsFalse)
	c.Assert(time.Since(began) < probeTimeout/2, qt.IsTrue)
}

// Guards against a host whose links are overloaded, so that connections are not opened in time: it must not pass its requests
// to others, which would be overloaded next. Where all targets refuse, answers on kept connections show nothing.
func TestOverloadedLinksAreNotLost(t *testing.T) {
	c := qt.New(t)
	var n network
	d := newDetector(t, &n, make(chan bool, 10))
	check := func() bool {
		d.Begin(time.Now())
		time.AfterFunc(probeTimeout/3, func() { d.End(time.Now(), true) })
		return d.Check(context.Background())
	}
	n.set(true)
	c.Assert(check(), qt.IsFalse)
	time.Sleep(soundTime)
	n.set(false, targets(4)...)
	c.Assert(check(), qt.IsTrue)
}

// Guards against probes by hosts whose targets answer.
func TestSoundLinksAreNotProbed(t *testing.T) {
	var n network
	d := newDetector(t, &n, make(chan bool, 10))
	now := time.Now()
	for range 10_000 {
		now = now.Add(10 * time.Millisecond)
		d.Begin(now)
		d.Begin(now)
		d.End(now.Add(5*time.Millisecond), true)
		d.End(now.Add(5*time.Millisecond), false)
	}
	qt.Assert(t, n.dials.Load(), qt.Equals, int32(0))
}

// BenchmarkAttempt measures what an attempt costs a host whose links are sound.
func BenchmarkAttempt(b *testing.B) {
	d := New(Options{})
	now := time.Now()
	b.ReportAllocs()
	for b.Loop() {
		if d.Lost() {
			b.Fatal("lost")
		}
		d.Begin(now)
		d.End(now, true)
	}
}
