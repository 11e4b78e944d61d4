package director

import (
	"context"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/awaiter"
	"bramleyline.example/bramleyline/committer"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/coordinator"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/prober"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/recruiter"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// snapshotEvery is the number of log entries after which a snapshot replaces them. A starting host applies all entries
	// after its snapshot at once as soon as there is a leader: with 300 targets, 1,600 entries kept a host of 0.24 cores
	// busy for longer than the election timeout.
	snapshotEvery = 200
	// joinWait is the pause between two checks of whether this host is a member of the control group.
	joinWait = 250 * time.Millisecond
	// joinTimeout bounds one request to be added to the control group.
	joinTimeout = 1500 * time.Millisecond
	// diskFullWait is the pause between two attempts to start on a full disk.
	diskFullWait = 500 * time.Millisecond
	// contactTimeout is the time without contact with the leader and a majority after which a member requests to be added
	// again: the group may have removed it.
	contactTimeout = 2 * time.Second
	// controlHeaderTimeout and controlIdleTimeout bound the connections of operators and targets.
	controlHeaderTimeout = 5 * time.Second
	controlIdleTimeout   = 60 * time.Second
	// controlStopTime is how long a stopping control host waits for the orders in progress to complete.
	controlStopTime = time.Second
)

// control holds the components of a control host.
type control struct {
	d           *Director
	name        string
	controller  *controller.Controller
	coordinator *coordinator.Coordinator
	prober      *prober.Prober
	http        *http.Server
}

func (d *Director) startControl(ctx context.Context) error {
	s := d.settings
	founders := make(map[string]netip.AddrPort)
	for _, seed := range d.seedSources() {
		founders[seed.Name] = seed.Addr
	}
	var name string
	err := d.retryWhileDiskFull(ctx, func() (err error) {
		name, err = loadIdentity(s.DataFolder, s.Listen.RPC, s.Direct.Bootstrap && founders[founderName(s.Listen.RPC)].IsValid())
		return err
	})
	if err != nil {
		return err
	}
	timing := configurer.DefaultTiming()
	timing.ElectionTimeout = electionTimeout
	options := []controller.Option{
		controller.WithName(name),
		controller.WithAddr(s.Listen.RPC),
		controller.WithVoters(founders),
		controller.WithDataFolder(s.DataFolder),
		controller.WithMessenger(d.messenger),
		controller.WithSeed(rand.Uint64()),
		controller.WithLogger(d.log),
		controller.WithTiming(timing),
		controller.WithSnapshotEvery(snapshotEvery),
	}
	if name != founderName(s.Listen.RPC) {
		options = append(options, controller.WithUniqueName())
	}
	var c *controller.Controller
	err = d.retryWhileDiskFull(ctx, func() (err error) {
		c, err = controller.New(options...)
		return err
	})
	if err != nil {
		return err
	}
	if err := c.Register(d.rpc); err != nil {
		return err
	}
	ctl := &control{
		d:          d,
		name:       name,
		controller: c,
	}
	d.source = c
	ctl.coordinator = coordinator.New(coordinator.Options{
		Name:       name,
		Controller: c,
		Caller:     d.protocol.Targets,
		Decode:     d.decode,
		Hold:       s.Direct.Hold,
		Membership: recruiter.Recruiter{
			// A majority of the voters remains after the tolerated losses: of 2n+1 voters, n may be lost.
			Voters: 2*s.Direct.HostLosses + 1,
		},
		Messenger: d.messenger,
		Log:       d.log,
	})
	ctl.prober = prober.New(prober.Options{
		Name: name,
		State: proberState{
			Controller: c,
			proposer:   d.proposer,
		},
		Caller: d.protocol.Prober,
		Decode: d.decode,
		Log:    d.log,
	})
	if err := ctl.coordinator.Register(d.rpc); err != nil {
		return err
	}
	ln, err := net.Listen("tcp", s.Direct.Control.String())
	if err != nil {
		return errors.Wrap(err, "control address")
	}
	ctl.http = &http.Server{
		Handler: d.protocol.ControlHandler(&committer.Committer{
			State:    c,
			Proposer: d.proposer,
			Barrier: &awaiter.Awaiter{
				Log:       c,
				Messenger: d.messenger,
				Peers:     ctl.peers,
				Logger:    d.log,
			},
			Name: name,
			Log:  d.log,
		}, d.log),
		ReadHeaderTimeout: controlHeaderTimeout,
		IdleTimeout:       controlIdleTimeout,
	}
	d.control = ctl
	if err := c.Start(); err != nil {
		return err
	}
	ctl.coordinator.Start()
	ctl.prober.Start()
	go serveHTTP(ctl.http, ln, d.log)
	go ctl.join()
	return nil
}

// proberState implements prober.State: it reads the state of this host and commits commands at the leader, whichever
// host that is.
type proberState struct {
	*controller.Controller
	proposer *proposer.Proposer
}

// Propose commits cmd at the leader.
func (p proberState) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	return p.proposer.Propose(ctx, cmd)
}

// retryWhileDiskFull repeats a step of the start while it fails because the disk is full.
func (d *Director) retryWhileDiskFull(ctx context.Context, step func() error) error {
	for {
		err := step()
		if !journaler.Full(err) {
			return err
		}
		d.log.Error("disk is full, start waits for room", "err", err)
		select {
		case <-time.After(diskFullWait):
		case <-ctx.Done():
			return errors.Wrap(err, "stopped while the disk was full")
		}
	}
}

// join requests that this host be added to the control group while it is not a member, or while it has been out of
// contact for contactTimeout.
func (c *control) join() {
	for {
		select {
		case <-c.d.ctx.Done():
			return
		case <-time.After(joinWait):
		}
		if _, age := c.controller.Contact(); c.isMember() && age < contactTimeout {
			continue
		}
		for _, addr := range c.d.controlHosts() {
			if addr == c.d.settings.Listen.RPC {
				continue
			}
			if c.requestJoin(addr) {
				break
			}
		}
	}
}

// peers returns the rpc addresses of the other members of the control group, whose readers have to be asked for.
func (c *control) peers() map[string]netip.AddrPort {
	peers := make(map[string]netip.AddrPort)
	hosts := c.controller.State().Hosts
	for _, m := range c.controller.Members() {
		if addr := hosts[m.Name].RPC; m.Name != c.name && addr.IsValid() {
			peers[m.Name] = addr
		}
	}
	return peers
}

func (c *control) isMember() bool {
	for _, m := range c.controller.Members() {
		if m.Name == c.name {
			return true
		}
	}
	return false
}

// requestJoin asks the host at addr to add this one to the control group, and reports whether it is a member there. Only
// the leader can add a host; another one tells who leads.
func (c *control) requestJoin(addr netip.AddrPort) bool {
	reply := c.callJoin(addr)
	if reply.Joined || reply.LeaderAddr == "" {
		return reply.Joined
	}
	leader, err := netip.ParseAddrPort(reply.LeaderAddr)
	return err == nil && c.callJoin(leader).Joined
}

// callJoin requests of one host that this host be added. The answer is the zero value if there was none.
func (c *control) callJoin(addr netip.AddrPort) coordinator.JoinReply {
	ctx, cancel := context.WithTimeout(c.d.ctx, joinTimeout)
	defer cancel()
	var reply coordinator.JoinReply
	if err := c.d.messenger.Call(ctx, addr, "Leader.Join", &coordinator.JoinArgs{
		Name: c.name,
		Addr: c.d.settings.Listen.RPC.String(),
	}, &reply); err != nil {
		return coordinator.JoinReply{}
	}
	return reply
}

func (c *control) stop() {
	ctx, cancel := context.WithTimeout(context.Background(), controlStopTime)
	defer cancel()
	if err := c.http.Shutdown(ctx); err != nil {
		c.d.log.Warn("orders were still in progress", "err", err)
	}
	_ = c.prober.Close()
	_ = c.coordinator.Close()
	if err := c.controller.Close(); err != nil {
		c.d.log.Error("log failed", "err", err)
	}
	_ = c.d.rpc.Close()
}

// decode parses a stored traffic table.
func (d *Director) decode(doc registrar.Document) (*matcher.Table, error) {
	text, err := committer.DecompressTable(doc)
	if err != nil {
		return nil, err
	}
	return d.protocol.DecodeTable(text)
}
