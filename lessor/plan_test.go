package lessor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

// planned is a service whose keys are all held, with the load of its keys and the speed of its targets.
type planned struct {
	reg    registrar.Registry
	lessor *Lessor
	e      estimator.Estimator
	now    time.Time
	index  uint64
	// answers has the answers that are held back.
	answers []heldAnswer
}

type heldAnswer struct {
	at time.Time
	m  AnsweredMsg
}

// newPlanned divides the keys evenly among targets of which each second takes twice as long as usual.
func newPlanned(targets int) *planned {
	p := &planned{
		now: time.Unix(1000, 0),
	}
	p.lessor = New(p.now, Settings{
		Hold:        worldHold,
		CallTimeout: time.Second,
	})
	var grants []registrar.Grant
	for i := range targets {
		inc := registrar.Incarnation{
			ID:   fmt.Sprintf("t%03d", i),
			Born: p.now,
		}
		p.commit(registrar.Change{
			Announce: &registrar.Target{
				Incarnation: inc,
				Service:     "tally",
				Addr:        placeAddr(i),
				Slots:       4,
			},
		})
		if i%2 == 0 {
			p.e.Saw(inc.ID, 2, 100)
		}
		grants = append(grants, registrar.Grant{
			From:  uint16(i * estimator.Keys / targets),
			To:    uint16((i+1)*estimator.Keys/targets - 1),
			Owner: inc,
		})
	}
	p.commit(registrar.Change{
		Grant: &registrar.GrantMsg{
			Service: "tally",
			Grants:  grants,
		},
	})
	return p
}

func (p *planned) commit(c registrar.Change) {
	p.index++
	p.reg = p.reg.Apply(p.index, c)
}

// tick makes one decision.
func (p *planned) tick() Effects {
	return p.lessor.Tick(p.now, View{
		Registry: p.reg,
		Services: []string{"tally"},
		Out:      func(string) bool { return false },
		Estimators: map[string]*estimator.Estimator{
			"tally": &p.e,
		},
	})
}

// answer lets a call succeed at once.
func (p *planned) answer(c CallMsg) {
	p.lessor.Answered(p.now, succeeded(c))
}

func succeeded(c CallMsg) AnsweredMsg {
	return AnsweredMsg{
		Call:     c,
		Answered: true,
		OK:       true,
		Handover: "h",
	}
}

// run makes decisions for d. All calls succeed at once, and each target gets so many busy slots of work.
func (p *planned) run(d time.Duration, perTarget float64) {
	const step = 50 * time.Millisecond
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(step)
		for i := range 1 << 13 {
			p.e.Add(p.now, uint16(i<<3), time.Duration(perTarget*float64(p.reg.Targets().Len())*float64(step)/(1<<13)))
		}
		e := p.tick()
		for _, c := range e.Calls {
			p.answer(c)
		}
		for _, c := range e.Changes {
			p.commit(c)
		}
	}
}

// runHot makes decisions for d, in which hot adjacent keys each ask for perKey busy slots and all others together for as
// much as before. Work in progress holds as many releases of a target back as it has slots, and reports of demand come each
// 300 ms.
func (p *planned) runHot(d time.Duration, first, hot int, perKey, perTarget float64) {
	const (
		step    = 50 * time.Millisecond
		report  = 6 * step
		release = 700 * time.Millisecond
		slots   = 4
	)
	for n, end := 0, p.now.Add(d); p.now.Before(end); n++ {
		p.now = p.now.Add(step)
		if n%int(report/step) == 0 {
			for i := range 1 << 13 {
				p.e.Add(p.now, uint16(i<<3), time.Duration(perTarget*float64(p.reg.Targets().Len())*float64(report)/(1<<13)))
			}
			for i := range hot {
				p.e.Add(p.now, uint16(first+i), time.Duration(perKey*float64(report)))
			}
		}
		for len(p.answers) > 0 && !p.answers[0].at.After(p.now) {
			p.lessor.Answered(p.now, p.answers[0].m)
			p.answers = p.answers[1:]
		}
		e := p.tick()
		for _, c := range e.Calls {
			if !c.IsRelease() || p.heldBack(c.Incarnation) >= slots {
				p.answer(c)
				continue
			}
			p.answers = append(p.answers, heldAnswer{
				at: p.now.Add(release),
				m:  succeeded(c),
			})
		}
		for _, c := range e.Changes {
			p.commit(c)
		}
	}
}

// heldBack returns the number of releases of a target that are not answered yet.
func (p *planned) heldBack(inc registrar.Incarnation) int {
	n := 0
	for _, a := range p.answers {
		if a.m.Call.Incarnation == inc {
			n++
		}
	}
	return n
}

// crowded returns the share of the hot keys whose owner has another one of them.
func (p *planned) crowded(first, hot int) float64 {
	owners := make(map[registrar.Incarnation]int)
	for i := range hot {
		r, _ := p.reg.Owner("tally", uint16(first+i))
		owners[r.Owner]++
	}
	n := 0
	for _, keys := range owners {
		if keys > 1 {
			n += keys
		}
	}
	return float64(n) / float64(hot)
}

// Pattern: two hundred adjacent keys of a large service suddenly get almost half of its work, each nearly as much as a
// target can do. They are spread over as many targets within the time in which a small service spreads a few.
func TestHotSetIsSpreadInTheTimeOfAFewHotKeys(t *testing.T) {
	// A request of a hot key is late at two seconds, and the users' hot sets last for five.
	const allowed = 3 * time.Second
	for _, tt := range []struct {
		targets int
		hot     int
	}{
		{
			targets: 20,
			hot:     5,
		},
		{
			targets: 805,
			hot:     200,
		},
	} {
		t.Run(fmt.Sprint(tt.targets), func(t *testing.T) {
			c := qt.New(t)
			const first, perKey, perTarget = 30000, 2.9, 1.4
			p := newPlanned(tt.targets)
			p.runHot(2*time.Second, first, 0, 0, perTarget)
			p.runHot(allowed, first, tt.hot, perKey, perTarget)
			c.Assert(p.crowded(first, tt.hot) <= 0.1, qt.IsTrue, qt.Commentf("%.0f%% of the hot keys share their owner", 100*p.crowded(first, tt.hot)))
		})
	}
}

// overloaded returns the share of targets whose keys ask for more than they can do.
func (p *planned) overloaded() float64 {
	sums := p.e.Sums(p.now)
	load := make(map[string]float64)
	for _, r := range p.reg.RangeList("tally") {
		load[r.Owner.ID] += sums[int(r.To)+1] - sums[r.From]
	}
	n := 0
	for id, t := range p.reg.Targets().All() {
		if load[id]*p.e.Slowness(id) > float64(t.Slots) {
			n++
		}
	}
	return float64(n) / float64(p.reg.Targets().Len())
}

// Pattern: a large service is loaded to about three quarters, and half of its targets turn out to be half as fast as the
// others. Their keys move to the fast ones in the time that a small service takes.
func TestLargeServiceIsBalancedInTheTimeOfASmallOne(t *testing.T) {
	for _, targets := range []int{16, 240} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			c := qt.New(t)
			p := newPlanned(targets)
			p.run(time.Second, 2.3)
			p.run(4*time.Second, 2.3)
			c.Assert(p.overloaded() < 0.05, qt.IsTrue, qt.Commentf("%.0f%% of the targets are overloaded", 100*p.overloaded()))
		})
	}
}

// Pattern: requests are long and few at each of many targets, so that measured loads differ by chance. Keys stay where
// they are, since each move costs its callers a hand-over.
func TestKeysStayWhereLoadsDifferByChance(t *testing.T) {
	c := qt.New(t)
	const targets, perSecond, work = 400, 1800, 450 * time.Millisecond
	p := newPlanned(targets)
	p.e = estimator.Estimator{}
	for _, tg := range p.reg.Targets().All() {
		p.reg = p.reg.Rate([]registrar.Rating{{
			Incarnation: tg.Incarnation,
			Slowness:    1,
		}})
	}
	rng := rand.New(rand.NewPCG(3, 4))
	moves := 0
	for range 200 {
		p.now = p.now.Add(50 * time.Millisecond)
		for range perSecond / 20 {
			p.e.Add(p.now, uint16(rng.IntN(estimator.Keys)), work)
		}
		e := p.tick()
		for _, call := range e.Calls {
			p.answer(call)
		}
		for _, change := range e.Changes {
			if change.Release != nil {
				moves += len(change.Release.Spans)
			}
			p.commit(change)
		}
	}
	// One target in twenty may look busy by chance at any time, in ten seconds.
	c.Assert(moves <= targets/20, qt.IsTrue, qt.Commentf("%d moves", moves))
}
