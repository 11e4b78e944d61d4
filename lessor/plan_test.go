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

// planSimulation is a service on virtual time whose keys are all held, with the load of its keys and the slowness of its
// targets.
type planSimulation struct {
	reg    registrar.Registry
	lessor *Lessor
	e      estimator.Estimator
	now    time.Time
	index  uint64
	// delayedAnswers are the answers to releases that wait for requests in flight, in order of time.
	delayedAnswers []delayedAnswer
	// objectiveOf is View.Objective.
	objectiveOf func(string) time.Duration
}

// delayedAnswer is an answer that arrives at a later time.
type delayedAnswer struct {
	arrivesAt time.Time
	m         CallResultMsg
}

// newPlanSimulation divides the keys evenly among targets, of which every second one has a slowness of two.
func newPlanSimulation(targets int) *planSimulation {
	p := &planSimulation{
		now: time.Unix(1000, 0),
	}
	p.lessor = New(p.now, Settings{
		Hold:        simHold,
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
				Addr:        testAddr(i),
				Slots:       4,
			},
		})
		if i%2 == 0 {
			p.e.ObserveSlowness(inc.ID, 2, 100)
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

func (p *planSimulation) commit(c registrar.Change) {
	p.index++
	p.reg = p.reg.Apply(p.index, c)
}

// tick runs one tick of the lessor.
func (p *planSimulation) tick() Effects {
	return p.lessor.Tick(p.now, View{
		Registry: p.reg,
		Services: []string{"tally"},
		Out:      func(string) bool { return false },
		Estimators: map[string]*estimator.Estimator{
			"tally": &p.e,
		},
		Objective: p.objectiveOf,
	})
}

// answer answers a call at once, with success.
func (p *planSimulation) answer(c CallMsg) {
	p.lessor.HandleResult(p.now, succeeded(c))
}

func succeeded(c CallMsg) CallResultMsg {
	return CallResultMsg{
		Call:     c,
		Answered: true,
		OK:       true,
		Handover: "h",
	}
}

// run runs the lessor for d. All calls succeed at once, and the keys have a load of perTarget busy slots for each target,
// evenly spread.
func (p *planSimulation) run(d time.Duration, perTarget float64) {
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

// runHot runs the lessor for d with so many adjacent hot keys, from first on. Each of them has a load of perKey busy slots,
// on top of an even load of perTarget busy slots for each target. Requests in flight delay as many releases of a target as
// it has slots, and the load is reported every 300 ms.
func (p *planSimulation) runHot(d time.Duration, first, hot int, perKey, perTarget float64) {
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
		for len(p.delayedAnswers) > 0 && !p.delayedAnswers[0].arrivesAt.After(p.now) {
			p.lessor.HandleResult(p.now, p.delayedAnswers[0].m)
			p.delayedAnswers = p.delayedAnswers[1:]
		}
		e := p.tick()
		for _, c := range e.Calls {
			if !c.IsRelease() || p.delayedReleases(c.Incarnation) >= slots {
				p.answer(c)
				continue
			}
			p.delayedAnswers = append(p.delayedAnswers, delayedAnswer{
				arrivesAt: p.now.Add(release),
				m:         succeeded(c),
			})
		}
		for _, c := range e.Changes {
			p.commit(c)
		}
	}
}

// delayedReleases returns the number of releases of a target whose answers are delayed.
func (p *planSimulation) delayedReleases(inc registrar.Incarnation) int {
	n := 0
	for _, a := range p.delayedAnswers {
		if a.m.Call.Incarnation == inc {
			n++
		}
	}
	return n
}

// crowdedShare returns the share of the hot keys whose owner has another one of them.
func (p *planSimulation) crowdedShare(first, hot int) float64 {
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

// Guards against hot keys that stay together on few targets of a large service. Two hundred adjacent keys suddenly get
// almost half of the load, each nearly as much as a target can serve. They have to be spread over as many targets in the
// time in which a small service spreads a few.
func TestHotSetIsSpreadInTheTimeOfAFewHotKeys(t *testing.T) {
	// A request for a hot key is late after two seconds, and a set of hot keys stays hot for five.
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
			p := newPlanSimulation(tt.targets)
			p.runHot(2*time.Second, first, 0, 0, perTarget)
			p.runHot(allowed, first, tt.hot, perKey, perTarget)
			c.Assert(p.crowdedShare(first, tt.hot) <= 0.1, qt.IsTrue, qt.Commentf("%.0f%% of the hot keys share their owner", 100*p.crowdedShare(first, tt.hot)))
		})
	}
}

// overloadedShare returns the share of targets whose keys have more load than the target can serve.
func (p *planSimulation) overloadedShare() float64 {
	sums := p.e.CumulativeLoad(p.now)
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

// Guards against a large service that takes longer to balance than a small one. Half of the targets turn out to take twice
// as long as the others, with a load of about three quarters of the capacity. Their keys have to move to the fast targets
// in the same time in both services.
func TestLargeServiceIsBalancedInTheTimeOfASmallOne(t *testing.T) {
	for _, targets := range []int{16, 240} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			c := qt.New(t)
			p := newPlanSimulation(targets)
			p.run(time.Second, 2.3)
			p.run(4*time.Second, 2.3)
			c.Assert(p.overloadedShare() < 0.05, qt.IsTrue, qt.Commentf("%.0f%% of the targets are overloaded", 100*p.overloadedShare()))
		})
	}
}

// Guards against moves because of noise: requests are long and few at each of many targets, so the measured loads differ by
// chance. Keys have to stay where they are, since each move costs the callers of its keys a hand-over.
func TestKeysStayWhereLoadsDifferByChance(t *testing.T) {
	c := qt.New(t)
	const targets, perSecond, serviceTime = 400, 1800, 450 * time.Millisecond
	p := newPlanSimulation(targets)
	p.e = estimator.Estimator{}
	for _, tg := range p.reg.Targets().All() {
		p.reg = p.reg.Rate([]registrar.Rating{{
			Incarnation: tg.Incarnation,
			Slowness:    1,
		}})
	}
	_, moves := p.runAtRandom(rand.New(rand.NewPCG(3, 4)), 10*time.Second, perSecond, serviceTime)
	// One target in twenty may look busy by chance at any time, in ten seconds.
	c.Assert(moves <= targets/20, qt.IsTrue, qt.Commentf("%d moves", moves))
}
