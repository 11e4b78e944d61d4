package dispatcher

import "time"

// waiter is a queued request.
type waiter struct {
	class    string
	deadline time.Time
	// result receives nil when the request is admitted, or the error with which it is refused.
	result chan error
}

// queue is a fair queue of the waiters of one target: it serves the classes round-robin, and each class first in, first
// out, so that a hot key can neither delay all others nor fill the queue. The zero value is empty.
type queue struct {
	classes map[string]*class
	// ring holds the classes with waiters, and next the index of the one to serve next.
	ring []*class
	next int
	// count is the number of waiters in all classes.
	count int
}

// class holds the waiters of one key, the oldest first.
type class struct {
	name    string
	waiters []*waiter
}

// push adds w. If the queue is full, it returns the waiter to refuse: the newest of the longest class, or w itself if
// no class is longer than its own by two or more.
func (q *queue) push(w *waiter, limit int) *waiter {
	c := q.classes[w.class]
	if q.count < limit {
		q.add(c, w)
		return nil
	}
	longest := c
	for _, other := range q.ring {
		if longest == nil || len(other.waiters) > len(longest.waiters) {
			longest = other
		}
	}
	if longest == nil || longest == c || (c != nil && len(longest.waiters) <= len(c.waiters)+1) || len(longest.waiters) <= 1 {
		return w
	}
	victim := longest.waiters[len(longest.waiters)-1]
	q.remove(victim)
	q.add(q.classes[w.class], w)
	return victim
}

// add appends w to c, or to a new class if c is nil.
func (q *queue) add(c *class, w *waiter) {
	if c == nil {
		if q.classes == nil {
			q.classes = map[string]*class{}
		}
		c = &class{
			name: w.class,
		}
		q.classes[w.class] = c
		q.ring = append(q.ring, c)
	}
	c.waiters = append(c.waiters, w)
	q.count++
}

// pop removes and returns the next waiter, nil if there is none.
func (q *queue) pop() *waiter {
	if q.count == 0 {
		return nil
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
	c := q.ring[q.next]
	w := c.waiters[0]
	c.waiters = c.waiters[1:]
	q.count--
	if len(c.waiters) == 0 {
		q.dropClass(q.next)
	} else {
		q.next++
	}
	return w
}

// remove takes w out of the queue and reports whether it was there.
func (q *queue) remove(w *waiter) bool {
	c := q.classes[w.class]
	if c == nil {
		return false
	}
	for i, other := range c.waiters {
		if other != w {
			continue
		}
		c.waiters = append(c.waiters[:i], c.waiters[i+1:]...)
		q.count--
		if len(c.waiters) == 0 {
			for j, r := range q.ring {
				if r == c {
					q.dropClass(j)
					break
				}
			}
		}
		return true
	}
	return false
}

// dropClass removes the i-th class of the ring, which is empty.
func (q *queue) dropClass(i int) {
	delete(q.classes, q.ring[i].name)
	q.ring = append(q.ring[:i], q.ring[i+1:]...)
	if q.next > i {
		q.next--
	}
}

// len returns the number of waiters.
func (q *queue) len() int {
	return q.count
}
