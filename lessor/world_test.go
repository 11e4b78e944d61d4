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
	worldHold = 10 * time.Second
	// worldStep is the step of virtual time.
	worldStep = 20 * time.Millisecond
	// slowClock is how much slower the clock of a target may run than true time.
	slowClock = 1.02
	// hotKeys is the number of keys that have most of the load. They are close to one another.
	hotKeys = 20
)

// hold is what a target was granted.
type hold struct {
	span  registrar.Span
	fence uint64
	until time.Time
}

// fakeTarget takes grants as the targets of a keyed service do.
type fakeTarget struct {
	target registrar.Target
	holds  []hold
	// fences has the highest fence seen, by key range.
	fences []hold
	cut    bool
	dead   bool
	// late says that the target leaves calls without an answer and carries them out later.
	late bool
	// hung says that the target takes connections and never does anything.
	hung bool
}

type delivery struct {
	at  time.Time
	run func()
}

// world is a deployment on virtual time: one service, a lessor that is replaced now and then, and targets that are cut
// off, restart, leave and carry out grants late.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	index   uint64
	reg     registrar.Registry
	lessor  *Lessor
	term    int
	pending int
	out     map[string]bool
	targets map[string]*fakeTarget
	queue   []delivery
	born    int
	served  int
	steps   int
	// busy says that the keys from hot on have load, and that work in progress holds releases back.
	busy      bool
	hot       int
	estimator estimator.Estimator
}

func newWorld(t *testing.T, seed uint64, targets int) *world {
	w := world{
		t:       t,
		rng:     rand.New(rand.NewPCG(seed, 1)),
		now:     time.Unix(1000, 0),
		out:     make(map[string]bool),
		targets: make(map[string]*fakeTarget),
	}
	for i := range targets {
		w.start(fmt.Sprintf("t%02d", i), i)
	}
	w.lead()
	return &w
}

// start begins an incarnation of a target and announces it after a while.
func (w *world) start(id string, place int) {
	w.born++
	if w.at(placeAddr(place)) != nil {
		// Another process has the address by now.
		return
	}
	ft := &fakeTarget{
		target: registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   id,
				Born: time.UnixMilli(int64(w.born)).UTC(),
			},
			Service:    "tally",
			Addr:       placeAddr(place),
			DataCentre: string(rune('a' + place%4)),
			Slots:      4,
			Slowness:   1,
		},
	}
	w.targets[id] = ft
	w.after(time.Duration(w.rng.IntN(900))*time.Millisecond, func() {
		if !ft.dead {
			w.commit(registrar.Change{
				Announce: &ft.target,
			})
		}
	})
}

func placeAddr(place int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(place >> 8), byte(place)}), 80)
}

func (w *world) after(d time.Duration, run func()) {
	w.queue = append(w.queue, delivery{
		at:  w.now.Add(d),
		run: run,
	})
}

func (w *world) commit(c registrar.Change) {
	w.index++
	w.reg = w.reg.Apply(w.index, c)
}

func (w *world) lead() {
	w.term++
	w.pending = 0
	w.lessor = New(w.now, Settings{
		Hold:        worldHold,
		CallTimeout: time.Second,
	})
}

// step lets virtual time pass and makes one decision.
func (w *world) step() {
	w.now = w.now.Add(worldStep)
	w.steps++
	sort.SliceStable(w.queue, func(i, j int) bool { return w.queue[i].at.Before(w.queue[j].at) })
	for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
		d := w.queue[0]
		w.queue = w.queue[1:]
		d.run()
	}
	for i := range hotKeys {
		if !w.busy {
			break
		}
		w.estimator.Add(w.now, uint16(w.hot+i), worldStep)
	}
	e := w.lessor.Tick(w.now, View{
		Registry: w.reg,
		Services: []string{"tally"},
		Out:      func(dc string) bool { return w.out[dc] },
		Pending:  w.pending > 0,
		Estimators: map[string]*estimator.Estimator{
			"tally": &w.estimator,
		},
	})
	for _, c := range e.Calls {
		w.call(c)
	}
	if len(e.Changes) > 0 {
		w.propose(e.Changes)
	}
	w.check()
}

// propose commits changes a little later, unless the leader is replaced before.
func (w *world) propose(changes []registrar.Change) {
	term := w.term
	w.pending++
	w.after(time.Duration(2+w.rng.IntN(30))*time.Millisecond, func() {
		if w.term != term {
			return
		}
		for _, c := range changes {
			w.commit(c)
		}
		w.pending--
	})
}

// call carries a call to whoever listens at the address.
func (w *world) call(c CallMsg) {
	term := w.term
	answer := func(d time.Duration, m AnsweredMsg) {
		m.Call = c
		w.after(d, func() {
			if w.term == term {
				w.lessor.Answered(w.now, m)
			}
		})
	}
	ft := w.at(c.Addr)
	switch {
	case ft == nil:
		answer(5*time.Millisecond, AnsweredMsg{
			NotSent: true,
		})
	case c.SameConnection && (ft.target.Incarnation != c.Incarnation || w.rng.IntN(20) == 0):
		answer(time.Millisecond, AnsweredMsg{
			NotSent:      true,
			Disconnected: true,
		})
	case ft.cut:
		answer(time.Second, AnsweredMsg{
			NotSent: true,
		})
	case ft.target.ID != c.Incarnation.ID:
		answer(5*time.Millisecond, AnsweredMsg{
			Answered: true,
		})
	case ft.hung:
		answer(time.Second, AnsweredMsg{})
	case ft.late && w.rng.IntN(2) == 0:
		arrived := w.now.Add(2 * time.Millisecond)
		w.after(time.Duration(2+w.rng.IntN(10))*time.Second, func() { ft.take(c, arrived, w.now) })
		answer(time.Second, AnsweredMsg{})
	case w.rng.IntN(50) == 0:
		// The call arrives and its answer is lost.
		w.after(2*time.Millisecond, func() { ft.take(c, w.now, w.now) })
		answer(time.Second, AnsweredMsg{})
	default:
		w.after(2*time.Millisecond, func() {
			m := ft.take(c, w.now, w.now)
			took := 2 * time.Millisecond
			if w.busy && c.IsRelease() && w.rng.IntN(4) == 0 {
				// Work in progress on the keys holds the answer back.
				took = time.Duration(w.rng.IntN(1500)) * time.Millisecond
			}
			answer(took, m)
		})
	}
}

func (w *world) at(addr netip.AddrPort) *fakeTarget {
	for _, ft := range w.targets {
		if ft.target.Addr == addr && !ft.dead {
			return ft
		}
	}
	return nil
}

// take carries out a call that arrived at arrived.
func (ft *fakeTarget) take(c CallMsg, arrived, now time.Time) AnsweredMsg {
	m := AnsweredMsg{
		Answered: true,
	}
	for _, f := range ft.fences {
		if f.fence > c.Fence && f.span.From <= c.Span.To && f.span.To >= c.Span.From && c.Grant != nil {
			m.Fenced = true
			return m
		}
	}
	m.OK = true
	ft.drop(c.Span)
	if c.Grant != nil {
		h := hold{
			span:  c.Span,
			fence: c.Fence,
			until: arrived.Add(time.Duration(slowClock * float64(c.Grant.Hold))),
		}
		if h.until.After(now) {
			ft.holds = append(ft.holds, h)
		}
		ft.fences = append(ft.fences, h)
	}
	return m
}

// drop takes a span out of what is held.
func (ft *fakeTarget) drop(s registrar.Span) {
	var kept []hold
	for _, h := range ft.holds {
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
	ft.holds = kept
}

// check fails if two targets hold a key at the same time, and counts whether every key is held.
func (w *world) check() {
	type held struct {
		hold
		id string
	}
	var all []held
	for id, ft := range w.targets {
		if ft.dead {
			continue
		}
		for _, h := range ft.holds {
			if h.until.After(w.now) {
				all = append(all, held{
					hold: h,
					id:   id,
				})
			}
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].span.From < all[j].span.From })
	keys := 0
	for i, h := range all {
		keys += int(h.span.To) - int(h.span.From) + 1
		if i > 0 && all[i-1].span.To >= h.span.From {
			w.t.Fatalf("at %s: %s and %s hold key %d with fences %d and %d", w.now.Sub(time.Unix(1000, 0)), all[i-1].id, h.id,
				h.span.From, all[i-1].fence, h.fence)
		}
	}
	if keys == 1<<16 {
		w.served++
	}
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.step()
	}
}

// trouble makes one random thing go wrong.
func (w *world) trouble() {
	ids := make([]string, 0, len(w.targets))
	for id := range w.targets {
		ids = append(ids, id)
	}
	sort.Strings(ids)
	id := ids[w.rng.IntN(len(ids))]
	ft := w.targets[id]
	if ft.dead {
		return
	}
	switch w.rng.IntN(9) {
	case 8:
		w.hot = w.rng.IntN(1<<16 - hotKeys)
	case 7:
		ft.hung = true
		w.after(time.Duration(w.rng.IntN(20))*time.Second, func() { ft.hung = false })
	case 0:
		ft.cut = true
		w.after(time.Duration(w.rng.IntN(15))*time.Second, func() { ft.cut = false })
	case 1, 2:
		// It crashes and starts again, under the same ID or at the same address under another one.
		ft.dead = true
		place := int(ft.target.Addr.Addr().As4()[3])
		again := id
		if w.rng.IntN(2) == 0 {
			delete(w.targets, id)
			again = fmt.Sprintf("%s-%d", id[:3], w.born)
		}
		w.after(time.Duration(w.rng.IntN(4000))*time.Millisecond, func() { w.start(again, place) })
	case 3:
		ft.late = true
		w.after(5*time.Second, func() { ft.late = false })
	case 4:
		w.lead()
	case 5:
		dc := ft.target.DataCentre
		w.out[dc] = true
		w.after(8*time.Second, func() { delete(w.out, dc) })
	case 6:
		t := ft.target
		t.Draining = true
		ft.target = t
		w.commit(registrar.Change{
			Announce: &t,
		})
		w.after(time.Duration(2+w.rng.IntN(5))*time.Second, func() {
			if w.targets[id] != ft || ft.dead {
				return
			}
			ft.dead = true
			w.start(id, int(t.Addr.Addr().As4()[3]))
		})
	}
}
