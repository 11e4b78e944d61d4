package router

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/locator"
)

// pollInterval is the interval at which the current Locator is checked while requests wait for a newer one. It is short
// compared with the 2 s within which a slot gets a new owner.
const pollInterval = 2 * time.Millisecond

// watcher wakes requests that wait for a newer Locator. One goroutine polls for all of them, and only while some wait.
type watcher struct {
	current *locator.Current

	mu      sync.Mutex
	changed chan struct{}
	waiters int
}

// wait blocks until a Locator other than old is current and returns true. It returns false if ctx is done or until has
// passed first.
func (w *watcher) wait(ctx context.Context, old *locator.Locator, until time.Time) bool {
	t := time.NewTimer(time.Until(until))
	defer t.Stop()
	for {
		w.mu.Lock()
		if w.current.Load() != old {
			w.mu.Unlock()
			return true
		}
		if w.changed == nil {
			w.changed = make(chan struct{})
			go w.poll(old)
		}
		w.waiters++
		ch := w.changed
		w.mu.Unlock()
		var ok bool
		select {
		case <-ch:
			ok = true
		case <-t.C:
		case <-ctx.Done():
		}
		w.mu.Lock()
		w.waiters--
		w.mu.Unlock()
		if !ok {
			return w.current.Load() != old
		}
	}
}

// poll closes the channel of the waiters when old is no longer the current Locator or no request waits any more.
func (w *watcher) poll(old *locator.Locator) {
	t := time.NewTicker(pollInterval)
	defer t.Stop()
	for range t.C {
		w.mu.Lock()
		if w.waiters == 0 || w.current.Load() != old {
			close(w.changed)
			w.changed = nil
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}
