package server

import (
	"math/rand/v2"
	"net/netip"
	"sync"
	"time"

	"bramleyline.example/bramleyline/detector"
)

// targetSample draws targets to which this host dispatches. It remembers the last ones, since a host without links gives its
// targets to others.
type targetSample struct {
	server *Server
	mu     sync.Mutex
	last   []netip.AddrPort
	lastAt time.Time
}

// sampleTime is how long targets are remembered. Without any the host counts as having links, and the next failures tell
// whether it does: the targets that it remembers may all have ended.
const sampleTime = 30 * time.Second

// newLinks returns the detector of this host, which tells the authority when links to targets are lost or have returned.
func (s *Server) newLinks() *detector.Detector {
	sample := targetSample{
		server: s,
	}
	return detector.New(detector.Options{
		Sample:   sample.draw,
		Dial:     s.dial,
		OnChange: func(lost bool) { s.participant.SetNoLinks(lost) },
		Log:      s.logger,
	})
}

// draw returns up to n addresses.
func (t *targetSample) draw(n int) []netip.AddrPort {
	var addrs []netip.AddrPort
	cfg, l := t.server.Config(), t.server.current.Load()
	if cfg != nil && l != nil {
		for i := range cfg.Services {
			table, ok := l.Table(cfg.Services[i].Name)
			if !ok {
				continue
			}
			for r := range table.Routes {
				if route := &table.Routes[r]; route.Local && route.Addr.IsValid() && !route.OutOfService {
					addrs = append(addrs, route.Addr)
				}
			}
		}
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	switch now := time.Now(); {
	case len(addrs) > 0:
		t.last, t.lastAt = append([]netip.AddrPort(nil), addrs...), now
	case now.Sub(t.lastAt) < sampleTime:
		addrs = append(addrs, t.last...)
	}
	rand.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	return addrs[:min(n, len(addrs))]
}
