package operator

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/presenter"
)

// maxStatusAge is the time for which a status is served from the cache. Collecting one calls every host and takes about
// 30 ms for 6,500 hosts and 131,072 slots (BenchmarkStatus), and each waiting command and each open page requests it.
const maxStatusAge = 200 * time.Millisecond

// statusCache holds the status that was collected last.
type statusCache struct {
	mu          sync.Mutex
	collectedAt time.Time
	status      *presenter.Status
}

// recentStatus returns a status that is at most maxStatusAge old and includes every change that this host has applied.
// Concurrent requests wait for the same status.
func (o *Operator) recentStatus(ctx context.Context) *presenter.Status {
	cache := &o.cache
	cache.mu.Lock()
	defer cache.mu.Unlock()
	if cache.status != nil && time.Since(cache.collectedAt) < maxStatusAge && cache.status.Index == o.state().Index {
		return cache.status
	}
	// Other requests wait for this status too, so the end of the request that started it does not cancel it.
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), requestTimeout)
	defer cancel()
	cache.collectedAt = time.Now()
	cache.status = o.collectStatus(ctx)
	return cache.status
}
