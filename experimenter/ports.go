package experimenter

import (
	"net"
	"net/netip"
	"os"
	"sync/atomic"

	"github.com/pkg/errors"
)

// Ports of hosts and targets lie below the usual range of outgoing connections, which starts at 32768: a process that
// returns on its old address would else find it taken by a connection now and then.
const (
	firstPort = 15000
	portCount = 17000
)

var nextPort atomic.Uint32

// reserve returns a loopback address that was free a moment ago. Two runs at once begin at different ports.
func reserve() (netip.AddrPort, error) {
	var failure error
	for range portCount {
		n := (uint32(os.Getpid())*131 + nextPort.Add(1)) % portCount
		addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(firstPort+n))
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			failure = err
			continue
		}
		return addr, errors.Wrap(ln.Close(), "reserve an address")
	}
	return netip.AddrPort{}, errors.Wrap(failure, "no free address")
}
