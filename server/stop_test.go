package server

import (
	"context"
	"net"
	"net/netip"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/allocator"
	"bramleyline.example/bramleyline/settingsreader"
)

// Guards against a panic and against addresses that stay in use when a host is stopped that was never started. A
// program that opens several hosts stops all of them when one cannot start.
func TestStopBeforeStart(t *testing.T) {
	c := qt.New(t)
	var addrs allocator.Allocator
	defer func() { c.Check(addrs.Close(), qt.IsNil) }()
	unshared, err := addrs.Prefix()
	c.Assert(err, qt.IsNil)
	s, err := New(settingsreader.Settings{
		Name: "north-1",
		Listen: settingsreader.Listen{
			RPC: netip.AddrPortFrom(unshared.Addr().Next(), 0),
		},
	})
	c.Assert(err, qt.IsNil)
	addr := s.ListenAddrs().RPC
	c.Assert(s.Stop(context.Background()), qt.IsNil)
	s.Kill()
	ln, err := net.Listen("tcp", addr.String())
	c.Assert(err, qt.IsNil)
	c.Assert(ln.Close(), qt.IsNil)
}
