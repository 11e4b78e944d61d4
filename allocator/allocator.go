// Package allocator is an address allocator for tests of several hosts on one machine. A port that was free a moment ago may be taken before
// the host listens on it, by another test or by an outgoing connection; the addresses of an Allocator belong to one test.
package allocator

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"

	"github.com/pkg/errors"
)

const (
	// FirstPort is the first of 1,000 ports to use with the addresses. They are below the usual ephemeral range, from which the system takes
	// the ports of outgoing connections and of listeners without a port.
	FirstPort = 20000
	// claimPort is the port of the listener that holds a range.
	claimPort = FirstPort - 1
	// attempts is the number of ranges that are tried. There are about 32,000.
	attempts = 1000
)

// Allocator hands out ranges of loopback addresses. Each belongs to it until Close, whatever process asks. The zero value is ready to use. It
// is safe for concurrent use.
type Allocator struct {
	mu     sync.Mutex
	claims []net.Listener
}

// Prefix returns a range of 256 addresses, of which the last one is in use.
func (a *Allocator) Prefix() (netip.Prefix, error) {
	var err error
	for range attempts {
		last := netip.AddrFrom4([4]byte{127, byte(128 + rand.IntN(127)), byte(rand.IntN(256)), 255})
		var ln net.Listener
		if ln, err = net.Listen("tcp", netip.AddrPortFrom(last, claimPort).String()); err != nil {
			continue
		}
		a.mu.Lock()
		defer a.mu.Unlock()
		a.claims = append(a.claims, ln)
		return netip.PrefixFrom(last, 24).Masked(), nil
	}
	return netip.Prefix{}, errors.Wrap(err, "no free range of addresses")
}

// Close gives all ranges back.
func (a *Allocator) Close() error {
	a.mu.Lock()
	defer a.mu.Unlock()
	var first error
	for _, ln := range a.claims {
		if err := ln.Close(); err != nil && first == nil {
			first = err
		}
	}
	a.claims = nil
	return first
}
