package experimenter

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Hosts and targets listen on ports below the usual ephemeral range, which starts at 32768: otherwise a process that
// restarts on its old address would sometimes find the port in use by an outgoing connection.
const (
	firstPort = 15000
	portCount = 17000
)

var nextPort atomic.Uint32

// reserveAddr returns a loopback address that was free a moment ago. Concurrent runs of the program begin at different
// ports.
func reserveAddr() (netip.AddrPort, error) {
	var lastErr error
	for range portCount {
		n := (uint32(os.Getpid())*131 + nextPort.Add(1)) % portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+n))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			lastErr = err
			continue
		}
		return addr, errors.Wrap(ln.Close(), "reserve an address")
	}
	return netip.AddrPort{}, errors.Wrap(lastErr, "no free address")
}
