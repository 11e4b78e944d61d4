// Package injector is a fault-injecting TCP proxy for tests. Each link from one process to another is a proxy on
// loopback that delays, drops, holds back, throttles or truncates bytes, and refuses or resets connections. Faults can
// change while connections are open.
package injector

import (
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"
)

// Fault is what happens to the bytes and connections of one direction. The zero value lets all bytes pass.
type Fault struct {
	// Delay is the one-way latency.
	Delay time.Duration
	// Cut drops the bytes but leaves the connections open, as a network partition does. A connection that lost bytes is
	// reset when it is used after the cut, because TCP never skips bytes.
	Cut bool
	// Hold keeps the bytes back and delivers them when the fault ends, as retransmission does after a short outage.
	Hold bool
	// Refuse refuses new connections that the sender of the direction opens.
	Refuse bool
	// BytesPerSecond limits the throughput; zero means no limit.
	BytesPerSecond int
	// TruncateAfter is the number of bytes since the fault began after which a connection is closed; zero means never.
	TruncateAfter int64
}

// add combines two faults: delays add up, and the stricter limit applies.
func (f Fault) add(g Fault) Fault {
	return Fault{
		Delay:          f.Delay + g.Delay,
		Cut:            f.Cut || g.Cut,
		Hold:           f.Hold || g.Hold,
		Refuse:         f.Refuse || g.Refuse,
		BytesPerSecond: int(minLimit(int64(f.BytesPerSecond), int64(g.BytesPerSecond))),
		TruncateAfter:  minLimit(f.TruncateAfter, g.TruncateAfter),
	}
}

// minLimit returns the lesser of two limits, where zero means no limit.
func minLimit(a, b int64) int64 {
	if a == 0 || b == 0 {
		return a + b
	}
	return min(a, b)
}

// Injector holds the links and the rules that set their faults. The zero value is ready to use.
type Injector struct {
	// Connect is the time that a dial function of Dialer takes to open a connection, in addition to one round trip.
	Connect time.Duration

	mu    sync.Mutex
	links []*link
	rules []rule
	// names maps each address to the name of the process that listens on it.
	names map[netip.AddrPort]string
	// changed is closed at the next change of the rules, nil while nobody waits for it.
	changed chan struct{}
	closed  bool
}

// Open makes a link for connections from one named process to another. The link listens on the address listen, where
// port zero picks a free port, and connects to upstream. Open returns the address that the sender has to dial.
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
		nextChange: func() <-chan struct{} {
			i.mu.Lock()
			defer i.mu.Unlock()
			return i.nextChange()
		},
	}
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.closed {
		return nil, errors.Wrapf(net.ErrClosed, "link from %s to %s", from, to)
	}
	i.updateFaults(l)
	if err := l.listen(listen); err != nil {
		return nil, err
	}
	i.links = append(i.links, l)
	return l, nil
}

// Set applies fault to all bytes from senders to receivers whose names match the patterns, in the syntax of path.Match.
// An exclamation mark before a pattern negates it. A later Set with the same patterns replaces the fault; the zero
// Fault removes it. Faults of several rules add up. The rule also applies to links that are opened later.
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
	i.applyRules()
	return nil
}

// Isolate applies fault to all bytes between processes whose names match pattern and all others, in both directions.
func (i *Injector) Isolate(pattern string, fault Fault) error {
	if err := i.Set(pattern, "!"+pattern, fault); err != nil {
		return err
	}
	return i.Set("!"+pattern, pattern, fault)
}

// Heal removes all faults except delays, which are the latency of the emulated network itself.
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
	i.applyRules()
}

// Reset resets the open connections of the links whose names match patterns as those of Set, and returns their number.
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
	i.notifyChange()
	i.mu.Unlock()
	for _, l := range links {
		l.close()
	}
	for _, l := range links {
		l.wg.Wait()
	}
	return nil
}

// applyRules updates the faults of all links by the rules. The caller holds i.mu.
func (i *Injector) applyRules() {
	for _, l := range i.links {
		i.updateFaults(l)
		l.updateListener()
	}
	i.notifyChange()
}

// updateFaults sets the faults of both directions of l by the rules. The caller holds i.mu.
func (i *Injector) updateFaults(l *link) {
	l.forward.Store(i.fault(l.from, l.to))
	l.backward.Store(i.fault(l.to, l.from))
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

// nextChange returns a channel that is closed at the next change of the rules. The caller holds i.mu.
func (i *Injector) nextChange() <-chan struct{} {
	if i.changed == nil {
		i.changed = make(chan struct{})
	}
	return i.changed
}

// notifyChange wakes all waiters for nextChange. The caller holds i.mu.
func (i *Injector) notifyChange() {
	if i.changed != nil {
		close(i.changed)
		i.changed = nil
	}
}
