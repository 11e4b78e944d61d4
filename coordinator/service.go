package coordinator

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/reporter"
)

// joinTimeout bounds the addition of a member.
const joinTimeout = time.Second

// JoinArgs are the arguments of Leader.Join.
type JoinArgs struct {
	Name string
	Addr string
}

// JoinReply is the answer of Leader.Join. Leader is the name of the leader, if it is another host.
type JoinReply struct {
	Joined bool
	Leader string
}

// ObserveArgs are the arguments of Leader.Observe.
type ObserveArgs struct {
	Work []WorkMsg
	// Suspects are requests during which targets were lost, as the caller knows them.
	Suspects []reporter.SuspectMsg
	// Relayed says that a control host passes on what others told it.
	Relayed bool
}

// ObserveReply is the answer of Leader.Observe: the suspect requests that any host told of lately.
type ObserveReply struct {
	Suspects []reporter.SuspectMsg
}

type service struct {
	s *Coordinator
}

// Register adds the service "Leader" to l.
func (s *Coordinator) Register(l *messenger.Listener) error {
	return l.Register("Leader", &service{
		s: s,
	})
}

// Join adds a host to the control group as a learner.
func (v *service) Join(args *JoinArgs, reply *JoinReply) error {
	c := v.s.opts.Controller
	for _, m := range c.Members() {
		if m.Name == args.Name {
			reply.Joined = true
			return nil
		}
	}
	addr, err := netip.ParseAddrPort(args.Addr)
	if err != nil {
		return errors.Wrap(err, "address of the new member")
	}
	ctx, cancel := context.WithTimeout(context.Background(), joinTimeout)
	defer cancel()
	if err := c.AddLearner(ctx, args.Name, addr); err != nil {
		reply.Leader, _ = c.Contact()
		return errors.Wrap(err, "add learner")
	}
	v.s.opts.Log.Info("member joined", "member", args.Name, "addr", args.Addr)
	reply.Joined = true
	return nil
}

// Observe takes the work that entry hosts saw. What another control host passed on goes no further.
func (v *service) Observe(args *ObserveArgs, reply *ObserveReply) error {
	if !args.Relayed || v.s.leads() {
		v.s.Observe(args.Work)
	}
	now := time.Now()
	v.s.suspects.Learn(args.Suspects, now)
	reply.Suspects = v.s.suspects.Suspects(now)
	return nil
}
