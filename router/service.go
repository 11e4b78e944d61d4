package router

import (
	"sync"
	"sync/atomic"

	"bramleyline.example/bramleyline/balancer"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/retrier"
)

// serviceState is the state of one service while the Router runs.
type serviceState struct {
	retries  retrier.Budget
	hedges   retrier.Budget
	balancer balancer.Balancer
	// requests is the number of the service's requests that this host holds, queued or in progress.
	requests atomic.Int64
}

// serviceStates is a copy-on-write map of service states by service name. Lookups take no lock.
type serviceStates struct {
	mu     sync.Mutex
	byName atomic.Pointer[map[string]*serviceState]
}

// get returns the state of a service and creates it at the first call.
func (s *serviceStates) get(name string, r *Router) *serviceState {
	if m := s.byName.Load(); m != nil {
		if svc, ok := (*m)[name]; ok {
			return svc
		}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	next := map[string]*serviceState{}
	if m := s.byName.Load(); m != nil {
		for k, v := range *m {
			next[k] = v
		}
	}
	if next[name] == nil {
		next[name] = &serviceState{
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
	// maxHeldRequests bounds the requests that a host holds, queued or in progress: 20 targets with 4 request slots and
	// a queue of 64 each take 1,360, and as many may be in flight to other hosts.
	maxHeldRequests = 4096
	// maxHeldBodyBytes bounds the total size of the request bodies that a host holds in memory: each body is read whole
	// before anything is sent.
	maxHeldBodyBytes = 256 << 20
	// maxHeldHeaderBytes bounds the memory for long headers of answers. The bodies of answers are passed on as they are read.
	maxHeldHeaderBytes = 64 << 20
)

// admission bounds the requests and the request bodies that a host holds, and divides the requests among the services
// by weight. A service may always use its share. It may borrow more only while at most half of maxRequests is in use,
// so that another service can still get its share when its requests resume. Borrowed places and shares together may
// exceed maxRequests, by at most half.
type admission struct {
	maxRequests int64
	requests    atomic.Int64
	bodyBytes   atomic.Int64
}

// reserveBody reserves n bytes for a request body and reports whether that many were free.
func (a *admission) reserveBody(n int64) bool {
	if a.bodyBytes.Add(n) <= maxHeldBodyBytes {
		return true
	}
	a.bodyBytes.Add(-n)
	return false
}

// acquire takes a place for a request of svc, whose weight is weight, and reports whether there was one.
func (a *admission) acquire(svc *serviceState, cfg *configurer.Config, weight int) bool {
	ofService, total := svc.requests.Add(1), a.requests.Add(1)
	if total <= a.maxRequests/2 {
		return true
	}
	totalWeight := 0
	for i := range cfg.Services {
		totalWeight += max(1, cfg.Services[i].Limits.Weight)
	}
	if ofService <= a.maxRequests*int64(max(1, weight))/int64(max(1, totalWeight)) {
		return true
	}
	a.release(svc)
	return false
}

// release frees the place of a request of svc.
func (a *admission) release(svc *serviceState) {
	svc.requests.Add(-1)
	a.requests.Add(-1)
}
