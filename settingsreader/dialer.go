package settingsreader

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Dialer returns a dial function that connects to the translated address where the settings have one, nil if they
// translate none.
func (s *Settings) Dialer() func(ctx context.Context, network, addr string) (net.Conn, error) {
	if len(s.Translation) == 0 {
		return nil
	}
	translation := s.Translation
	var d net.Dialer
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		announced, err := netip.ParseAddrPort(addr)
		if err != nil {
			return nil, errors.Wrap(err, "dial")
		}
		if reachable, ok := translation[announced]; ok {
			addr = reachable.String()
		}
		return d.DialContext(ctx, network, addr)
	}
}
