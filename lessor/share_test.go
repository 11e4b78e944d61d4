package lessor

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/apportioner"
	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// The service of the first deployment in docs/load.md, with the load for four slots.
	shareTargets     = 238
	shareSlots       = 4
	sharePerSecond   = 1659
	shareServiceTime = 245 * time.Millisecond
	shareObjective   = 500 * time.Millisecond
	firstHot, hotLen = 20100, 200
)

// shareSimulation is a service on virtual time whose requests arrive at random and are reported late.
type shareSimulation struct {
	planSimulation
	rng *rand.Rand
	// slowness is the true slowness of each target, by ID.
	slowness map[string]float64
	// perSecond is the number of requests a second, and hotShare the share of them for the hot keys.
	perSecond float64
	hotShare  float64
	objective time.Duration
	// slowPeriods says that a fifth of the targets take three times as long for 400 ms at a time.
	slowPeriods bool
	// unreported holds the keys of requests, by the host that reports them.
	unreported [6][]uint16
	// proposed are changes that are committed at commitAt.
	proposed []registrar.Change
	commitAt time.Time
	plans    []PlanMsg
	steps    int
}

// newShareSimulation divides the keys evenly among targets with the given slownesses in turn, by which the targets are rated.
func newShareSimulation(seed uint64, perSecond float64, slownesses ...float64) *shareSimulation {
	s := &shareSimulation{
		planSimulation: *newPlanSimulation(shareTargets),
		rng:            rand.New(rand.NewPCG(seed, 9)),
		slowness:       make(map[string]float64),
		perSecond:      perSecond,
		objective:      shareObjective,
	}
	s.replaceLeader()
	for i := range shareTargets {
		t, _ := s.reg.Target(fmt.Sprintf("t%03d", i))
		s.slowness[t.ID] = slownesses[i%len(slownesses)]
		s.reg = s.reg.Rate([]registrar.Rating{{
			Incarnation: t.Incarnation,
			Slowness:    s.slowness[t.ID],
		}})
	}
	return s
}

// replaceLeader begins a term of a leader that has measured nothing.
func (s *shareSimulation) replaceLeader() {
	s.lessor = New(s.now, Settings{
		Hold:        simHold,
		CallTimeout: time.Second,
	})
	s.e = estimator.Estimator{}
	s.proposed, s.delayedAnswers = nil, nil
}

// run runs the service for d, and returns the number of moves that began.
func (s *shareSimulation) run(d time.Duration) int {
	const step = 25 * time.Millisecond
	moves := 0
	for end := s.now.Add(d); s.now.Before(end); s.steps++ {
		s.now = s.now.Add(step)
		s.arrive(s.perSecond * step.Seconds())
		for len(s.delayedAnswers) > 0 && !s.delayedAnswers[0].arrivesAt.After(s.now) {
			s.lessor.HandleResult(s.now, s.delayedAnswers[0].m)
			s.delayedAnswers = s.delayedAnswers[1:]
		}
		if len(s.proposed) > 0 && !s.now.Before(s.commitAt) {
			for _, c := range s.proposed {
				s.commit(c)
			}
			s.proposed = nil
		}
		e := s.lessor.Tick(s.now, View{
			Registry: s.reg,
			Services: []string{"tally"},
			Out:      func(string) bool { return false },
			Pending:  len(s.proposed) > 0,
			Estimators: map[string]*estimator.Estimator{
				"tally": &s.e,
			},
			Objective: func(string) time.Duration { return s.objective },
		})
		for _, c := range e.Calls {
			s.answerLater(c)
		}
		if len(e.Changes) > 0 {
			s.proposed, s.commitAt = e.Changes, s.now.Add(2*step)
		}
		for _, m := range e.Plans {
			moves += m.Moves
		}
		s.plans = append(s.plans, e.Plans...)
	}
	return moves
}

// arrive adds about n requests, and the report of one host.
func (s *shareSimulation) arrive(n float64) {
	for t := s.rng.ExpFloat64(); t < n; t += s.rng.ExpFloat64() {
		key := uint16(s.rng.IntN(estimator.Keys))
		if s.rng.Float64() < s.hotShare {
			key = uint16(firstHot + s.rng.IntN(hotLen))
		}
		host := s.rng.IntN(len(s.unreported))
		s.unreported[host] = append(s.unreported[host], key)
		r, _ := s.reg.Owner("tally", key)
		// The times of requests vary by a quarter.
		slowness := s.slowness[r.Owner.ID] * (1 + 0.25*s.rng.NormFloat64())
		if s.slowPeriods && len(r.Owner.ID) > 0 && (int64(r.Owner.ID[len(r.Owner.ID)-1])*7+s.now.UnixMilli()/400)%5 == 0 {
			slowness *= 3
		}
		s.e.ObserveSlowness(r.Owner.ID, slowness, 1)
	}
	// Each host reports every 300 ms.
	if s.steps%2 == 0 {
		host := s.steps / 2 % len(s.unreported)
		for _, key := range s.unreported[host] {
			s.e.Add(s.now, key, shareServiceTime)
		}
		s.unreported[host] = s.unreported[host][:0]
	}
}

// answerLater answers grants at once, and releases after 600 ms in one of five cases, if a request for the keys is running. A
// target runs and queues at most 15 requests.
func (s *shareSimulation) answerLater(c CallMsg) {
	if !c.IsRelease() || s.rng.IntN(5) > 0 || s.delayedReleases(c.Incarnation) >= 15 {
		s.answer(c)
		return
	}
	s.delayedAnswers = append(s.delayedAnswers, delayedAnswer{
		arrivesAt: s.now.Add(600 * time.Millisecond),
		m:         succeeded(c),
	})
}

// trueLoads returns the expected load of each target, in busy slots at usual speed, without hot keys.
func (s *shareSimulation) trueLoads() map[string]float64 {
	loads := make(map[string]float64)
	for _, r := range s.reg.RangeList("tally") {
		loads[r.Owner.ID] += (float64(r.To) - float64(r.From) + 1) / estimator.Keys * s.perSecond * shareServiceTime.Seconds()
	}
	return loads
}

// meanResponse returns the expected mean response time of all requests as a multiple of the service time.
func (s *shareSimulation) meanResponse(loads map[string]float64) float64 {
	sum, total := 0.0, 0.0
	for id, load := range loads {
		u := min(0.98, load*s.slowness[id]/shareSlots)
		sum += load * s.slowness[id] * (1 + apportioner.Wait(shareSlots, u))
		total += load
	}
	return sum / total
}

// leastResponse returns the least mean response time.
func (s *shareSimulation) leastResponse() float64 {
	a := apportioner.Apportioner{
		Load: s.perSecond * shareServiceTime.Seconds(),
	}
	var ids []string
	for id, slowness := range s.slowness {
		ids = append(ids, id)
		a.Targets = append(a.Targets, apportioner.Target{
			Slots:    shareSlots,
			Slowness: slowness,
		})
	}
	loads := make(map[string]float64)
	for i, share := range a.Shares() {
		loads[ids[i]] = share
	}
	return s.meanResponse(loads)
}

// Guards against keys that stay with slow targets although fast ones have room, at low, middle and high load, and against
// moves without end. Without shares, the mean response time has to be longer.
func TestKeysMoveToFastTargets(t *testing.T) {
	// The value is how many times the least mean response time it may be after 25 s. Noise matters more at high load.
	for factor, tolerance := range map[float64]float64{0.4: 1.03, 1: 1.04, 1.3: 1.06, 1.6: 1.1} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			c := qt.New(t)
			s := newShareSimulation(1, factor*sharePerSecond, 0.6, 1, 1.4)
			s.run(25 * time.Second)
			got, least := s.meanResponse(s.trueLoads()), s.leastResponse()
			later := s.run(20 * time.Second)
			without := newShareSimulation(1, factor*sharePerSecond, 0.6, 1, 1.4)
			without.objective = 0
			without.run(25 * time.Second)
			today := without.meanResponse(without.trueLoads())
			t.Logf("%.3f service times; least %.3f, without shares %.3f; %d moves later", got, least, today, later)
			c.Check(got < tolerance*least, qt.IsTrue)
			c.Check(got < 0.9*today, qt.IsTrue)
			c.Check(later < shareTargets/2, qt.IsTrue)
		})
	}
}

// Guards against moves because of noise among equal targets, also if their times vary much.
func TestNoiseMovesFewKeysForShares(t *testing.T) {
	for name, tt := range map[string]struct {
		factor      float64
		slowPeriods bool
	}{
		"low load":     {factor: 0.4},
		"usual load":   {factor: 1},
		"slow periods": {factor: 1, slowPeriods: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			s := newShareSimulation(2, tt.factor*sharePerSecond, 1)
			s.slowPeriods = tt.slowPeriods
			if tt.slowPeriods {
				// The estimated slowness of all targets rises from the rated 1 to 1.4 first.
				s.run(30 * time.Second)
			}
			moves := s.run(30 * time.Second)
			t.Logf("%d moves", moves)
			c.Check(moves <= shareTargets/8, qt.IsTrue)
			for _, m := range s.plans {
				c.Check(m.Hot, qt.Equals, 0)
			}
		})
	}
}

// hotExcess returns the part of the load of the hot keys that is above the capacity of their owners.
func (s *shareSimulation) hotExcess() float64 {
	load := make(map[string]float64)
	perKey := s.perSecond * s.hotShare * shareServiceTime.Seconds() / hotLen
	for i := range hotLen {
		r, _ := s.reg.Owner("tally", uint16(firstHot+i))
		load[r.Owner.ID] += perKey
	}
	excess := 0.0
	for id, l := range load {
		excess += max(0, l-shareSlots/s.slowness[id])
	}
	return excess / (perKey * hotLen)
}

// Guards against hot keys that stay with one target for seconds: 200 neighbouring keys get a quarter or two fifths of all
// requests. A leader that was elected after that has no earlier load to compare with and takes longer.
func TestHotSpanIsSplitWithinASecondAndAHalf(t *testing.T) {
	for name, tt := range map[string]struct {
		share      float64
		leaderLost bool
		allowed    time.Duration
	}{
		"0.4 busy slots a key":       {share: 0.26, allowed: 1500 * time.Millisecond},
		"two fifths of the requests": {share: 0.4, allowed: 1500 * time.Millisecond},
		"leader lost":                {share: 0.4, allowed: 4500 * time.Millisecond, leaderLost: true},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			const seeds = 4
			excess := 0.0
			for seed := range uint64(seeds) {
				s := newShareSimulation(seed, sharePerSecond, 0.6, 1, 1.4)
				s.run(20 * time.Second)
				s.hotShare = tt.share
				if tt.leaderLost {
					s.run(100 * time.Millisecond)
					s.replaceLeader()
				}
				s.run(tt.allowed)
				excess += s.hotExcess() / seeds
			}
			t.Logf("%.3f of the hot load", excess)
			c.Check(excess < 0.05, qt.IsTrue)
		})
	}
}

// Guards against a target that keeps its keys after it became slow.
func TestKeysLeaveATargetThatBecomesSlow(t *testing.T) {
	c := qt.New(t)
	s := newShareSimulation(4, sharePerSecond, 0.6, 1, 1.4)
	s.run(20 * time.Second)
	before := s.trueLoads()["t001"]
	s.slowness["t001"] = 3
	s.run(20 * time.Second)
	after := s.trueLoads()["t001"]
	c.Check(after < 0.6*before, qt.IsTrue, qt.Commentf("%.2f, was %.2f", after, before))
}
