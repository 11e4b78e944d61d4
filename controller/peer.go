package controller

import (
	"context"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/replicator"
)

const (
	// peerQueueCapacity bounds the queued messages to one peer. Further messages are dropped; the Raft core tolerates
	// their loss.
	peerQueueCapacity = 256
	// peerBatchBytes is the total size of the messages in one call at which no more are added to it.
	peerBatchBytes = 1 << 20
)

// peer sends messages to one other member, one call at a time.
type peer struct {
	messenger *messenger.Messenger
	// from is the RPC address of this host, which is sent with each call.
	from    netip.AddrPort
	timeout time.Duration
	queue   chan addressedMessage
	ctx     context.Context
	cancel  context.CancelFunc
	done    chan struct{}
}

type addressedMessage struct {
	addr    netip.AddrPort
	message replicator.Message
}

func startPeer(m *messenger.Messenger, from netip.AddrPort, timeout time.Duration) *peer {
	p := peer{
		messenger: m,
		from:      from,
		timeout:   timeout,
		queue:     make(chan addressedMessage, peerQueueCapacity),
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return &p
}

// send queues a message. It is dropped if the address is not valid or the queue is full.
func (p *peer) send(addr netip.AddrPort, m replicator.Message) {
	if !addr.IsValid() {
		return
	}
	select {
	case p.queue <- addressedMessage{
		addr:    addr,
		message: m,
	}:
	default:
		counters.Add("droppedMessages", 1)
	}
}

// close cancels the call in progress and waits until run has returned.
func (p *peer) close() {
	p.cancel()
	<-p.done
}

func (p *peer) run() {
	defer close(p.done)
	for {
		select {
		case <-p.ctx.Done():
			return
		case m := <-p.queue:
			p.deliver(m)
		}
	}
}

// deliver sends first together with messages that are queued already.
func (p *peer) deliver(first addressedMessage) {
	args := DeliverArgs{
		Messages: []replicator.Message{first.message},
		From:     p.from,
	}
	size := messageBytes(first.message)
	for size < peerBatchBytes {
		select {
		case m := <-p.queue:
			args.Messages = append(args.Messages, m.message)
			size += messageBytes(m.message)
			continue
		default:
		}
		break
	}
	ctx, cancel := context.WithTimeout(p.ctx, p.timeout)
	defer cancel()
	if err := p.messenger.Call(ctx, first.addr, "Replicator.Deliver", &args, &DeliverReply{}); err != nil {
		counters.Add("failedDeliveries", 1)
		p.discardQueue()
	}
}

// discardQueue drops the messages that were queued during a failed call: the Raft core resends what is still needed.
func (p *peer) discardQueue() {
	for range len(p.queue) {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

// messageBytes estimates the encoded size of m.
func messageBytes(m replicator.Message) int {
	n := 100
	if m.Append != nil {
		for _, e := range m.Append.Entries {
			n += 50 + len(e.Data)
		}
	}
	if m.Snapshot != nil {
		n += len(m.Snapshot.Data)
	}
	return n
}

// address returns the RPC address of a member: in this order of precedence, from the settings, from the registration of
// the host, from the member list, or from the last message in which the member sent it.
func (c *Controller) address(name string) netip.AddrPort {
	if addr, ok := c.settings.voters[name]; ok {
		return addr
	}
	if h, ok := c.feed.current().Hosts[name]; ok && h.RPC.IsValid() {
		return h.RPC
	}
	for _, m := range c.core.Members() {
		if m.Name == name {
			return m.Addr
		}
	}
	if addr, ok := c.senderAddrs.Load(name); ok {
		return addr.(netip.AddrPort)
	}
	return netip.AddrPort{}
}
