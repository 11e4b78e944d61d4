package settingsreader

import (
	"context"
	"net"
	"net/netip"

	"github.com/pkg/errors"
)

// Dialer returns a dial function that replaces an address by its translation if the settings have one. It returns nil
// if the settings have no translations.
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
