package router

import (
	"sync"
	"sync/atomic"

	"bramleyline.example/bramleyline/balancer"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/retrier"
)

// service is what a Router keeps for one service while it runs.
type service struct {
	retries  retrier.Budget
	hedges   retrier.Budget
	balancer balancer.Balancer
	// held is the number of its requests that this host holds.
	held atomic.Int64
}

// services finds the service by its name without a lock.
type services struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*service]
}

func (s *services) find(name string, r *Router) *service {
	if m := s.byName.Load(); m != nil {
		if svc, ok := (*m)[name]; ok {
			return svc
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*service{}
	if m := s.byName.Load(); m != nil {
		for k, v := range *m {
			next[k] = v
		}
	}
	if next[name] == nil {
		next[name] = &service{
			balancer: balancer.Balancer{
				DataCentre: r.opts.DataCentre,
				Seed:       r.opts.Seed,
			},
		}
		s.byName.Store(&next)
	}
	return next[name]
}

const (
	// roomLimit bounds the requests that a host holds, waiting or in progress: 20 targets with 4 request slots and a queue
	// of 64 each take 1,360, and as many may be on their way to other hosts.
	roomLimit = 4096
	// bodyLimit bounds the bytes of all request bodies that a host holds, as they are read before anything is sent.
	bodyLimit = 256 << 20
)

// room divides the places of a host among services by weight. A service may always use its share, and may borrow as
// long as half of the room is free, so that a service that comes back finds its share.
type room struct {
	limit int64
	held  atomic.Int64
	bytes atomic.Int64
}

// reserve takes room for a body of n bytes and reports whether there was enough.
func (m *room) reserve(n int64) bool {
	if m.bytes.Add(n) <= bodyLimit {
		return true
	}
	m.bytes.Add(-n)
	return false
}

// enter takes a place and reports whether there was one.
func (m *room) enter(svc *service, cfg *configurer.Config, weight int) bool {
	own, all := svc.held.Add(1), m.held.Add(1)
	if all <= m.limit/2 {
		return true
	}
	sum := 0
	for i := range cfg.Services {
		sum += max(1, cfg.Services[i].Limits.Weight)
	}
	if own <= m.limit*int64(max(1, weight))/int64(max(1, sum)) {
		return true
	}
	m.leave(svc)
	return false
}

func (m *room) leave(svc *service) {
	svc.held.Add(-1)
	m.held.Add(-1)
}
