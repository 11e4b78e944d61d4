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
	// pullBytes bounds the commands of one answer.
	pullBytes = 1 << 20
	// maxPullWait bounds how long a pull waits for something new.
	maxPullWait = time.Second
)

// DeliverArgs are the arguments of Replicator.Deliver.
type DeliverArgs struct {
	Messages []replicator.Message
	// From is the rpc address of the sender, invalid if it is not told.
	From netip.AddrPort
}

// DeliverReply is empty: messages are answered by messages.
type DeliverReply struct{}

// PullArgs are the arguments of State.Pull.
type PullArgs struct {
	// Since is the index of the caller's state. The answer waits for a newer one for at most Wait.
	Since uint64
	Wait  time.Duration
}

// PullReply is the answer of State.Pull: a snapshot at SnapshotIndex, or commands that lead from Since to Index.
type PullReply struct {
	Snapshot      []byte
	SnapshotIndex uint64
	Indexes       []uint64
	Commands      [][]byte
	Index         uint64
	// Leader is the control leader and ContactAge the time since this host, the leader and a majority were in contact.
	// Waited is the time for which the answer was held back.
	Leader     string
	ContactAge time.Duration
	Waited     time.Duration
	// Lag is the time since the state of this host is known to have had everything that was committed.
	Lag time.Duration
}

// ProposeArgs are the arguments of State.Propose.
type ProposeArgs struct {
	Command []byte
	Timeout time.Duration
}

// ProposeReply is the answer of State.Propose.
type ProposeReply struct {
	Result []byte
	// NotLeader says that the command was not applied by this call; Leader is then the leader's name, if it is known.
	NotLeader bool
	Leader    string
	// Unknown says that the command may have been applied; Reason says more.
	Unknown bool
	Reason  string
}

type replicatorService struct {
	c *Controller
}

// Deliver takes messages of other members.
func (s *replicatorService) Deliver(args *DeliverArgs, _ *DeliverReply) error {
	for _, m := range args.Messages {
		if args.From.IsValid() {
			s.c.senders.Store(m.From, args.From)
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

// Pull returns what is new since the caller's state.
func (s *stateService) Pull(args *PullArgs, reply *PullReply) error {
	started := timekeeper.Now()
	if wait := min(args.Wait, maxPullWait); wait > 0 {
		ctx, cancel := context.WithTimeout(context.Background(), wait)
		s.c.feed.wait(ctx, args.Since)
		cancel()
	}
	commands, to, ok := s.c.feed.since(args.Since, pullBytes)
	if ok {
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
	reply.Leader, reply.ContactAge = s.c.Contact()
	reply.Lag = s.c.Lag()
	reply.Waited = timekeeper.Since(started)
	return nil
}

// Propose proposes a command if this host leads.
func (s *stateService) Propose(args *ProposeArgs, reply *ProposeReply) error {
	if _, err := applier.DecodeCommand(args.Command); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), args.Timeout)
	defer cancel()
	result, err := s.c.submit(ctx, request{
		command: args.Command,
		outcome: make(chan outcome, 1),
	})
	switch {
	case err == nil:
		reply.Result, err = applier.EncodeResult(result)
		return err
	case errors.Is(err, ErrOutcomeUnknown):
		reply.Unknown = true
	default:
		reply.NotLeader = true
		reply.Leader, _ = s.c.Contact()
	}
	reply.Reason = err.Error()
	return nil
}

// Register adds the services "Replicator" and "State" to l.
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
