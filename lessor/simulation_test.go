package lessor

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sort"
	"testing"
	"time"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

const (
	simHold = 10 * time.Second
	// simStep is the step of virtual time.
	simStep = 20 * time.Millisecond
	// slowClock is the factor by which a grant lasts longer on the slow clock of a target.
	slowClock = 1.02
	// hotKeys is the number of hot keys. They are adjacent.
	hotKeys = 20
)

// lease is a grant that a target has accepted.
type lease struct {
	span  registrar.Span
	fence uint64
	until time.Time
}

// fakeTarget accepts grants as the targets of a keyed service do.
type fakeTarget struct {
	target registrar.Target
	leases []lease
	// fences lists all accepted grants, with the fences that the target has seen for their keys.
	fences []lease
	// connection is the number of the open connection to the target, zero if there is none.
	connection uint64
	// cut says that connections to the target fail by a timeout.
	cut bool
	// dead says that the process has ended.
	dead bool
	// late says that the target leaves calls unanswered and carries them out later.
	late bool
	// hung says that the target accepts connections and never carries out a call.
	hung bool
}

// acceptedGrant is a grant that an incarnation of a target has accepted.
type acceptedGrant struct {
	incarnation registrar.Incarnation
	span        registrar.Span
	fence       uint64
}

// timedEvent is a function that runs at a point in virtual time.
type timedEvent struct {
	at  time.Time
	run func()
}

// simulation is a deployment on virtual time: one service, a lessor that is replaced now and then, and targets that are
// cut off, restart, drain and carry out grants late.
type simulation struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	index   uint64
	reg     registrar.Registry
	lessor  *Lessor
	term    int
	pending int
	// takenOut holds the data centres that are taken out.
	takenOut map[string]bool
	targets  map[string]*fakeTarget
	events   []timedEvent
	// started counts the incarnations, connections the connections to them.
	started     int
	connections uint64
	// accepted holds all grants that targets have accepted.
	accepted []acceptedGrant
	// heldSteps counts the steps at the end of which every key had an owner, of all steps.
	heldSteps int
	steps     int
	// loaded says that the hot keys, from firstHotKey on, have load, and that requests in flight delay releases.
	loaded      bool
	firstHotKey int
	estimator   estimator.Estimator
}

func newSimulation(t *testing.T, seed uint64, targets int) *simulation {
	s := simulation{
		t:        t,
		rng:      rand.New(rand.NewPCG(seed, 1)),
		now:      time.Unix(1000, 0),
		takenOut: make(map[string]bool),
		targets:  make(map[string]*fakeTarget),
	}
	for i := range targets {
		s.startTarget(fmt.Sprintf("t%02d", i), i)
	}
	s.replaceLeader()
	return &s
}

// startTarget starts an incarnation of a target, at the address with the given number, and announces it after a while.
func (s *simulation) startTarget(id string, addrNumber int) {
	s.started++
	if s.targetAt(testAddr(addrNumber)) != nil {
		// Another process has the address by now.
		return
	}
	ft := &fakeTarget{
		target: registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   id,
				Born: time.UnixMilli(int64(s.started)).UTC(),
			},
			Service:    "tally",
			Addr:       testAddr(addrNumber),
			DataCentre: string(rune('a' + addrNumber%4)),
			Slots:      4,
			Slowness:   1,
		},
	}
	s.targets[id] = ft
	s.after(time.Duration(s.rng.IntN(900))*time.Millisecond, func() {
		if !ft.dead {
			s.commit(registrar.Change{
				Announce: &ft.target,
			})
		}
	})
}

// testAddr returns the address with the given number.
func testAddr(n int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(n >> 8), byte(n)}), 80)
}

// after schedules an event.
func (s *simulation) after(d time.Duration, run func()) {
	s.events = append(s.events, timedEvent{
		at:  s.now.Add(d),
		run: run,
	})
}

func (s *simulation) commit(c registrar.Change) {
	s.index++
	s.reg = s.reg.Apply(s.index, c)
}

// replaceLeader begins a new term with a new lessor.
func (s *simulation) replaceLeader() {
	s.term++
	s.pending = 0
	s.lessor = New(s.now, Settings{
		Hold:        simHold,
		CallTimeout: time.Second,
	})
}

// step advances virtual time and runs one tick of the lessor.
func (s *simulation) step() {
	s.now = s.now.Add(simStep)
	s.steps++
	sort.SliceStable(s.events, func(i, j int) bool { return s.events[i].at.Before(s.events[j].at) })
	for len(s.events) > 0 && !s.events[0].at.After(s.now) {
		ev := s.events[0]
		s.events = s.events[1:]
		ev.run()
	}
	for i := range hotKeys {
		if !s.loaded {
			break
		}
		s.estimator.Add(s.now, uint16(s.firstHotKey+i), simStep)
	}
	e := s.lessor.Tick(s.now, View{
		Registry: s.reg,
		Services: []string{"tally"},
		Out:      func(dc string) bool { return s.takenOut[dc] },
		Pending:  s.pending > 0,
		Estimators: map[string]*estimator.Estimator{
			"tally": &s.estimator,
		},
	})
	for _, c := range e.Calls {
		s.call(c)
	}
	if len(e.Changes) > 0 {
		s.propose(e.Changes)
	}
	s.checkOwners()
}

// propose commits changes a little later, unless the leader is replaced before.
func (s *simulation) propose(changes []registrar.Change) {
	term := s.term
	s.pending++
	s.after(time.Duration(2+s.rng.IntN(30))*time.Millisecond, func() {
		if s.term != term {
			return
		}
		for _, c := range changes {
			s.commit(c)
		}
		s.pending--
	})
}

// call delivers a call to the target that listens at the address.
func (s *simulation) call(c CallMsg) {
	term := s.term
	answer := func(d time.Duration, m CallResultMsg) {
		m.Call = c
		s.after(d, func() {
			if s.term == term {
				s.lessor.HandleResult(s.now, m)
			}
		})
	}
	ft := s.targetAt(c.Addr)
	connection := uint64(0)
	if ft != nil && c.Connection == 0 && ft.connection == 0 {
		s.connections++
		ft.connection = s.connections
	}
	if ft != nil {
		connection = ft.connection
	}
	// A call that is given up closes its connection.
	unanswered := func() {
		ft.connection = 0
		answer(time.Second, CallResultMsg{})
	}
	switch {
	case ft == nil:
		answer(5*time.Millisecond, CallResultMsg{
			NotSent: true,
		})
	case c.Connection != 0 && (c.Connection != ft.connection || s.rng.IntN(20) == 0):
		if c.Connection == ft.connection {
			ft.connection = 0
		}
		answer(time.Millisecond, CallResultMsg{
			NotSent:      true,
			Disconnected: true,
		})
	case ft.cut:
		answer(time.Second, CallResultMsg{
			NotSent: true,
		})
	case ft.target.ID != c.Incarnation.ID:
		answer(5*time.Millisecond, CallResultMsg{
			Answered:   true,
			Connection: connection,
		})
	case ft.hung:
		unanswered()
	case ft.late && s.rng.IntN(2) == 0:
		arrived := s.now.Add(2 * time.Millisecond)
		s.after(time.Duration(2+s.rng.IntN(10))*time.Second, func() { ft.handle(c, arrived, s.now) })
		unanswered()
	case s.rng.IntN(50) == 0:
		// The call arrives and its answer is lost.
		s.after(2*time.Millisecond, func() { s.deliver(ft, c) })
		unanswered()
	default:
		s.after(2*time.Millisecond, func() {
			m := s.deliver(ft, c)
			m.Connection = connection
			took := 2 * time.Millisecond
			if s.loaded && c.IsRelease() && s.rng.IntN(4) == 0 {
				// Requests in flight on the keys delay the answer.
				took = time.Duration(s.rng.IntN(1500)) * time.Millisecond
			}
			answer(took, m)
		})
	}
}

// deliver carries out a call, and fails the test if a target accepts keys with a fence that is not above all with which other
// incarnations have accepted them.
func (s *simulation) deliver(ft *fakeTarget, c CallMsg) CallResultMsg {
	m := ft.handle(c, s.now, s.now)
	if !m.OK || c.Grant == nil {
		return m
	}
	for _, a := range s.accepted {
		if a.incarnation != ft.target.Incarnation && a.fence >= c.Fence && a.span.From <= c.Span.To && c.Span.From <= a.span.To {
			s.t.Fatalf("at %s: %v accepts %v with fence %d, %v has accepted %v with fence %d", s.now.Sub(time.Unix(1000, 0)),
				ft.target.Incarnation, c.Span, c.Fence, a.incarnation, a.span, a.fence)
		}
	}
	s.accepted = append(s.accepted, acceptedGrant{
		incarnation: ft.target.Incarnation,
		span:        c.Span,
		fence:       c.Fence,
	})
	return m
}

// targetAt returns the target that listens at an address, nil if there is none.
func (s *simulation) targetAt(addr netip.AddrPort) *fakeTarget {
	for _, ft := range s.targets {
		if ft.target.Addr == addr && !ft.dead {
			return ft
		}
	}
	return nil
}

// handle carries out, at now, a call that arrived at arrived.
func (ft *fakeTarget) handle(c CallMsg, arrived, now time.Time) CallResultMsg {
	m := CallResultMsg{
		Answered: true,
	}
	for _, f := range ft.fences {
		if f.fence > c.Fence && f.span.From <= c.Span.To && f.span.To >= c.Span.From && c.Grant != nil {
			m.Fenced = true
			return m
		}
	}
	m.OK = true
	ft.remove(c.Span)
	if c.Grant != nil {
		granted := lease{
			span:  c.Span,
			fence: c.Fence,
			until: arrived.Add(time.Duration(slowClock * float64(c.Grant.Hold))),
		}
		if granted.until.After(now) {
			ft.leases = append(ft.leases, granted)
		}
		ft.fences = append(ft.fences, granted)
	}
	return m
}

// remove removes the keys of a span from the leases.
func (ft *fakeTarget) remove(s registrar.Span) {
	var kept []lease
	for _, h := range ft.leases {
		if h.span.To < s.From || h.span.From > s.To {
			kept = append(kept, h)
			continue
		}
		if h.span.From < s.From {
			left := h
			left.span.To = s.From - 1
			kept = append(kept, left)
		}
		if h.span.To > s.To {
			right := h
			right.span.From = s.To + 1
			kept = append(kept, right)
		}
	}
	ft.leases = kept
}

// checkOwners fails the test if two targets hold a key at the same time, and counts the step if every key is held.
func (s *simulation) checkOwners() {
	type heldLease struct {
		lease
		id string
	}
	var all []heldLease
	for id, ft := range s.targets {
		if ft.dead {
			continue
		}
		for _, h := range ft.leases {
			if h.until.After(s.now) {
				all = append(all, heldLease{
					lease: h,
					id:    id,
				})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].span.From < all[j].span.From })
	keys := 0
	for i, h := range all {
		keys += int(h.span.To) - int(h.span.From) + 1
		if i > 0 && all[i-1].span.To >= h.span.From {
			s.t.Fatalf("at %s: %s and %s hold key %d with fences %d and %d", s.now.Sub(time.Unix(1000, 0)), all[i-1].id, h.id,
				h.span.From, all[i-1].fence, h.fence)
		}
	}
	if keys == 1<<16 {
		s.heldSteps++
	}
}

func (s *simulation) run(d time.Duration) {
	for end := s.now.Add(d); s.now.Before(end); {
		s.step()
	}
}

// injectFault injects one random fault.
func (s *simulation) injectFault() {
	ids := make([]string, 0, len(s.targets))
	for id := range s.targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	id := ids[s.rng.IntN(len(ids))]
	ft := s.targets[id]
	if ft.dead {
		return
	}
	switch s.rng.IntN(9) {
	case 8:
		s.firstHotKey = s.rng.IntN(1<<16 - hotKeys)
	case 7:
		ft.hung = true
		s.after(time.Duration(s.rng.IntN(20))*time.Second, func() { ft.hung = false })
	case 0:
		ft.cut = true
		s.after(time.Duration(s.rng.IntN(15))*time.Second, func() { ft.cut = false })
	case 1, 2:
		// The target crashes and starts again at the same address, under the same ID or another one.
		ft.dead = true
		addrNumber := int(ft.target.Addr.Addr().As4()[3])
		nextID := id
		if s.rng.IntN(2) == 0 {
			delete(s.targets, id)
			nextID = fmt.Sprintf("%s-%d", id[:3], s.started)
		}
		s.after(time.Duration(s.rng.IntN(4000))*time.Millisecond, func() { s.startTarget(nextID, addrNumber) })
	case 3:
		ft.late = true
		s.after(5*time.Second, func() { ft.late = false })
	case 4:
		s.replaceLeader()
	case 5:
		dc := ft.target.DataCentre
		s.takenOut[dc] = true
		s.after(8*time.Second, func() { delete(s.takenOut, dc) })
	case 6:
		t := ft.target
		t.Draining = true
		ft.target = t
		s.commit(registrar.Change{
			Announce: &t,
		})
		s.after(time.Duration(2+s.rng.IntN(5))*time.Second, func() {
			if s.targets[id] != ft || ft.dead {
				return
			}
			ft.dead = true
			s.startTarget(id, int(t.Addr.Addr().As4()[3]))
		})
	}
}
