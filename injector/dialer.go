package injector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Name says which process listens on addr, for the dialers of Dialer.
func (i *Injector) Name(addr netip.AddrPort, name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.names == nil {
		i.names = make(map[netip.AddrPort]string)
	}
	i.names[addr] = name
}

// Dialer returns a dial function for a process in this program. It connects through a link to the process that Name
// gave for the address, and directly if there is none. Opening a connection takes one round trip of the link.
func (i *Injector) Dialer(from string) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		var d net.Dialer
		parsed, err := netip.ParseAddrPort(addr)
		if err != nil {
			return d.DialContext(ctx, network, addr)
		}
		l, err := i.linkTo(from, parsed)
		if err != nil {
			return nil, err
		}
		if l == nil {
			return d.DialContext(ctx, network, addr)
		}
		if err := i.handshake(ctx, l); err != nil {
			return nil, errors.Wrapf(err, "connect from %s to %s", l.from, l.to)
		}
		return d.DialContext(ctx, network, l.addr.String())
	}
}

// linkTo returns the link from a process to addr, and opens it if needed. It is nil for an address without a name.
func (i *Injector) linkTo(from string, addr netip.AddrPort) (*link, error) {
	i.mu.Lock()
	to, ok := i.names[addr]
	if ok {
		for _, l := range i.links {
			if l.from == from && l.to == to && l.upstream == addr {
				i.mu.Unlock()
				return l, nil
			}
		}
	}
	i.mu.Unlock()
	if !ok {
		return nil, nil
	}
	return i.open(from, to, netip.AddrPortFrom(addr.Addr(), 0), addr)
}

// handshake takes the time of one round trip, or waits for ctx while one direction is cut.
func (i *Injector) handshake(ctx context.Context, l *link) error {
	for {
		change := l.waitChange()
		forward, back := l.forward.Load(), l.back.Load()
		if !forward.Cut && !back.Cut && !forward.Hold && !back.Hold {
			return sleep(ctx, i.Connect+forward.Delay+back.Delay)
		}
		select {
		case <-change:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
