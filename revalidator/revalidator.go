// Package revalidator is a validator of entries in a replica that may be stale, as caches revalidate stored responses at their
// origin (RFC 9111, section 4.3): an entry that was not known to be valid within its freshness lifetime is used only after its
// origin has confirmed it.
package revalidator

import (
	"context"
	"sync"
	"time"
)

// Revalidator keeps when the origin of each entry last confirmed it. The zero value is ready to use; with it nothing stays fresh.
// It is safe for concurrent use. Its times are those of one clock.
type Revalidator[K comparable] struct {
	// Lifetime is how long an entry may be used after it was known to be valid.
	Lifetime time.Duration
	// RetryInterval is how long a check that failed stands for those that follow.
	RetryInterval time.Duration

	mu sync.Mutex
	// confirmedAt is when an entry was last known to be valid by its origin.
	confirmedAt map[K]time.Time
	checks      map[K]*check
}

// check is a check in progress, or one that failed lately.
type check struct {
	// done is closed at the end of the check. err and endedAt are set by then.
	done    chan struct{}
	err     error
	endedAt time.Time
}

// Confirm records that the origin of an entry has confirmed it with a statement that it made no earlier than at.
func (v *Revalidator[K]) Confirm(at time.Time, entry K) {
	v.mu.Lock()
	defer v.mu.Unlock()
	if v.confirmedAt == nil {
		v.confirmedAt = make(map[K]time.Time)
	}
	if at.After(v.confirmedAt[entry]) {
		v.confirmedAt[entry] = at
	}
}

// Fresh reports whether an entry may be used at now. replicaAt is the latest time up to which the replica is known to be complete.
func (v *Revalidator[K]) Fresh(now, replicaAt time.Time, entry K) bool {
	if now.Sub(replicaAt) <= v.Lifetime {
		return true
	}
	v.mu.Lock()
	defer v.mu.Unlock()
	at, ok := v.confirmedAt[entry]
	return ok && now.Sub(at) <= v.Lifetime
}

// Validate asks the origin of an entry to confirm it. ask returns nil if it does, and has to end by itself. Callers that ask for the
// same entry at the same time share one check, and Validate returns before its end with the error of ctx if that ends. clock returns
// the present time.
func (v *Revalidator[K]) Validate(ctx context.Context, clock func() time.Time, entry K, ask func() error) error {
	v.mu.Lock()
	c, ok := v.checks[entry]
	if ok && !c.endedAt.IsZero() && clock().Sub(c.endedAt) > v.RetryInterval {
		ok = false
	}
	if !ok {
		if v.checks == nil {
			v.checks = make(map[K]*check)
		}
		c = &check{
			done: make(chan struct{}),
		}
		v.checks[entry] = c
		go v.run(c, clock, entry, ask)
	}
	v.mu.Unlock()
	select {
	case <-c.done:
		return c.err
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (v *Revalidator[K]) run(c *check, clock func() time.Time, entry K, ask func() error) {
	began := clock()
	err := ask()
	if err == nil {
		v.Confirm(began, entry)
	}
	v.mu.Lock()
	c.err, c.endedAt = err, clock()
	if err == nil {
		delete(v.checks, entry)
	}
	v.mu.Unlock()
	close(c.done)
}

// Forget forgets the confirmations and failed checks before a time.
func (v *Revalidator[K]) Forget(before time.Time) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for entry, at := range v.confirmedAt {
		if at.Before(before) {
			delete(v.confirmedAt, entry)
		}
	}
	for entry, c := range v.checks {
		if !c.endedAt.IsZero() && c.endedAt.Before(before) {
			delete(v.checks, entry)
		}
	}
}
