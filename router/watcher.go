package router

import (
	"context"
	"sync"
	"time"

	"bramleyline.example/bramleyline/locator"
)

// watchInterval is how often the current Locator is looked at while requests wait for a newer one. It is short beside
// the 2 s in which a slot gets a new owner.
const watchInterval = 2 * time.Millisecond

// watcher wakes requests that wait for a newer Locator. One goroutine looks for all of them, and only while some wait.
type watcher struct {
	current *locator.Current

	mu      sync.Mutex
	changed chan struct{}
	waiting int
}

// wait returns true when a Locator other than old is current, and false when ctx is done or until has passed.
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
			go w.look(old)
		}
		w.waiting++
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
		w.waiting--
		w.mu.Unlock()
		if !ok {
			return w.current.Load() != old
		}
	}
}

// look closes the channel of the waiters when the Locator is no longer old or nobody waits any more.
func (w *watcher) look(old *locator.Locator) {
	t := time.NewTicker(watchInterval)
	defer t.Stop()
	for range t.C {
		w.mu.Lock()
		if w.waiting == 0 || w.current.Load() != old {
			close(w.changed)
			w.changed = nil
			w.mu.Unlock()
			return
		}
		w.mu.Unlock()
	}
}
