package controller_test

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"go.uber.org/goleak"

	"bramleyline.example/bramleyline/allocator"
	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/confirmer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/puller"
	"bramleyline.example/bramleyline/timekeeper"
)

func TestMain(m *testing.M) {
	asserter.SetFatal(true)
	goleak.VerifyTestMain(m)
}

// waitTimeout bounds how long a test waits for an expected event; it is not a requirement on the program.
const waitTimeout = 20 * time.Second

// group is a control group over loopback. Each host has a listener and a messenger of its own.
type group struct {
	c         *qt.C
	addrs     map[string]netip.AddrPort
	folders   map[string]string
	hosts     map[string]*controller.Controller
	listeners map[string]*messenger.Listener
	clients   map[string]*messenger.Messenger
	client    *messenger.Messenger
	options   []controller.Option
}

func startGroup(c *qt.C, n int, options ...controller.Option) *group {
	g := &group{
		c:         c,
		addrs:     make(map[string]netip.AddrPort),
		folders:   make(map[string]string),
		hosts:     make(map[string]*controller.Controller),
		listeners: make(map[string]*messenger.Listener),
		clients:   make(map[string]*messenger.Messenger),
		client:    &messenger.Messenger{},
		options:   options,
	}
	listeners := make(map[string]net.Listener)
	for i := range n {
		name := fmt.Sprintf("host%d", i+1)
		ln := listen(c, unsharedAddr(c))
		listeners[name] = ln
		g.addrs[name] = ln.Addr().(*net.TCPAddr).AddrPort()
		g.folders[name] = c.TempDir()
	}
	for name, ln := range listeners {
		g.start(name, ln)
	}
	c.Cleanup(func() {
		for name := range g.hosts {
			g.stop(name)
		}
		_ = g.client.Close()
	})
	return g
}

// unsharedAddr returns an address that belongs to the test, so that a host can start on it again.
func unsharedAddr(c *qt.C) string {
	var a allocator.Allocator
	c.Cleanup(func() { c.Check(a.Close(), qt.IsNil) })
	p, err := a.Prefix()
	c.Assert(err, qt.IsNil)
	return netip.AddrPortFrom(p.Addr().Next(), allocator.FirstPort).String()
}

func listen(c *qt.C, addr string) net.Listener {
	ln, err := net.Listen("tcp", addr)
	c.Assert(err, qt.IsNil)
	return ln
}

func (g *group) start(name string, ln net.Listener) {
	if ln == nil {
		ln = listen(g.c, g.addrs[name].String())
	}
	m := &messenger.Messenger{}
	timing := configurer.DefaultTiming()
	timing.ElectionTimeout = 150 * time.Millisecond
	voters := make(map[string]netip.AddrPort)
	for n, a := range g.addrs {
		voters[n] = a
	}
	ctl, err := controller.New(append([]controller.Option{
		controller.WithName(name),
		controller.WithAddr(ln.Addr().(*net.TCPAddr).AddrPort()),
		controller.WithVoters(voters),
		controller.WithDataFolder(g.folders[name]),
		controller.WithTiming(timing),
		controller.WithMessenger(m),
		controller.WithSeed(1),
	}, g.options...)...)
	g.c.Assert(err, qt.IsNil)
	l := &messenger.Listener{}
	g.c.Assert(ctl.Register(l), qt.IsNil)
	l.Start(ln)
	g.c.Assert(ctl.Start(), qt.IsNil)
	g.hosts[name], g.listeners[name], g.clients[name] = ctl, l, m
}

func (g *group) stop(name string) {
	_ = g.listeners[name].Close()
	_ = g.clients[name].Close()
	g.c.Check(g.hosts[name].Close(), qt.IsNil)
	delete(g.hosts, name)
}

func (g *group) leader() string {
	name := ""
	g.eventually("a leader", func() bool {
		for n, h := range g.hosts {
			if _, ok := h.Leading(timekeeper.Now()); ok {
				name = n
				return true
			}
		}
		return false
	})
	return name
}

func (g *group) eventually(what string, ok func() bool) {
	g.c.Helper()
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if ok() {
			return
		}
	}
	g.c.Fatalf("no %s within %s", what, waitTimeout)
}

func (g *group) proposer() *proposer.Proposer {
	return &proposer.Proposer{
		Messenger: g.client,
		Hosts:     func() map[string]netip.AddrPort { return g.addrs },
	}
}

func (g *group) takeOut(id, dc string) applier.Result {
	g.c.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	r, err := g.proposer().Propose(ctx, takeOutCommand(id, dc))
	g.c.Assert(err, qt.IsNil)
	return r
}

func takeOutCommand(id, dc string) applier.Command {
	return applier.Command{
		RequestID: id,
		SetService: &applier.SetServiceMsg{
			DataCentre: dc,
			Out:        true,
		},
	}
}

// awaitEqualStates waits until all hosts have applied index and their states are equal.
func (g *group) awaitEqualStates(index uint64) {
	g.c.Helper()
	want := ""
	for name, h := range g.hosts {
		g.eventually("index at "+name, func() bool { return h.State().Index >= index })
	}
	g.eventually("equal states", func() bool {
		want = ""
		for _, h := range g.hosts {
			b, err := applier.EncodeSnapshot(h.State())
			g.c.Assert(err, qt.IsNil)
			if want == "" {
				want = string(b)
			}
			if want != string(b) {
				return false
			}
		}
		return true
	})
}

// Guards against a group that elects no leader or commits nothing, also after a restart of all hosts, and against the
// loss of committed commands in this restart.
func TestGroupSurvivesRestartOfAllHosts(t *testing.T) {
	for _, n := range []int{1, 3, 5} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			c := qt.New(t)
			g := startGroup(c, n)
			r := g.takeOut("a", "dc1")
			g.awaitEqualStates(r.Index)
			for name := range g.addrs {
				g.stop(name)
			}
			for name := range g.addrs {
				g.start(name, nil)
			}
			r2 := g.takeOut("b", "dc2")
			g.awaitEqualStates(r2.Index)
			for _, h := range g.hosts {
				c.Assert(h.State().DataCentres["dc1"].Out, qt.IsTrue)
				c.Assert(len(h.State().Voters), qt.Equals, n)
			}
			c.Assert(g.takeOut("a", "dc1").Index, qt.Equals, r.Index)
		})
	}
}

// Guards against a host without a log that does not get the state from a control host, does not change to another one
// when that fails, or does not learn the name of the leader.
func TestPullerPullsFromAnySource(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3)
	r := g.takeOut("a", "dc1")
	m := &messenger.Messenger{}
	defer func() { _ = m.Close() }()
	leader := g.leader()
	var sources []puller.Source
	for _, first := range []bool{false, true} {
		for name, addr := range g.addrs {
			if (name == leader) == first {
				sources = append(sources, puller.Source{
					Name: name,
					Addr: addr,
				})
			}
		}
	}
	f := puller.New(m, sources, nil)
	f.Start()
	defer func() { _ = f.Close() }()
	g.eventually("state at the follower", func() bool { return f.State().Index >= r.Index })
	c.Assert(f.State().DataCentres["dc1"].Out, qt.IsTrue)
	g.eventually("contact", func() bool {
		name, age := f.Contact()
		return name == leader && age < time.Second
	})
	g.stop(sources[0].Name)
	changed := f.Changed()
	r = g.takeOut("b", "dc2")
	g.eventually("state from another source", func() bool { return f.State().Index >= r.Index })
	<-changed
	c.Assert(f.State().DataCentres["dc2"].Out, qt.IsTrue)
}

// Guards against the loss of acknowledged commands when the leader fails, and against a group of five that cannot go on
// without two of its hosts.
func TestTwoOfFiveHostsMayBeLost(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 5)
	for i := range 2 {
		g.takeOut(fmt.Sprintf("before%d", i), fmt.Sprintf("dc%d", i))
		g.stop(g.leader())
	}
	r := g.takeOut("after", "dc9")
	g.awaitEqualStates(r.Index)
	for _, h := range g.hosts {
		c.Assert(h.State().DataCentres, qt.HasLen, 3)
	}
}

// Guards against a voter with a replaced disk that counts as a voter before it has caught up, or that starts a new
// group.
func TestVoterWithEmptyDiskCatchesUp(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3, controller.WithSnapshotEvery(100))
	for i := range 300 {
		g.takeOut(fmt.Sprint("before", i), fmt.Sprintf("dc%d", i%7))
	}
	lost := g.leader()
	g.stop(lost)
	g.folders[lost] = c.TempDir()
	g.start(lost, nil)
	r := g.takeOut("after", "dc9")
	g.awaitEqualStates(r.Index)
	g.eventually("a whole voter", func() bool { return !g.hosts[lost].Recovering() })
	for name := range g.addrs {
		if name != lost {
			g.stop(name)
			break
		}
	}
	r = g.takeOut("last", "dc10")
	g.awaitEqualStates(r.Index)
}

// Guards against a lost voter that cannot be replaced: another host with a disk must join as a learner and then become
// a voter.
func TestVoterIsReplaced(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3)
	g.takeOut("a", "dc1")
	leader := g.hosts[g.leader()]
	lost := ""
	for name := range g.addrs {
		if g.hosts[name] != leader {
			lost = name
		}
	}
	g.stop(lost)
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	ln := listen(c, unsharedAddr(c))
	addr := ln.Addr().(*net.TCPAddr).AddrPort()
	g.folders["host4"] = c.TempDir()
	g.start("host4", ln)
	c.Assert(leader.AddLearner(ctx, "host4", addr), qt.IsNil)
	c.Assert(leader.Remove(ctx, lost), qt.IsNil)
	g.eventually("promotion", func() bool { return leader.Promote(ctx, "host4") == nil })
	g.addrs["host4"] = addr
	delete(g.addrs, lost)
	r := g.takeOut("b", "dc2")
	g.awaitEqualStates(r.Index)
	c.Assert(len(g.hosts["host4"].State().Voters), qt.Equals, 3)
	c.Assert(len(g.hosts["host4"].Members()), qt.Equals, 3)
}

// Guards against a new member that cannot catch up from a leader outside the initial voters, whose address it learns
// only from the leader's messages: without the address it could not answer and got heartbeats only (soak, seed 13).
func TestNewMemberCatchesUpFromALeaderThatItDoesNotKnow(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 1)
	g.takeOut("a", "dc1")
	first := g.hosts[g.leader()]
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	join := func(leader *controller.Controller, name string) {
		ln := listen(c, unsharedAddr(c))
		g.folders[name] = c.TempDir()
		g.start(name, ln)
		c.Assert(leader.AddLearner(ctx, name, ln.Addr().(*net.TCPAddr).AddrPort()), qt.IsNil)
	}
	join(first, "host2")
	g.eventually("promotion", func() bool { return first.Promote(ctx, "host2") == nil })
	g.eventually("removal", func() bool { return first.Remove(ctx, "host1") == nil })
	g.stop("host1")
	c.Assert(g.leader(), qt.Equals, "host2")
	join(g.hosts["host2"], "host3")
	g.eventually("the state of the leader at the new member", func() bool {
		return g.hosts["host3"].State().Index >= g.hosts["host2"].State().Index
	})
}

// Guards against acknowledgements that wait for a member that is off: the leader has to name it once its readers have left it or are out of
// touch, and no longer once it is back.
func TestLeaderNamesSilentMembers(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3)
	leader := g.leader()
	var followers []string
	for name := range g.hosts {
		if name != leader {
			followers = append(followers, name)
		}
	}
	off, other := followers[0], followers[1]
	c.Check(g.hosts[leader].Silent(), qt.HasLen, 0)
	g.stop(off)
	stopped := time.Now()
	g.eventually("silent member", func() bool { return len(g.hosts[leader].Silent()) > 0 })
	c.Check(g.hosts[leader].Silent(), qt.DeepEquals, []string{off})
	c.Check(time.Since(stopped) > confirmer.DefaultLease-time.Second, qt.IsTrue, qt.Commentf("after %s", time.Since(stopped)))
	var reply controller.BehindReply
	c.Assert(g.client.Call(context.Background(), g.addrs[leader], "State.Behind", &controller.BehindArgs{}, &reply), qt.IsNil)
	c.Check(reply.Silent, qt.DeepEquals, []string{off})
	c.Check(g.hosts[other].Silent(), qt.HasLen, 0, qt.Commentf("a member that does not lead"))
	g.start(off, nil)
	g.eventually("answer of the member", func() bool { return len(g.hosts[leader].Silent()) == 0 })
}
