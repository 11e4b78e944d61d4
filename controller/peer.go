package controller

import (
	"context"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/replicator"
)

const (
	// peerQueue is the number of messages that wait for one peer. More are dropped, as the core allows.
	peerQueue = 256
	// peerBatchBytes bounds the messages of one call.
	peerBatchBytes = 1 << 20
)

// peer sends messages to one other member, one call at a time.
type peer struct {
	messenger *messenger.Messenger
	// from is the address of this host.
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
		queue:     make(chan addressedMessage, peerQueue),
		done:      make(chan struct{}),
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	go p.run()
	return &p
}

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

// close ends the call in progress and waits for the sender.
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
		p.discard()
	}
}

// discard drops what waited during a failed call: the core sends anew what is still needed.
func (p *peer) discard() {
	for range len(p.queue) {
		select {
		case <-p.queue:
		default:
			return
		}
	}
}

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

// address returns the rpc address of a member. The settings go first, then what the host registered, then the member
// list, and then what the member said in its last message.
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
	if addr, ok := c.senders.Load(name); ok {
		return addr.(netip.AddrPort)
	}
	return netip.AddrPort{}
}
