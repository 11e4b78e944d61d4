package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/replicator"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// maxPullBytes bounds the total size of the commands in one answer, unless it has a single command.
	maxPullBytes = 1 << 20
	// maxPullWait bounds how long a pull waits for a newer state.
	maxPullWait = time.Second
)

// DeliverArgs are the arguments of Replicator.Deliver.
type DeliverArgs struct {
	Messages []replicator.Message
	// From is the RPC address of the sender, invalid if the sender has not set one.
	From netip.AddrPort
}

// DeliverReply is empty: the answers to messages are messages themselves.
type DeliverReply struct{}

// PullArgs are the arguments of State.Pull.
type PullArgs struct {
	// Since is the log index of the caller's state. The answer is held back until there is a newer state, for at most
	// Wait.
	Since uint64
	Wait  time.Duration
	// Reader is the name of the caller, and InForce the log index up to which the log is in force there. Callers of older versions
	// leave both empty: acknowledgements do not wait for them.
	Reader  string
	InForce uint64
	// Leaving says that the caller serves no more, or pulls from another host. The answer is empty.
	Leaving bool
}

// PullReply is the answer of State.Pull: a snapshot at SnapshotIndex, or commands that lead from Since to Index.
type PullReply struct {
	Snapshot      []byte
	SnapshotIndex uint64
	Indexes       []uint64
	Commands      [][]byte
	Index         uint64
	// Leader is the name of the control leader, and ContactAge the time since this host, the leader and a majority were
	// last known to be in contact. Waited is the time for which the answer was held back.
	Leader     string
	ContactAge time.Duration
	Waited     time.Duration
	// Lag is the time since the state of this host was last known to include every committed command.
	Lag time.Duration
	// Newest is the log index of that state. The answer is incomplete if Index is below it. Hosts of older versions leave it zero.
	Newest uint64
	// Held is the time for which this host had the first of the commands before it answered, zero for a snapshot.
	Held time.Duration
}

// ProposeArgs are the arguments of State.Propose.
type ProposeArgs struct {
	Command []byte
	Timeout time.Duration
	// Basis is the log index of the state that the sender of an order knew when it read the order. The leader refuses the order
	// if a later command supersedes it. Zero means no comparison; hosts of older versions make none.
	Basis uint64
}

// ProposeReply is the answer of State.Propose.
type ProposeReply struct {
	Result []byte
	// NotLeader is true if the command was not applied by this call; Leader is then the leader's name, if it is known.
	NotLeader bool
	Leader    string
	// Superseded is true if the command was refused because of Basis.
	Superseded bool
	// Unknown is true if the command may have been applied. Reason is the error text, for NotLeader too.
	Unknown bool
	Reason  string
}

type replicatorService struct {
	c *Controller
}

// Deliver queues messages from other members for the update loop. Messages for which the queue has no room are dropped.
func (s *replicatorService) Deliver(args *DeliverArgs, _ *DeliverReply) error {
	for _, m := range args.Messages {
		if args.From.IsValid() {
			s.c.senderAddrs.Store(m.From, args.From)
		}
		select {
		case <-s.c.done:
			return ErrStopped
		case s.c.inbox <- m:
		default:
			counters.Add("droppedMessages", 1)
		}
	}
	return nil
}

type stateService struct {
	c *Controller
}

// Pull is a long poll: it returns the changes since the caller's state, or a snapshot in their place.
func (s *stateService) Pull(args *PullArgs, reply *PullReply) error {
	started := timekeeper.Now()
	if args.Leaving {
		s.c.readers.Leave(args.Reader)
		return nil
	}
	if args.Reader != "" {
		s.c.readers.Confirm(started, args.Reader, args.InForce)
	}
	if wait := min(args.Wait, maxPullWait); wait > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		s.c.feed.wait(ctx, args.Since)
		cancel()
	}
	// The lag is read before the state, so that the state is never older than the lag says.
	reply.Leader, reply.ContactAge = s.c.Contact()
	reply.Lag = s.c.Lag()
	reply.Waited = timekeeper.Since(started)
	reply.Newest = s.c.State().Index
	commands, to, ok := s.c.feed.since(args.Since, maxPullBytes)
	if ok {
		if len(commands) > 0 {
			reply.Held = timekeeper.Since(commands[0].at)
		}
		reply.Index = to
		for _, c := range commands {
			reply.Indexes = append(reply.Indexes, c.index)
			reply.Commands = append(reply.Commands, c.data)
		}
	} else {
		var err error
		if reply.Snapshot, reply.SnapshotIndex, err = s.c.feed.snapshot(); err != nil {
			return err
		}
		reply.Index = reply.SnapshotIndex
	}
	return nil
}

// Propose proposes a command if this host leads, and waits until it is applied.
func (s *stateService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	if _, err := applier.DecodeCommand(args.Command); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	result, err := s.c.submit(ctx, request{
		command: args.Command,
		basis:   args.Basis,
		outcome: make(chan outcome, 1),
	})
	switch {
	case err == nil:
		reply.Result, err = applier.EncodeResult(result)
		return err
	case errors.Is(err, ErrSuperseded):
		reply.Superseded = true
	case errors.Is(err, ErrOutcomeUnknown):
		reply.Unknown = true
	default:
		reply.NotLeader = true
		reply.Leader, _ = s.c.Contact()
	}
	reply.Reason = err.Error()
	return nil
}

// Register adds the RPC services "Replicator" and "State" to l.
func (c *Controller) Register(l *messenger.Listener) error {
	if err := l.Register("Replicator", &replicatorService{
		c: c,
	}); err != nil {
		return err
	}
	return l.Register("State", &stateService{
		c: c,
	})
}
