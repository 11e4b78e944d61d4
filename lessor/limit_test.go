package lessor

import (
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

// runAtRandom runs the lessor for d with so many requests a second for random keys. It returns the number of requests for
// keys of targets with a limit, a second, and the number of releases.
func (p *planSimulation) runAtRandom(rng *rand.Rand, d time.Duration, perSecond int, serviceTime time.Duration) (limited float64, releases int) {
	const step = 50 * time.Millisecond
	n := 0
	for end := p.now.Add(d); p.now.Before(end); {
		p.now = p.now.Add(step)
		for range perSecond * int(step) / int(time.Second) {
			key := uint16(rng.IntN(estimator.Keys))
			p.e.Add(p.now, key, serviceTime)
			r, _ := p.reg.Owner("tally", key)
			if t, ok := p.reg.Target(r.Owner.ID); ok && t.Limit != nil {
				n++
			}
		}
		e := p.tick()
		for _, call := range e.Calls {
			p.answer(call)
		}
		for _, change := range e.Changes {
			if change.Release != nil {
				releases += len(change.Release.Spans)
			}
			p.commit(change)
		}
	}
	return float64(n) / d.Seconds(), releases
}

// Guards against a target with a limit that keeps the keys whose requests it does not take, and against keys that move back
// and forth: they leave in three seconds, what stays is close to the limit, and nothing moves any more, at a limit of zero
// too.
func TestKeysLeaveATargetWithALimit(t *testing.T) {
	const targets, perSecond, serviceTime = 20, 340, 100 * time.Millisecond
	for name, limit := range map[string]float64{
		"half":    8,
		"third":   6,
		"nothing": 0,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(27, 1))
			p := newPlanSimulation(targets)
			p.e = estimator.Estimator{}
			p.runAtRandom(rng, 4*time.Second, perSecond, serviceTime)
			for _, id := range []string{"t003", "t011"} {
				tg, _ := p.reg.Target(id)
				p.reg = p.reg.Limit([]registrar.StatedLimit{{
					Incarnation: tg.Incarnation,
					Limit:       &limit,
				}})
			}
			p.runAtRandom(rng, 3*time.Second, perSecond, serviceTime)
			got, moves := p.runAtRandom(rng, 20*time.Second, perSecond, serviceTime)
			c.Assert(got <= 2*max(limit, 1), qt.IsTrue, qt.Commentf("%.1f requests a second at two targets", got))
			c.Assert(limit == 0 || got >= limit/2, qt.IsTrue, qt.Commentf("%.1f requests a second at two targets", got))
			c.Assert(moves <= targets, qt.IsTrue, qt.Commentf("%d moves in 20 s", moves))
		})
	}
}
