package notifier

import (
	"context"
	"expvar"
	"time"

	"github.com/ThreeDotsLabs/watermill"
	"github.com/ThreeDotsLabs/watermill/message"
	"github.com/ThreeDotsLabs/watermill/pubsub/gochannel"
	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const topic = "state"

// queueLength bounds the events that are queued for publication, and the buffer of each subscriber. Changes of state
// are rare.
const queueLength = 256

var counters = expvar.NewMap("notifier")

// Notifier publishes events to its subscribers. Create one with New.
type Notifier struct {
	bus    *gochannel.GoChannel
	queue  chan EventMsg
	cancel context.CancelFunc
	done   chan struct{}
}

// New returns a running Notifier. It must be closed.
func New() *Notifier {
	ctx, cancel := context.WithCancel(context.Background())
	n := &Notifier{
		bus: gochannel.NewGoChannel(gochannel.Config{
			OutputChannelBuffer: queueLength,
		}, watermill.NopLogger{}),
		queue:  make(chan EventMsg, queueLength),
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go n.run(ctx)
	return n
}

// Publish queues an event without blocking. If the queue is full, it drops the event and counts it.
func (n *Notifier) Publish(e EventMsg) {
	select {
	case n.queue <- e:
		counters.Add("events", 1)
	default:
		counters.Add("droppedEvents", 1)
	}
}

// Subscribe calls f for each event, on a goroutine of its own, until the Notifier is closed.
func (n *Notifier) Subscribe(f func(EventMsg)) error {
	messages, err := n.bus.Subscribe(context.Background(), topic)
	if err != nil {
		return errors.Wrap(err, "subscribe to events")
	}
	go func() {
		for m := range messages {
			if e, err := decode(m.Payload); err == nil {
				f(e)
			}
			m.Ack()
		}
	}()
	return nil
}

// Close stops the Notifier and its subscriptions. Events that are still queued may be lost.
func (n *Notifier) Close() error {
	n.cancel()
	<-n.done
	return errors.Wrap(n.bus.Close(), "close event bus")
}

// Done returns a channel that is closed when the Notifier has stopped.
func (n *Notifier) Done() <-chan struct{} {
	return n.done
}

func (n *Notifier) run(ctx context.Context) {
	defer close(n.done)
	for {
		select {
		case <-ctx.Done():
			return
		case e := <-n.queue:
			payload, err := encode(e)
			if err == nil {
				err = n.bus.Publish(topic, message.NewMessage(watermill.NewULID(), payload))
			}
			if err != nil {
				counters.Add("droppedEvents", 1)
			}
		}
	}
}

// encodedEvent is the CBOR form of an EventMsg on the bus. At is in Unix nanoseconds.
type encodedEvent struct {
	Kind    string `cbor:"kind"`
	Subject string `cbor:"subject"`
	Detail  string `cbor:"detail"`
	At      int64  `cbor:"at"`
}

func encode(e EventMsg) ([]byte, error) {
	return cbor.Marshal(encodedEvent{
		Kind:    string(e.Kind),
		Subject: e.Subject,
		Detail:  e.Detail,
		At:      e.At.UnixNano(),
	})
}

func decode(payload []byte) (EventMsg, error) {
	var w encodedEvent
	if err := cbor.Unmarshal(payload, &w); err != nil {
		return EventMsg{}, errors.Wrap(err, "decode event")
	}
	return EventMsg{
		Kind:    Kind(w.Kind),
		Subject: w.Subject,
		Detail:  w.Detail,
		At:      time.Unix(0, w.At),
	}, nil
}
