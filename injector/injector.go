// Package injector puts faults between processes: a TCP proxy on loopback for each link, with delays, cuts, resets and
// the like that change while connections are open.
package injector

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what happens to the bytes that travel in one direction. The zero value lets them pass.
type Fault struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// Cut drops the bytes while connections stay open, as a silent partition does. A connection that lost bytes is
	// reset when it is used after the cut, because TCP never skips bytes.
	Cut bool
	// Hold keeps the bytes back until the fault ends, as retransmission does after a short outage.
	Hold bool
	// Refuse refuses new connections of the direction's sender.
	Refuse bool
	// BytesPerSecond throttles; zero means no limit.
	BytesPerSecond int
	// TruncateAfter ends a connection after so many bytes since the fault began; zero means never.
	TruncateAfter int64
}

func (f Fault) add(g Fault) Fault {
	return Fault{
		Delay:          f.Delay + g.Delay,
		Cut:            f.Cut || g.Cut,
		Hold:           f.Hold || g.Hold,
		Refuse:         f.Refuse || g.Refuse,
		BytesPerSecond: int(least(int64(f.BytesPerSecond), int64(g.BytesPerSecond))),
		TruncateAfter:  least(f.TruncateAfter, g.TruncateAfter),
	}
}

// least returns the lesser of two limits, where zero means none.
func least(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// Injector holds the links and the rules that put faults on them. The zero value is ready to use.
type Injector struct {
	// Connect is the cost of opening a connection in addition to the round trip.
	Connect time.Duration

	mu      sync.Mutex
	links   []*link
	rules   []rule
	names   map[netip.AddrPort]string
	changed chan struct{}
	closed  bool
}

// Open makes a link for connections from one named process to another: it listens on listen, where port zero picks a
// free one, and connects to upstream. It returns the address to connect to.
func (i *Injector) Open(from, to string, listen, upstream netip.AddrPort) (netip.AddrPort, error) {
	l, err := i.open(from, to, listen, upstream)
	if err != nil {
		return netip.AddrPort{}, err
	}
	return l.addr, nil
}

func (i *Injector) open(from, to string, listen, upstream netip.AddrPort) (*link, error) {
	l := &link{
		from:     from,
		to:       to,
		upstream: upstream,
		conns:    make(map[*pair]struct{}),
		waitChange: func() <-chan struct{} {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.change()
		},
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil, errors.Wrapf(net.ErrClosed, "link from %s to %s", from, to)
	}
	i.refresh(l)
	if err := l.listen(listen); err != nil {
		return nil, err
	}
	i.links = append(i.links, l)
	return l, nil
}

// Set puts fault on all bytes from senders to receivers whose names match the patterns of path.Match. An exclamation
// mark before a pattern negates it. A later Set with the same patterns replaces the fault; the zero Fault removes it.
// Faults of several rules add up. It also applies to links that are opened later.
func (i *Injector) Set(from, to string, fault Fault) error {
	r := rule{
		from:  from,
		to:    to,
		fault: fault,
	}
	if err := r.check(); err != nil {
		return err
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	rules := i.rules[:0:0]
	for _, old := range i.rules {
		if old.from != from || old.to != to {
			rules = append(rules, old)
		}
	}
	if fault != (Fault{}) {
		rules = append(rules, r)
	}
	i.rules = rules
	i.apply()
	return nil
}

// Isolate puts fault on all bytes between processes whose names match pattern and all others, in both directions.
func (i *Injector) Isolate(pattern string, fault Fault) error {
	if err := i.Set(pattern, "!"+pattern, fault); err != nil {
		return err
	}
	return i.Set("!"+pattern, pattern, fault)
}

// Heal removes all rules except delays, which stand for the network itself.
func (i *Injector) Heal() {
	i.mu.Lock()
	defer i.mu.Unlock()
	rules := i.rules[:0:0]
	for _, r := range i.rules {
		if r.fault.Delay > 0 {
			r.fault = Fault{
				Delay: r.fault.Delay,
			}
			rules = append(rules, r)
		}
	}
	i.rules = rules
	i.apply()
}

// Reset resets the open connections of the links that match the patterns of Set, and returns their number.
func (i *Injector) Reset(from, to string) (int, error) {
	r := rule{
		from: from,
		to:   to,
	}
	if err := r.check(); err != nil {
		return 0, err
	}
	i.mu.Lock()
	links := i.links
	i.mu.Unlock()
	n := 0
	for _, l := range links {
		if r.matches(l.from, l.to) {
			n += l.reset()
		}
	}
	return n, nil
}

// Close closes all links and resets their connections.
func (i *Injector) Close() error {
	i.mu.Lock()
	links := i.links
	i.links = nil
	i.closed = true
	i.signal()
	i.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	for _, l := range links {
		l.wg.Wait()
	}
	return nil
}

// apply puts the rules on all links. The caller holds i.mu.
func (i *Injector) apply() {
	for _, l := range i.links {
		i.refresh(l)
		l.adjust()
	}
	i.signal()
}

func (i *Injector) refresh(l *link) {
	l.forward.Store(i.fault(l.from, l.to))
	l.back.Store(i.fault(l.to, l.from))
}

// fault returns the sum of the rules for one direction. The caller holds i.mu.
func (i *Injector) fault(from, to string) *Fault {
	var f Fault
	for _, r := range i.rules {
		if r.matches(from, to) {
			f = f.add(r.fault)
		}
	}
	return &f
}

// change returns a channel that is closed at the next change of the rules. The caller holds i.mu.
func (i *Injector) change() <-chan struct{} {
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed
}

func (i *Injector) signal() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}
