package coordinator

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/aggregator"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/timekeeper"
)

// joinTimeout bounds the addition of a learner to the control group.
const joinTimeout = time.Second

// JoinArgs are the arguments of Leader.Join: the name and rpc address of the host that joins.
type JoinArgs struct {
	Name string
	Addr string
}

// JoinReply is the answer of Leader.Join. If another host leads, Leader is its name and LeaderAddr its rpc address; both are
// empty if no leader is known.
type JoinReply struct {
	Joined     bool
	Leader     string
	LeaderAddr string
}

// ObserveArgs are the arguments of Leader.Observe.
type ObserveArgs struct {
	Work []ServiceLoadMsg
	// Losses are requests that were running at targets when these were lost, one for each target. Completed are the
	// fingerprints of requests with losses that ran to a good end later.
	Losses    []reporter.SuspectMsg
	Completed []uint64
	// Stated holds what targets stated in their answers since the last report.
	Stated []issuer.StatedMsg
	// Relayed says that a control host relays reports of other hosts.
	Relayed bool
	// Load is the report of the loads of targets and of the demand, nil from a host that has none and from an old one.
	Load *aggregator.ReportMsg
}

// ObserveReply is the answer of Leader.Observe. Load is nil if the report had no loads, and from an old host.
type ObserveReply struct {
	Load *aggregator.UpdateMsg
}

// ExchangeArgs are the arguments of Leader.Exchange: what the caller has read from this host.
type ExchangeArgs struct {
	Known aggregator.Position
}

// leaderService implements the RPC service "Leader".
type leaderService struct {
	coordinator *Coordinator
}

// Register adds the service "Leader" to l.
func (s *Coordinator) Register(l *messenger.Listener) error {
	return l.Register("Leader", &leaderService{
		coordinator: s,
	})
}

// Join adds a host to the control group as a learner, unless it is already a member. A host that does not lead tells who
// does.
func (s *leaderService) Join(args *JoinArgs, reply *JoinReply) error {
	c := s.coordinator.opts.Controller
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
		if !errors.Is(err, controller.ErrNotLeader) {
			return errors.Wrap(err, "add learner")
		}
		// A reply does not reach the caller beside an error.
		reply.Leader, _ = c.Contact()
		if leader := c.State().Hosts[reply.Leader].RPC; leader.IsValid() {
			reply.LeaderAddr = leader.String()
		}
		return nil
	}
	s.coordinator.opts.Log.Info("member joined", "member", args.Name, "addr", args.Addr)
	reply.Joined = true
	return nil
}

// Observe takes the load reports and lost requests that an entry host or another control host sent. Relayed load
// reports are refused unless this host leads, so that they are not relayed again.
func (s *leaderService) Observe(args *ObserveArgs, reply *ObserveReply) error {
	if args.Relayed && !s.coordinator.leads() {
		// The sender keeps the losses for the next leader.
		return controller.ErrNotLeader
	}
	s.coordinator.Observe(args.Work, args.Stated)
	s.coordinator.observeLosses(args.Losses, args.Completed)
	if args.Load != nil {
		// A malformed report of loads does not make the rest of the report invalid.
		reply.Load, _ = s.coordinator.loads.Report(timekeeper.Now(), args.Load)
	}
	return nil
}

// Exchange returns the loads that changed on the entry hosts that report to this control host.
func (s *leaderService) Exchange(args *ExchangeArgs, reply *aggregator.UpdateMsg) error {
	*reply = *s.coordinator.loads.Exchange(timekeeper.Now(), args.Known)
	return nil
}

// Issue issues tokens of a target that states a limit. It fails on a host that does not lead.
func (s *leaderService) Issue(args *issuer.AskMsg, reply *issuer.IssueMsg) error {
	c := s.coordinator
	if !c.leads() {
		return controller.ErrNotLeader
	}
	*reply = c.issuer.Issue(timekeeper.Now(), c.opts.Controller.State().Registry, *args)
	return nil
}
