// Package confirmer is the record of replicas for synchronous replication: it keeps up to which log index each reader of a log has
// confirmed that the log is in force there.
package confirmer

import (
	"slices"
	"sync"
	"time"
)

// DefaultLease is how long a reader counts as in touch after it was last heard of, if Lease is zero. A reader over a congested link
// may be silent for some seconds although it serves.
const DefaultLease = 3 * time.Second

// Confirmer keeps the confirmations of readers. The zero value is ready to use. It is safe for concurrent use.
type Confirmer struct {
	// Lease is how long a reader counts as in touch after it was last heard of; zero means DefaultLease.
	Lease time.Duration

	mu      sync.Mutex
	readers map[string]reader
	// changed is closed at the next confirmation, nil while nobody waits for it.
	changed chan struct{}
}

type reader struct {
	index   uint64
	heardAt time.Time
}

// Confirm records that the log up to index is in force at a reader, at now.
func (c *Confirmer) Confirm(now time.Time, name string, index uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.readers == nil {
		c.readers = make(map[string]reader)
	}
	// A reader that has started again may be at an earlier index than before.
	c.readers[name] = reader{
		index:   index,
		heardAt: now,
	}
	c.notify()
}

// Leave removes a reader, which serves no more.
func (c *Confirmer) Leave(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.readers, name)
	c.notify()
}

// notify wakes up those that wait for a change. The caller holds mu.
func (c *Confirmer) notify() {
	if c.changed != nil {
		close(c.changed)
		c.changed = nil
	}
}

// Changed returns a channel that is closed at the next confirmation.
func (c *Confirmer) Changed() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.changed == nil {
		c.changed = make(chan struct{})
	}
	return c.changed
}

// Behind returns the names of the readers in touch that have not confirmed index, and forgets those that are out of touch.
func (c *Confirmer) Behind(now time.Time, index uint64) []string {
	lease := c.Lease
	if lease == 0 {
		lease = DefaultLease
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var names []string
	for name, r := range c.readers {
		switch {
		case now.Sub(r.heardAt) > lease:
			delete(c.readers, name)
		case r.index < index:
			names = append(names, name)
		}
	}
	slices.Sort(names)
	return names
}

// Confirmed returns those of names that have confirmed index.
func (c *Confirmer) Confirmed(names []string, index uint64) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var confirmed []string
	for _, name := range names {
		if r, ok := c.readers[name]; ok && r.index >= index {
			confirmed = append(confirmed, name)
		}
	}
	return confirmed
}
