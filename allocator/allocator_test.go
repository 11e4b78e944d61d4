package allocator

import (
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against two tests, or a test and an outgoing connection, that use the same address and port.
func TestRangesAreDisjointAndFree(t *testing.T) {
	c := qt.New(t)
	var first, second Allocator
	defer func() { c.Check(first.Close(), qt.IsNil) }()
	defer func() { c.Check(second.Close(), qt.IsNil) }()
	var seen []netip.Prefix
	for range 100 {
		for _, a := range []*Allocator{&first, &second} {
			p, err := a.Prefix()
			c.Assert(err, qt.IsNil)
			for _, other := range seen {
				c.Assert(p.Overlaps(other), qt.IsFalse, qt.Commentf("%s and %s", p, other))
			}
			seen = append(seen, p)
		}
	}
	addr := seen[0].Addr().Next()
	ln, err := net.Listen("tcp", netip.AddrPortFrom(addr, FirstPort).String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = ln.Close() }()
	conn, err := net.Dial("tcp", ln.Addr().String())
	c.Assert(err, qt.IsNil)
	defer func() { _ = conn.Close() }()
	c.Check(seen[0].Contains(conn.LocalAddr().(*net.TCPAddr).AddrPort().Addr()), qt.IsFalse, qt.Commentf("from %s", conn.LocalAddr()))
}
