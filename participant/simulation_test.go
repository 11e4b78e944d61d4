package participant

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"net/netip"
	"reflect"
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/tracker"
)

// simulation is a discrete-event simulation of several hosts and targets in virtual time. Messages are delayed, lost
// and duplicated; processes pause, restart and are cut off; their clocks drift.
type simulation struct {
	rnd          *rand.Rand
	cfg          *configurer.Config
	elapsed      time.Duration
	stateMachine *fakeStateMachine
	leader       *simHost
	leaderSince  time.Time
	byAddr       map[netip.AddrPort]*simHost
	hosts        []*simHost
	targets      []*simTarget
	queue        []event
	lossRate     float64
	maxDelay     time.Duration
	trace        []string
}

// event is a function to run when the simulation reaches due. It waits while its process is paused and is dropped when
// the process is dead.
type event struct {
	due time.Duration
	to  *endpoint
	f   func()
}

// endpoint is the clock and the network link of a process.
type endpoint struct {
	sim         *simulation
	name        string
	drift       float64
	offset      time.Duration
	pausedUntil time.Duration
	// unreachable holds the names of processes that are cut off from this one, in both directions; "*" means all.
	unreachable map[string]bool
	// dead processes neither send nor receive. A dead target counts as an owner until pausedUntil.
	dead bool
}

var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *endpoint) now() time.Time {
	return simulationStart.Add(c.offset + time.Duration(float64(c.sim.elapsed)*(1+c.drift)))
}

func (c *endpoint) awake() bool { return !c.dead && c.sim.elapsed >= c.pausedUntil }

func linked(a, b *endpoint) bool {
	return a == b || !a.unreachable[b.name] && !b.unreachable[a.name] && !a.unreachable["*"] && !b.unreachable["*"]
}

// simHost is a host. It is also the transport, the Source and the Proposer of its Participant.
type simHost struct {
	endpoint
	*Participant
	// localState is the replicated state that this host has, which may be older than that of the state machine.
	localState *applier.State
}

func (p *simHost) State() *applier.State    { return p.localState }
func (p *simHost) Changed() <-chan struct{} { return nil }

func (p *simHost) Propose(context.Context, applier.Command) (applier.Result, error) {
	return applier.Result{}, errors.New("not used")
}

// deliver runs f at another process after a random delay; a message may be lost or duplicated.
func (sim *simulation) deliver(from, to *endpoint, f func()) {
	if !linked(from, to) {
		return
	}
	for range 1 + sim.rnd.IntN(20)/19 {
		if from == to || sim.rnd.Float64() >= sim.lossRate {
			sim.queue = append(sim.queue, event{sim.elapsed + time.Duration(sim.rnd.Int64N(int64(sim.maxDelay)+1)), to, func() {
				if linked(from, to) {
					f()
				}
			}})
		}
	}
}

// after runs f at c after d, without the network; it serves for the timeouts of calls.
func (sim *simulation) after(c *endpoint, d time.Duration, f func()) {
	sim.queue = append(sim.queue, event{sim.elapsed + d, c, f})
}

func (p *simHost) call(timeout time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error)) {
	sim, to, asked, finished := p.sim, p.sim.byAddr[addr], p.now(), false
	finish := func(err error) {
		if !finished {
			finished = true
			done(p.now(), asked, err)
		}
	}
	sim.after(&p.endpoint, timeout, func() { finish(messenger.ErrTimeout) })
	if to == nil {
		return
	}
	sim.deliver(&p.endpoint, &to.endpoint, func() {
		var answer any
		switch m := args.(type) {
		case *delegator.HeartbeatMsg:
			answer = to.answerHeartbeat(to.now(), *m)
		case *reporter.ReportMsg:
			answer = to.answerReport(to.now(), *m)
		case *granter.PromiseMsg:
			answer = to.answerPromise(to.now(), *m)
		case *TableChangedMsg:
			to.handleTableChanged(*m)
			answer = TableChangedReply{}
		}
		sim.deliver(&to.endpoint, &p.endpoint, func() {
			if !finished {
				reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(answer))
			}
			finish(nil)
		})
	})
}

func (p *simHost) propose(timeout time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error)) {
	sim, finished := p.sim, false
	finish := func(r applier.Result, err error) {
		if !finished {
			finished = true
			done(p.now(), r, err)
		}
	}
	sim.after(&p.endpoint, timeout, func() { finish(applier.Result{}, messenger.ErrTimeout) })
	to := sim.leader
	sim.deliver(&p.endpoint, &to.endpoint, func() {
		if to != sim.leader {
			return
		}
		var last applier.Result
		for _, cmd := range cmds {
			last, _ = sim.stateMachine.Propose(context.Background(), cmd)
		}
		sim.deliver(&to.endpoint, &p.endpoint, func() { finish(last, nil) })
	})
}

func (sim *simulation) startHost(name, dc string, control bool) *simHost {
	p := &simHost{localState: sim.stateMachine.State()}
	p.endpoint = endpoint{sim: sim, name: name, drift: (sim.rnd.Float64() - 0.5) / 25, offset: time.Duration(sim.rnd.Int64N(int64(time.Hour))), unreachable: map[string]bool{}}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(sim.byAddr)+1))
	sim.byAddr[addr] = p
	voters := map[string]netip.AddrPort{}
	for a, c := range sim.byAddr {
		if c.name[0] == 'c' {
			voters[c.name] = a
		}
	}
	part, err := New(Options{
		Host:   applier.Host{Name: name, Incarnation: uint64(sim.elapsed) + 1, DataCentre: dc, Control: control, RPC: addr, Peer: addr, Announce: addr},
		Source: p, Proposer: p, Messenger: &messenger.Messenger{}, Token: "x", Voters: voters,
		Config:  func() *configurer.Config { return sim.cfg },
		Leading: func(time.Time) (time.Time, bool) { return sim.leaderSince, sim.leader == p },
	})
	if err != nil {
		panic(err)
	}
	p.Participant = part
	part.transport = p
	sim.hosts = append(sim.hosts, p)
	return p
}

// restart replaces a host by a new incarnation.
func (sim *simulation) restart(p *simHost) {
	p.dead = true
	sim.hosts = slices.DeleteFunc(sim.hosts, func(o *simHost) bool { return o == p })
	n := sim.startHost(p.name, p.options.Host.DataCentre, p.options.Host.Control)
	n.unreachable = p.unreachable
}

// step advances the time by 10 ms and returns an error if a slot has two owners.
func (sim *simulation) step() error {
	sim.elapsed += 10 * time.Millisecond
	events := sim.queue
	sim.queue = nil
	for _, e := range events {
		switch {
		case e.due > sim.elapsed || !e.to.dead && !e.to.awake():
			sim.queue = append(sim.queue, e)
		case !e.to.dead:
			e.f()
		}
	}
	for _, p := range sim.hosts {
		if !p.awake() {
			continue
		}
		if linked(&p.endpoint, &sim.leader.endpoint) && sim.leader.awake() && sim.rnd.IntN(3) == 0 {
			p.localState = sim.stateMachine.State()
		}
		if sim.rnd.IntN(4) == 0 {
			p.tick(p.now())
		}
	}
	for _, t := range sim.targets {
		if t.awake() && sim.elapsed >= t.nextHeartbeat {
			t.sendHeartbeat()
		}
	}
	return sim.checkSingleOwner()
}

func (sim *simulation) checkSingleOwner() error {
	holder := map[keyer.Slot]string{}
	for _, t := range sim.targets {
		for s := range t.heldSlots() {
			if other, ok := holder[s]; ok {
				return errors.Errorf("slot %d is held by %s and %s at %s: %v", s, other, t.id(), sim.elapsed, sim.trace)
			}
			holder[s] = t.id()
		}
	}
	return nil
}

// ownedSlots returns the number of slots that have an owner.
func (sim *simulation) ownedSlots() int {
	n := 0
	for _, t := range sim.targets {
		n += len(t.heldSlots())
	}
	return n
}

// simTarget is a target that follows the protocol: it counts its lease from before it sent the heartbeat.
type simTarget struct {
	endpoint
	dc            string
	incarnation   uint64
	heartbeatHost *simHost
	lastAsked     time.Time
	leaseUntil    time.Time
	fence         fencer.Epoch
	version       uint64
	owned         map[keyer.Slot]fencer.Epoch
	releasing     []keyer.Slot
	released      map[keyer.Slot]bool
	draining      bool
	nextHeartbeat time.Duration
}

func (sim *simulation) addTarget(name, dc string) *simTarget {
	t := &simTarget{dc: dc, incarnation: uint64(sim.elapsed) + uint64(len(sim.targets)) + 1}
	t.endpoint = endpoint{sim: sim, name: name, drift: (sim.rnd.Float64() - 0.5) / 25, unreachable: map[string]bool{}}
	sim.targets = append(sim.targets, t)
	return t
}

func (t *simTarget) id() string { return fmt.Sprintf("%s#%d", t.name, t.incarnation) }

func (t *simTarget) heldSlots() map[keyer.Slot]fencer.Epoch {
	if t.dead && t.sim.elapsed > t.pausedUntil || !t.now().Before(t.leaseUntil) {
		return nil
	}
	return t.owned
}

func (t *simTarget) sendHeartbeat() {
	sim := t.sim
	t.nextHeartbeat = sim.elapsed + 150*time.Millisecond
	if t.heartbeatHost == nil || t.heartbeatHost.dead || t.now().Sub(t.lastAsked) > 400*time.Millisecond {
		var hosts []*simHost
		for _, p := range sim.hosts {
			if p.options.Host.DataCentre == t.dc {
				hosts = append(hosts, p)
			}
		}
		if len(hosts) == 0 {
			return
		}
		t.heartbeatHost = hosts[sim.rnd.IntN(len(hosts))]
	}
	for _, s := range t.releasing {
		// Requests in progress end after a random time; only then is the slot given up.
		if sim.rnd.IntN(3) == 0 {
			delete(t.owned, s)
			t.released[s] = true
		}
	}
	p, asked := t.heartbeatHost, t.now()
	m := tracker.HeartbeatMsg{
		Name: t.name, Service: "tally", DataCentre: t.dc, Incarnation: t.incarnation, State: "warm", AckVersion: t.version,
		Released: slices.Sorted(maps.Keys(t.released)), Addr: netip.MustParseAddrPort("127.0.0.1:9"), ChecksEpoch: true,
	}
	if t.draining {
		m.State = "draining"
	}
	sim.deliver(&t.endpoint, &p.endpoint, func() {
		r := p.answerTargetHeartbeat(p.now(), m)
		sim.deliver(&p.endpoint, &t.endpoint, func() { t.handleReply(asked, r, p) })
	})
}

func (t *simTarget) handleReply(asked time.Time, r tracker.HeartbeatReply, from *simHost) {
	if r.NoAuthority || r.RedirectHost != "" {
		for _, p := range t.sim.hosts {
			if p.name == r.RedirectHost && from == t.heartbeatHost {
				t.heartbeatHost, t.nextHeartbeat = p, 0
			}
		}
		return
	}
	if asked.Before(t.lastAsked) || r.Fence < t.fence || r.Version < t.version {
		return
	}
	t.lastAsked, t.fence, t.version = asked, r.Fence, r.Version
	if u := asked.Add(r.Lease); u.After(t.leaseUntil) {
		t.leaseUntil = u
	}
	owned := map[keyer.Slot]fencer.Epoch{}
	for _, o := range r.Owned {
		for s := o.From; s <= o.To; s++ {
			owned[s] = o.Epoch
		}
	}
	released := map[keyer.Slot]bool{}
	for _, s := range r.Releasing {
		if e, ok := t.owned[s]; ok {
			owned[s] = e
		}
		released[s] = t.released[s]
	}
	maps.DeleteFunc(released, func(_ keyer.Slot, ok bool) bool { return !ok })
	t.owned, t.releasing, t.released = owned, r.Releasing, released
}
