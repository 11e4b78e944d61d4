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

// world runs the control state of several hosts and targets on virtual time. Messages are delayed, lost and repeated;
// processes pause, restart and are cut off; their clocks drift.
type world struct {
	rnd     *rand.Rand
	cfg     *configurer.Config
	at      time.Duration
	machine *machine
	leader  *process
	leads   time.Time
	byAddr  map[netip.AddrPort]*process
	hosts   []*process
	targets []*modelTarget
	queue   []delivery
	loss    float64
	delay   time.Duration
	trace   []string
}

type delivery struct {
	at time.Duration
	to *clock
	f  func()
}

// clock is what all processes have: a drift, pauses and a link.
type clock struct {
	w      *world
	name   string
	drift  float64
	offset time.Duration
	paused time.Duration
	// cut has the names of processes that cannot be reached, in both directions; "*" means all.
	cut  map[string]bool
	dead bool
}

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func (c *clock) now() time.Time {
	return epoch.Add(c.offset + time.Duration(float64(c.w.at)*(1+c.drift)))
}

func (c *clock) awake() bool { return !c.dead && c.w.at >= c.paused }

func linked(a, b *clock) bool {
	return a == b || !a.cut[b.name] && !b.cut[a.name] && !a.cut["*"] && !b.cut["*"]
}

// process is a host.
type process struct {
	clock
	*Participant
	seen *applier.State
}

func (p *process) State() *applier.State    { return p.seen }
func (p *process) Changed() <-chan struct{} { return nil }

func (p *process) Propose(context.Context, applier.Command) (applier.Result, error) {
	return applier.Result{}, errors.New("not used")
}

// send delivers f at another process after a delay, perhaps never or twice.
func (w *world) send(from, to *clock, f func()) {
	if !linked(from, to) {
		return
	}
	for range 1 + w.rnd.IntN(20)/19 {
		if from == to || w.rnd.Float64() >= w.loss {
			w.queue = append(w.queue, delivery{w.at + time.Duration(w.rnd.Int64N(int64(w.delay)+1)), to, func() {
				if linked(from, to) {
					f()
				}
			}})
		}
	}
}

// later runs f at c after a time on its own side, for the limit of a call.
func (w *world) later(c *clock, d time.Duration, f func()) {
	w.queue = append(w.queue, delivery{w.at + d, c, f})
}

func (p *process) call(limit time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error)) {
	w, to, asked, ended := p.w, p.w.byAddr[addr], p.now(), false
	finish := func(err error) {
		if !ended {
			ended = true
			done(p.now(), asked, err)
		}
	}
	w.later(&p.clock, limit, func() { finish(messenger.ErrTimeout) })
	if to == nil {
		return
	}
	w.send(&p.clock, &to.clock, func() {
		var answer any
		switch m := args.(type) {
		case *delegator.HeartbeatMsg:
			answer = to.answerHeartbeat(to.now(), *m)
		case *reporter.ReportMsg:
			answer = to.answerReport(to.now(), *m)
		case *granter.PromiseMsg:
			answer = to.promise(to.now(), *m)
		case *NewsMsg:
			to.handleNews(*m)
			answer = NewsReply{}
		}
		w.send(&to.clock, &p.clock, func() {
			if !ended {
				reflect.ValueOf(reply).Elem().Set(reflect.ValueOf(answer))
			}
			finish(nil)
		})
	})
}

func (p *process) propose(limit time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error)) {
	w, ended := p.w, false
	finish := func(r applier.Result, err error) {
		if !ended {
			ended = true
			done(p.now(), r, err)
		}
	}
	w.later(&p.clock, limit, func() { finish(applier.Result{}, messenger.ErrTimeout) })
	to := w.leader
	w.send(&p.clock, &to.clock, func() {
		if to != w.leader {
			return
		}
		var last applier.Result
		for _, cmd := range cmds {
			last, _ = w.machine.Propose(context.Background(), cmd)
		}
		w.send(&to.clock, &p.clock, func() { finish(last, nil) })
	})
}

func (w *world) start(name, dc string, control bool) *process {
	p := &process{seen: w.machine.State()}
	p.clock = clock{w: w, name: name, drift: (w.rnd.Float64() - 0.5) / 25, offset: time.Duration(w.rnd.Int64N(int64(time.Hour))), cut: map[string]bool{}}
	addr := netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(len(w.byAddr)+1))
	w.byAddr[addr] = p
	voters := map[string]netip.AddrPort{}
	for a, c := range w.byAddr {
		if c.name[0] == 'c' {
			voters[c.name] = a
		}
	}
	part, err := New(Options{
		Host:   applier.Host{Name: name, Incarnation: uint64(w.at) + 1, DataCentre: dc, Control: control, RPC: addr, Peer: addr, Announce: addr},
		Source: p, Proposer: p, Messenger: &messenger.Messenger{}, Token: "x", Voters: voters,
		Config:  func() *configurer.Config { return w.cfg },
		Leading: func(time.Time) (time.Time, bool) { return w.leads, w.leader == p },
	})
	if err != nil {
		panic(err)
	}
	p.Participant = part
	part.transport = p
	w.hosts = append(w.hosts, p)
	return p
}

// restart replaces a host by a new process of the same name.
func (w *world) restart(p *process) {
	p.dead = true
	w.hosts = slices.DeleteFunc(w.hosts, func(o *process) bool { return o == p })
	n := w.start(p.name, p.options.Host.DataCentre, p.options.Host.Control)
	n.cut = p.cut
}

// step moves time on by 10 ms and returns a slot with two owners, if any.
func (w *world) step() error {
	w.at += 10 * time.Millisecond
	due := w.queue
	w.queue = nil
	for _, d := range due {
		switch {
		case d.at > w.at || !d.to.dead && !d.to.awake():
			w.queue = append(w.queue, d)
		case !d.to.dead:
			d.f()
		}
	}
	for _, p := range w.hosts {
		if !p.awake() {
			continue
		}
		if linked(&p.clock, &w.leader.clock) && w.leader.awake() && w.rnd.IntN(3) == 0 {
			p.seen = w.machine.State()
		}
		if w.rnd.IntN(4) == 0 {
			p.tick(p.now())
		}
	}
	for _, t := range w.targets {
		if t.awake() && w.at >= t.nextBeat {
			t.beat()
		}
	}
	return w.check()
}

func (w *world) check() error {
	holder := map[keyer.Slot]string{}
	for _, t := range w.targets {
		for s := range t.holds() {
			if other, ok := holder[s]; ok {
				return errors.Errorf("slot %d is held by %s and %s at %s: %v", s, other, t.id(), w.at, w.trace)
			}
			holder[s] = t.id()
		}
	}
	return nil
}

// owned returns the number of slots that have an owner.
func (w *world) owned() int {
	n := 0
	for _, t := range w.targets {
		n += len(t.holds())
	}
	return n
}

// modelTarget follows the protocol and counts its lease from before it asked.
type modelTarget struct {
	clock
	dc          string
	incarnation uint64
	announced   *process
	asked       time.Time
	until       time.Time
	fence       fencer.Epoch
	version     uint64
	held        map[keyer.Slot]fencer.Epoch
	releasing   []keyer.Slot
	released    map[keyer.Slot]bool
	draining    bool
	nextBeat    time.Duration
}

func (w *world) target(name, dc string) *modelTarget {
	t := &modelTarget{dc: dc, incarnation: uint64(w.at) + uint64(len(w.targets)) + 1}
	t.clock = clock{w: w, name: name, drift: (w.rnd.Float64() - 0.5) / 25, cut: map[string]bool{}}
	w.targets = append(w.targets, t)
	return t
}

func (t *modelTarget) id() string { return fmt.Sprintf("%s#%d", t.name, t.incarnation) }

func (t *modelTarget) holds() map[keyer.Slot]fencer.Epoch {
	if t.dead && t.w.at > t.paused || !t.now().Before(t.until) {
		return nil
	}
	return t.held
}

func (t *modelTarget) beat() {
	w := t.w
	t.nextBeat = w.at + 150*time.Millisecond
	if t.announced == nil || t.announced.dead || t.now().Sub(t.asked) > 400*time.Millisecond {
		var hosts []*process
		for _, p := range w.hosts {
			if p.options.Host.DataCentre == t.dc {
				hosts = append(hosts, p)
			}
		}
		if len(hosts) == 0 {
			return
		}
		t.announced = hosts[w.rnd.IntN(len(hosts))]
	}
	for _, s := range t.releasing {
		// Requests in progress end at some time; only then the slot is given up.
		if w.rnd.IntN(3) == 0 {
			delete(t.held, s)
			t.released[s] = true
		}
	}
	p, asked := t.announced, t.now()
	m := tracker.HeartbeatMsg{
		Name: t.name, Service: "tally", DataCentre: t.dc, Incarnation: t.incarnation, State: "warm", AckVersion: t.version,
		Released: slices.Sorted(maps.Keys(t.released)), Addr: netip.MustParseAddrPort("127.0.0.1:9"), ChecksEpoch: true,
	}
	if t.draining {
		m.State = "draining"
	}
	w.send(&t.clock, &p.clock, func() {
		r := p.answerTarget(p.now(), m)
		w.send(&p.clock, &t.clock, func() { t.accept(asked, r, p) })
	})
}

func (t *modelTarget) accept(asked time.Time, r tracker.HeartbeatReply, from *process) {
	if r.NoAuthority || r.Elsewhere != "" {
		for _, p := range t.w.hosts {
			if p.name == r.Elsewhere && from == t.announced {
				t.announced, t.nextBeat = p, 0
			}
		}
		return
	}
	if asked.Before(t.asked) || r.Fence < t.fence || r.Version < t.version {
		return
	}
	t.asked, t.fence, t.version = asked, r.Fence, r.Version
	if u := asked.Add(r.Lease); u.After(t.until) {
		t.until = u
	}
	held := map[keyer.Slot]fencer.Epoch{}
	for _, o := range r.Owned {
		for s := o.From; s <= o.To; s++ {
			held[s] = o.Epoch
		}
	}
	released := map[keyer.Slot]bool{}
	for _, s := range r.Releasing {
		if e, ok := t.held[s]; ok {
			held[s] = e
		}
		released[s] = t.released[s]
	}
	maps.DeleteFunc(released, func(_ keyer.Slot, ok bool) bool { return !ok })
	t.held, t.releasing, t.released = held, r.Releasing, released
}
