package injector

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/pkg/errors"
)

// Name sets the name of the process that listens on addr, for the dial functions that Dialer returns.
func (i *Injector) Name(addr netip.AddrPort, name string) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.names == nil {
		i.names = make(map[netip.AddrPort]string)
	}
	i.names[addr] = name
}

// Dialer returns a dial function for the process that is named from and runs in this program. The function dials an
// address through a link if Name has set a name for it, and directly otherwise. Opening a connection through a link
// takes Connect and one round trip of the link.
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

// linkTo returns the link from a process to addr, and opens it if needed. It returns nil for an address without a name.
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

// handshake takes Connect and the time of one round trip. While the bytes of one direction are dropped or held back, it
// waits for the end of the fault or of ctx.
func (i *Injector) handshake(ctx context.Context, l *link) error {
	for {
		change := l.nextChange()
		forward, backward := l.forward.Load(), l.backward.Load()
		if !forward.Cut && !backward.Cut && !forward.Hold && !backward.Hold {
			return sleep(ctx, i.Connect+forward.Delay+backward.Delay)
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
