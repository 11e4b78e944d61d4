package dispatcher

import "time"

// waiter is a request that waits for a place at a target.
type waiter struct {
	class    string
	deadline time.Time
	// turn gets nil when the request may be sent, or the reason why it never will.
	turn chan error
}

// queue holds the waiters of one target. It takes them in turn from each class, and by age within a class, so that a
// hot key cannot take the whole room. The zero value is empty.
type queue struct {
	classes map[string]*class
	ring    []*class
	next    int
	n       int
}

type class struct {
	name    string
	waiters []*waiter
}

// push adds w. If the queue is full, it returns the waiter that has to go: the newest of the longest class, which is w
// itself if its own class is the longest.
func (q *queue) push(w *waiter, limit int) *waiter {
	c := q.classes[w.class]
	if q.n < limit {
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
	q.n++
}

// pop removes and returns the next waiter, nil if there is none.
func (q *queue) pop() *waiter {
	if q.n == 0 {
		return nil
	}
	if q.next >= len(q.ring) {
		q.next = 0
	}
	c := q.ring[q.next]
	w := c.waiters[0]
	c.waiters = c.waiters[1:]
	q.n--
	if len(c.waiters) == 0 {
		q.drop(q.next)
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
		q.n--
		if len(c.waiters) == 0 {
			for j, r := range q.ring {
				if r == c {
					q.drop(j)
					break
				}
			}
		}
		return true
	}
	return false
}

// drop removes the i-th class, which is empty.
func (q *queue) drop(i int) {
	delete(q.classes, q.ring[i].name)
	q.ring = append(q.ring[:i], q.ring[i+1:]...)
	if q.next > i {
		q.next--
	}
}

// len returns the number of waiters.
func (q *queue) len() int {
	return q.n
}
