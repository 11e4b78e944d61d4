package lessor

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/ramper"
	"bramleyline.example/bramleyline/registrar"
)

const paceServiceTime = 250 * time.Millisecond

// paceSimulation is a service with long requests whose targets join.
type paceSimulation struct {
	*planSimulation
	rng         *rand.Rand
	perSecond   int
	serviceTime time.Duration
}

func newPaceSimulation(targets int, serviceTime time.Duration) *paceSimulation {
	p := &paceSimulation{
		planSimulation: newPlanSimulation(targets),
		rng:            rand.New(rand.NewPCG(5, 6)),
		perSecond:      int(1.2 * float64(targets) / serviceTime.Seconds()),
		serviceTime:    serviceTime,
	}
	p.e = estimator.Estimator{}
	p.succeed(4 * time.Second)
	return p
}

// join announces n more targets.
func (p *paceSimulation) join(n int, cold bool) []registrar.Incarnation {
	var joined []registrar.Incarnation
	for range n {
		inc := registrar.Incarnation{
			ID:   fmt.Sprintf("u%02d", p.reg.Targets().Len()),
			Born: p.now,
		}
		joined = append(joined, inc)
		p.announce(inc, p.reg.Targets().Len(), cold)
	}
	return joined
}

func (p *paceSimulation) announce(inc registrar.Incarnation, addr int, cold bool) {
	p.commit(registrar.Change{
		Announce: &registrar.Target{
			Incarnation: inc,
			Service:     "tally",
			Addr:        testAddr(addr),
			Slots:       4,
			Cold:        cold,
		},
	})
}

// answer runs the lessor for d. Each target answers the requests for its keys, inc at the given slowness, zero for no answer,
// and the others at 1. It returns the number of moves.
func (p *paceSimulation) answer(d time.Duration, inc registrar.Incarnation, slowness float64) int {
	moves := 0
	for end := p.now.Add(d); p.now.Before(end); {
		_, n := p.runAtRandom(p.rng, 300*time.Millisecond, p.perSecond, p.serviceTime)
		moves += n
		for id := range p.reg.Targets().All() {
			s := 1.0
			if id == inc.ID {
				s = slowness
			}
			p.e.ObserveSlowness(id, s, int(p.share(id)*float64(p.perSecond)*0.3+p.rng.Float64()))
		}
	}
	return moves
}

// succeed runs the lessor for d. All targets answer as usual.
func (p *paceSimulation) succeed(d time.Duration) int {
	return p.answer(d, registrar.Incarnation{}, 1)
}

// share returns the share of all keys that a target owns.
func (p *paceSimulation) share(id string) float64 {
	n := 0
	for _, r := range p.reg.RangeList("tally") {
		if r.Owner.ID == id {
			n += int(r.To) - int(r.From) + 1
		}
	}
	return float64(n) / estimator.Keys
}

// fairShare returns the share of all keys that targets own, as a fraction of their part of the number of targets.
func (p *paceSimulation) fairShare(targets []registrar.Incarnation) float64 {
	total := 0.0
	for _, inc := range targets {
		total += p.share(inc.ID)
	}
	return total * float64(p.reg.Targets().Len()) / float64(len(targets))
}

// Guards against a target that gets its full share of keys when nothing is known of it, and against one of twenty
// that start together that gets it late or never. Without the condition, an empty target gets its share at once.
func TestKeysMoveToATargetInSteps(t *testing.T) {
	for _, tt := range []struct {
		serviceTime time.Duration
		cold        bool
	}{
		{paceServiceTime, false},
		{paceServiceTime, true},
		{200 * time.Millisecond, false},
	} {
		c := qt.New(t)
		p := newPaceSimulation(60, tt.serviceTime)
		joined := p.join(20, tt.cold)
		if tt.cold {
			p.succeed(time.Second)
			c.Assert(p.fairShare(joined), qt.Equals, 0.0)
			for i, inc := range joined {
				p.announce(inc, 60+i, false)
			}
		}
		p.succeed(900 * time.Millisecond)
		first := p.fairShare(joined)
		c.Assert(first > 0.05, qt.IsTrue, qt.Commentf("%+v: %g of a fair share", tt, first))
		c.Assert(first < 0.3, qt.Equals, tt.serviceTime == paceServiceTime, qt.Commentf("%+v: %g of a fair share", tt, first))
		p.succeed(3 * time.Second)
		for _, inc := range joined {
			c.Assert(p.share(inc.ID) > 0, qt.IsTrue, qt.Commentf("%+v: %s has no keys", tt, inc.ID))
		}
		p.succeed(6 * time.Second)
		last := p.fairShare(joined)
		c.Assert(last > 0.4, qt.IsTrue, qt.Commentf("%+v: %g of a fair share", tt, last))
	}
}

// Guards against a target that never becomes fast, or whose answers all queue so that no host reports them, but gets more
// keys, against keys that move back and forth meanwhile, and against one that gets no keys after it became better.
func TestSlowTargetGetsNoMoreKeysUntilItIsBetter(t *testing.T) {
	for _, slowness := range []float64{3.5, 0} {
		c := qt.New(t)
		p := newPaceSimulation(20, paceServiceTime)
		joined := p.join(1, false)
		moves := p.answer(10*time.Second, joined[0], slowness)
		share := p.fairShare(joined)
		c.Assert(p.lessor.paces[joined[0]].step <= 0.5, qt.IsTrue)
		c.Assert(share > 0 && share < 0.8, qt.IsTrue, qt.Commentf("slowness %g: %g of a fair share", slowness, share))
		c.Assert(moves < 12, qt.IsTrue, qt.Commentf("slowness %g: %d moves", slowness, moves))
		p.succeed(15 * time.Second)
		share = p.fairShare(joined)
		c.Assert(share > 0.3, qt.IsTrue, qt.Commentf("slowness %g: %g of a fair share", slowness, share))
	}
}

// Guards against a new leader that takes all targets for new ones and moves their keys away.
func TestNewLeaderTakesTargetsAsEstablished(t *testing.T) {
	c := qt.New(t)
	p := newPaceSimulation(20, paceServiceTime)
	joined := p.join(1, false)[0]
	p.succeed(600 * time.Millisecond)
	p.lessor = New(p.now, Settings{
		Hold:        simHold,
		CallTimeout: time.Second,
	})
	before := p.share(joined.ID)
	moves := p.succeed(6 * time.Second)
	for inc, pace := range p.lessor.paces {
		c.Assert(pace.ramp.Active(), qt.IsFalse, qt.Commentf("%s", inc.ID))
	}
	c.Assert(p.share(joined.ID) >= before, qt.IsTrue)
	c.Assert(moves <= 2, qt.IsTrue, qt.Commentf("%d moves", moves))
}

// Guards against shares that undo the steps: a target in a ramp whose share is its full one or nearly none, or whose missing
// share the others do not get.
func TestSharesFollowTheSteps(t *testing.T) {
	c := qt.New(t)
	p := newPaceSimulation(20, paceServiceTime)
	p.objectiveOf = func(string) time.Duration { return 2 * paceServiceTime }
	joined := p.join(1, false)[0]
	p.tick()
	p.succeed(300 * time.Millisecond)
	for _, step := range []float64{0.125, 0.25, 0.5, 1} {
		p.lessor.paces[joined].step = step
		targets := p.lessor.targets("tally")
		sums := p.lessor.loadSums("tally")
		c.Assert(p.lessor.setShares("tally", targets, sums), qt.IsTrue)
		total, other := 0.0, 0.0
		for _, tt := range targets {
			total += tt.Share
			if tt.Incarnation != joined {
				other = tt.Share
			}
		}
		for _, tt := range targets {
			if tt.Incarnation == joined {
				c.Assert(math.Abs(tt.Share/other-step) < 0.05*step, qt.IsTrue, qt.Commentf("step %g: %g", step, tt.Share/other))
			}
		}
		load := sums[estimator.Keys]
		c.Assert(math.Abs(total-load) < 0.01*load, qt.IsTrue, qt.Commentf("step %g: %g of %g", step, total, load))
	}
	for range 30 {
		p.lessor.paces[joined].ramp.Start(p.now, ramper.CauseJoined)
		p.lessor.paces[joined].step = 0.125
		p.succeed(300 * time.Millisecond)
	}
	share := p.fairShare([]registrar.Incarnation{joined})
	c.Assert(share > 0 && share < 0.3, qt.IsTrue, qt.Commentf("%g of a fair share", share))
}
