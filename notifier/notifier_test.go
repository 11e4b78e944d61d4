package notifier

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"
)

// Guards against events that change on the way to a subscriber, and against goroutines that outlive Close.
func TestSubscriberReceivesEvent(t *testing.T) {
	defer goleak.VerifyNone(t)
	c := qt.New(t)
	n := New()
	received := make(chan EventMsg, 1)
	c.Assert(n.Subscribe(func(e EventMsg) { received <- e }), qt.IsNil)
	sent := EventMsg{
		Kind:    LeaderChanged,
		Subject: "a1",
		Detail:  "term 3",
		At:      time.Unix(10, 20),
	}
	n.Publish(sent)
	c.Assert(<-received, qt.DeepEquals, sent)
	c.Assert(n.Close(), qt.IsNil)
	<-n.Done()
}

// Guards against a subscriber whose function does not return and so blocks the publisher.
func TestPublishNeverBlocks(t *testing.T) {
	c := qt.New(t)
	n := New()
	release := make(chan struct{})
	c.Assert(n.Subscribe(func(EventMsg) { <-release }), qt.IsNil)
	for range 4 * queueLength {
		n.Publish(EventMsg{
			Kind: LeaderChanged,
		})
	}
	close(release)
	c.Assert(n.Close(), qt.IsNil)
}
