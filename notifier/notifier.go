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

// queueLength bounds the events that wait for publication; changes of state are rare.
const queueLength = 256

var counters = expvar.NewMap("notifier")

// Notifier publishes events. Make it with New.
type Notifier struct {
	bus    *gochannel.GoChannel
	queue  chan EventMsg
	cancel context.CancelFunc
	done   chan struct{}
}

// New starts a Notifier.
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

// Publish queues an event without waiting; it drops the event and counts it if the queue is full.
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

// Close stops the Notifier.
func (n *Notifier) Close() error {
	n.cancel()
	<-n.done
	return errors.Wrap(n.bus.Close(), "close event bus")
}

// Done is closed when the Notifier has stopped.
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

// wireEvent is the form of an EventMsg on the bus.
type wireEvent struct {
	Kind    string `cbor:"kind"`
	Subject string `cbor:"subject"`
	Detail  string `cbor:"detail"`
	At      int64  `cbor:"at"`
}

func encode(e EventMsg) ([]byte, error) {
	return cbor.Marshal(wireEvent{
		Kind:    string(e.Kind),
		Subject: e.Subject,
		Detail:  e.Detail,
		At:      e.At.UnixNano(),
	})
}

func decode(payload []byte) (EventMsg, error) {
	var w wireEvent
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
