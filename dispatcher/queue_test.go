package dispatcher

import (
	"context"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleyline.example/bramleyline/configurer"
)

// Guards against a hot key that fills the whole queue, and against waiters that are lost or served twice.
func TestQueueIsFairAndLosesNoWaiter(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const limit = 8
		var q queue
		waiting := map[*waiter]bool{}
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			switch rapid.IntRange(0, 3).Draw(t, "step") {
			case 0, 1:
				w := waiter{
					class: rapid.SampledFrom([]string{"hot", "hot", "hot", "a", "b"}).Draw(t, "class"),
				}
				waiting[&w] = true
				if victim := q.push(&w, limit); victim != nil {
					if !waiting[victim] {
						t.Fatal("victim was not waiting")
					}
					if n := len(q.ring); victim == &w && q.classes[w.class] == nil && n < limit {
						t.Fatalf("only request of class %s was refused beside %d classes", w.class, n)
					}
					delete(waiting, victim)
				}
			case 2:
				if w := q.pop(); w != nil {
					if !waiting[w] {
						t.Fatal("popped twice")
					}
					delete(waiting, w)
				} else if len(waiting) > 0 {
					t.Fatal("waiter was lost")
				}
			case 3:
				for w := range waiting {
					if !q.remove(w) {
						t.Fatal("waiter cannot be removed")
					}
					delete(waiting, w)
					break
				}
			}
			if q.len() != len(waiting) || q.len() > limit {
				t.Fatalf("queue has %d, expected %d", q.len(), len(waiting))
			}
		}
	})
}

// Guards against a cold key that waits behind all requests of a hot one.
func TestColdKeyIsNextAfterHotKey(t *testing.T) {
	var q queue
	for range 50 {
		q.push(&waiter{class: "hot"}, 64)
	}
	q.push(&waiter{class: "cold"}, 64)
	first, second := q.pop(), q.pop()
	qt.Assert(t, first.class == "cold" || second.class == "cold", qt.IsTrue)
}

// Guards against queueing requests that cannot be answered before their deadline, and against waiters that stay in the
// queue when the target is lost or their caller cancels.
func TestLaneRefusesWhatCannotStart(t *testing.T) {
	c := qt.New(t)
	cfg := configurer.DefaultService("tally").Limits
	var l lane
	l.limit.configure(cfg)
	for range 200 {
		l.limit.succeeded(50 * time.Millisecond)
	}
	now := time.Now()
	for range 4 {
		c.Assert(l.acquire(context.Background(), &cfg, "a", 1, now, now.Add(time.Second)) == nil, qt.IsTrue)
	}
	f := l.acquire(context.Background(), &cfg, "a", 1, now, now.Add(60*time.Millisecond))
	c.Assert(f, qt.IsNotNil)
	c.Assert(f.Reason, qt.Equals, "overloaded")
	c.Assert(f.MayHaveRun, qt.IsFalse)

	done := make(chan string)
	go func() { done <- l.acquire(context.Background(), &cfg, "a", 1, now, now.Add(time.Minute)).Reason }()
	for l.load() < 5 {
		time.Sleep(time.Millisecond)
	}
	l.refuseWaiters()
	c.Assert(<-done, qt.Equals, "staleRoute")
	ctx, cancel := context.WithCancel(context.Background())
	go func() { done <- l.acquire(ctx, &cfg, "a", 1, now, now.Add(time.Minute)).Reason }()
	for l.load() < 5 {
		time.Sleep(time.Millisecond)
	}
	cancel()
	<-done
	c.Assert(l.load(), qt.Equals, 4)
}
