package lessor

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

const paceServiceTime = 250 * time.Millisecond

// paceSimulation is a service with long requests whose targets join.
type paceSimulation struct {
	*planSimulation
	rng *rand.Rand
	// perSecond is the number of requests a second.
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
	p.answer(4*time.Second, nil)
	return p
}

// join announces n more targets.
func (p *paceSimulation) join(n int, cold bool) []registrar.Incarnation {
	var joined []registrar.Incarnation
	for range n {
		i := p.reg.Targets().Len()
		t := registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   "u" + string(rune('a'+i%26)) + string(rune('a'+i/26)),
				Born: p.now,
			},
			Service:  "tally",
			Addr:     testAddr(i),
			Slots:    4,
			Cold:     cold,
			Slowness: 1,
		}
		p.commit(registrar.Change{
			Announce: &t,
		})
		joined = append(joined, t.Incarnation)
	}
	return joined
}

// answer runs the lessor for d. Each target answers the requests for its keys, at the slowness that slowness returns; nil
// stands for 1, zero for no answer. It returns the number of moves.
func (p *paceSimulation) answer(d time.Duration, slowness func(id string) float64) int {
	moves := 0
	for end := p.now.Add(d); p.now.Before(end); {
		_, n := p.runAtRandom(p.rng, 300*time.Millisecond, p.perSecond, p.serviceTime)
		moves += n
		for id := range p.reg.Targets().All() {
			s := 1.0
			if slowness != nil {
				s = slowness(id)
			}
			p.e.ObserveSlowness(id, s, int(p.share(id)*float64(p.perSecond)*0.3+p.rng.Float64()))
		}
	}
	return moves
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

// slow returns the slowness s for the given target and 1 for the others.
func slow(inc registrar.Incarnation, s float64) func(id string) float64 {
	return func(id string) float64 {
		if id == inc.ID {
			return s
		}
		return 1
	}
}

// Guards against a target that gets its full share of keys when nothing is known of it, and against one that gets it late or
// never. Without the condition on the service time, an empty target gets its share at once.
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
		p := newPaceSimulation(20, tt.serviceTime)
		joined := p.join(4, tt.cold)
		if tt.cold {
			p.answer(time.Second, nil)
			c.Assert(p.fairShare(joined), qt.Equals, 0.0)
			for _, inc := range joined {
				warm, _ := p.reg.Target(inc.ID)
				warm.Cold, warm.Seq = false, 1
				p.commit(registrar.Change{
					Announce: &warm,
				})
			}
		}
		p.answer(900*time.Millisecond, nil)
		first := p.fairShare(joined)
		c.Assert(first > 0.05, qt.IsTrue, qt.Commentf("%+v: %g of a fair share", tt, first))
		c.Assert(first < 0.3, qt.Equals, tt.serviceTime == paceServiceTime, qt.Commentf("%+v: %g of a fair share", tt, first))
		p.answer(8*time.Second, nil)
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
		moves := p.answer(10*time.Second, slow(joined[0], slowness))
		share := p.fairShare(joined)
		c.Assert(share > 0, qt.IsTrue)
		c.Assert(p.lessor.paces[joined[0]].step <= 0.5, qt.IsTrue)
		c.Assert(share < 0.8, qt.IsTrue, qt.Commentf("slowness %g: %g of a fair share", slowness, share))
		c.Assert(moves < 12, qt.IsTrue, qt.Commentf("slowness %g: %d moves", slowness, moves))
		p.answer(15*time.Second, nil)
		share = p.fairShare(joined)
		c.Assert(share > 0.3, qt.IsTrue, qt.Commentf("slowness %g: %g of a fair share", slowness, share))
	}
}

// Guards against targets that start together and of which some stay without keys.
func TestTwentyTargetsThatStartTogetherAreFilled(t *testing.T) {
	c := qt.New(t)
	p := newPaceSimulation(60, paceServiceTime)
	joined := p.join(20, false)
	p.answer(3*time.Second, nil)
	for _, inc := range joined {
		c.Assert(p.share(inc.ID) > 0, qt.IsTrue, qt.Commentf("%s has no keys", inc.ID))
	}
	p.answer(9*time.Second, nil)
	total := 0.0
	for _, inc := range joined {
		total += p.share(inc.ID)
	}
	c.Assert(total > 0.15, qt.IsTrue, qt.Commentf("they have %g of the keys", total))
}

// Guards against a new leader that takes all targets for new ones and moves their keys away.
func TestNewLeaderTakesTargetsAsEstablished(t *testing.T) {
	c := qt.New(t)
	p := newPaceSimulation(20, paceServiceTime)
	joined := p.join(1, false)[0]
	p.answer(600*time.Millisecond, nil)
	p.lessor = New(p.now, Settings{
		Hold:        simHold,
		CallTimeout: time.Second,
	})
	before := p.share(joined.ID)
	moves := p.answer(6*time.Second, nil)
	for inc, pace := range p.lessor.paces {
		c.Assert(pace.ramp.Active(), qt.IsFalse, qt.Commentf("%s", inc.ID))
	}
	c.Assert(p.share(joined.ID) >= before, qt.IsTrue)
	c.Assert(moves <= 2, qt.IsTrue, qt.Commentf("%d moves", moves))
}
