package issuer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/registrar"
)

var start = time.Unix(1000, 0)

var inc = registrar.Incarnation{
	ID:   "i-1",
	Born: time.UnixMilli(1).UTC(),
}

// registry returns a registry with one target and the limit that is committed for it.
func registry(limit *float64) registrar.Registry {
	var r registrar.Registry
	r = r.Announce(1, registrar.Target{
		Incarnation: inc,
		Service:     "desk",
		Addr:        netip.MustParseAddrPort("10.0.0.1:80"),
	})
	return r.Limit([]registrar.StatedLimit{{
		Incarnation: inc,
		Limit:       limit,
	}})
}

func number(n float64) *float64 { return &n }

func statement(limit *float64, age time.Duration) StatedMsg {
	m := StatedMsg{
		Target: inc,
		Stated: limit != nil,
		Age:    age,
	}
	if limit != nil {
		m.Limit = *limit
	}
	return m
}

// ask returns a message that asks for n tokens and can wait for none.
func ask(limit *float64, n int) AskMsg {
	return AskMsg{
		StatedMsg: statement(limit, 0),
		Heard:     true,
		MaxDelays: make([]time.Duration, n),
	}
}

// issued returns the delays of the tokens in m that are issued.
func issued(m IssueMsg) []time.Duration {
	return slices.DeleteFunc(m.Delays, func(d time.Duration) bool { return d == Refused })
}

// Guards against more tokens than the limit allows in any 4 s, at few and many hosts, with traffic that sits at one host or
// moves, while leaders follow each other and the limit rises and falls.
func TestTokensStayWithinTheLimit(t *testing.T) {
	for _, hosts := range []int{1, 8, 100} {
		for seed := range uint64(20) {
			t.Run(fmt.Sprintf("%d hosts, seed %d", hosts, seed), func(t *testing.T) {
				c := qt.New(t)
				rng := rand.New(rand.NewPCG(seed, 27))
				const window = 4 * time.Second
				limit := 0.2 + 12*rng.Float64()
				var s Issuer
				var used []time.Time
				// maxLimit is the greatest limit of the last window.
				maxLimit, changedAt := limit, start
				for at := start; at.Before(start.Add(40 * time.Second)); at = at.Add(time.Duration(rng.Int64N(int64(2 * time.Second / time.Duration(30+hosts))))) {
					switch {
					case rng.IntN(400) == 0:
						s = Issuer{}
					case rng.IntN(400) == 0 && at.Sub(changedAt) > window+time.Second:
						limit = 12 * rng.Float64()
						maxLimit, changedAt = max(limit, maxLimit), at
					case at.Sub(changedAt) > window+time.Second:
						maxLimit = limit
					}
					m := ask(&limit, 1+rng.IntN(3))
					for i := range m.MaxDelays {
						m.MaxDelays[i] = time.Duration(rng.Int64N(int64(200 * time.Millisecond)))
					}
					for _, delay := range issued(s.Issue(at, registry(nil), m)) {
						used = append(used, at.Add(delay))
					}
					n := 0
					for _, u := range used {
						if at.Sub(u) < window && !u.After(at) {
							n++
						}
					}
					allowed := max(MinRate, (1-FixedShare)*maxLimit)*(window+200*time.Millisecond).Seconds() + 2 + maxLimit*burstTime.Seconds()
					c.Assert(float64(n) <= allowed, qt.IsTrue, qt.Commentf("%d tokens in %s at a limit of %g", n, window, maxLimit))
				}
			})
		}
	}
}

// Guards against a new leader that issues what the one before has issued already.
func TestNewLeaderBeginsWithoutTokens(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	c.Assert(issued(s.Issue(start, registry(nil), ask(number(6), 10))), qt.HasLen, 0)
	c.Assert(len(issued(s.Issue(start.Add(10*time.Second), registry(nil), ask(number(6), 10)))) > 0, qt.IsTrue)
	s.Reset()
	c.Assert(issued(s.Issue(start.Add(20*time.Second), registry(nil), ask(number(6), 10))), qt.HasLen, 0)
}

// Guards against a leader that ignores a limit which it knows only from the registry.
func TestLimitOfTheRegistryBinds(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	m := AskMsg{
		StatedMsg: StatedMsg{
			Target: inc,
		},
		MaxDelays: make([]time.Duration, 10),
	}
	c.Assert(issued(s.Issue(start, registry(number(6)), m)), qt.HasLen, 0)
	var without Issuer
	c.Assert(issued(without.Issue(start, registry(nil), m)), qt.HasLen, 10)
}

// Guards against a less urgent request that takes the token for which an urgent one can wait.
func TestRequestsThatCanWaitLongerAreServedFirst(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	counts := map[time.Duration]int{}
	for at := start; at.Before(start.Add(20 * time.Second)); at = at.Add(100 * time.Millisecond) {
		for _, maxDelay := range []time.Duration{100 * time.Millisecond, 400 * time.Millisecond} {
			m := ask(number(8), 0)
			m.MaxDelays = []time.Duration{maxDelay}
			counts[maxDelay] += len(issued(s.Issue(at, registry(nil), m)))
		}
	}
	c.Assert(counts[400*time.Millisecond] > 10*counts[100*time.Millisecond], qt.IsTrue, qt.Commentf("%v", counts))
	c.Assert(counts[400*time.Millisecond] > 110, qt.IsTrue, qt.Commentf("%v", counts))
}

// Guards against refused callers that all return at once: the more there are, the longer they are told to spread.
func TestRefusedCallersSpread(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	few := s.Issue(start, registry(nil), ask(number(6), 1))
	many := s.Issue(start, registry(nil), ask(number(6), 6))
	c.Assert(few.Wait > 0 && few.Wait < time.Second, qt.IsTrue, qt.Commentf("%s", few.Wait))
	c.Assert(many.Spread > 4*few.Spread, qt.IsTrue, qt.Commentf("%s, %s", few.Spread, many.Spread))
	c.Assert(s.Issue(start, registry(nil), ask(number(6), 200)).Spread, qt.Equals, maxSpread)
}

// Guards against commits that are missing, repeated or undone by a report that was late.
func TestLimitsAreCommittedWhenTheyChange(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	reg := registry(nil)
	commit := func(now time.Time) string {
		changes := s.Changes(now, reg)
		reg = reg.Limit(changes)
		if len(changes) == 0 {
			return "nothing"
		}
		if changes[0].Limit == nil {
			return "none"
		}
		return fmt.Sprint(*changes[0].Limit)
	}
	c.Assert(commit(start), qt.Equals, "nothing")
	s.Observe(start, statement(number(6.3), 0))
	c.Assert(commit(start), qt.Equals, "6.3")
	c.Assert(counters.Get("limits").String()+" "+counters.Get("targets").String(), qt.Equals, "6.3 1")
	c.Assert(commit(start), qt.Equals, "nothing")
	s.Observe(start.Add(time.Second), statement(nil, 0))
	c.Assert(commit(start.Add(time.Second)), qt.Equals, "none")
	s.Observe(start.Add(time.Second), statement(number(6.3), 500*time.Millisecond))
	c.Assert(commit(start.Add(time.Second)), qt.Equals, "nothing")
	s.Observe(start.Add(2*time.Second), statement(number(5), 0))
	c.Assert(commit(start.Add(2*time.Second)), qt.Equals, "5")
	c.Assert(commit(start.Add(2*time.Second+expiry)), qt.Equals, "nothing")
	c.Assert(commit(start.Add(3*time.Second+expiry)), qt.Equals, "none")
}

// Guards against state that grows: targets that are gone are forgotten, and one command stays small.
func TestIssuerIsBounded(t *testing.T) {
	c := qt.New(t)
	var s Issuer
	var reg registrar.Registry
	for i := range 2 * maxChanges {
		id := registrar.Incarnation{
			ID:   fmt.Sprint(i),
			Born: time.UnixMilli(1).UTC(),
		}
		reg = reg.Announce(uint64(i+1), registrar.Target{
			Incarnation: id,
			Addr:        netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 256), byte(i)}), 80),
		})
		s.Observe(start, StatedMsg{
			Target: id,
			Stated: true,
			Limit:  6,
		})
	}
	c.Assert(s.Changes(start, reg), qt.HasLen, maxChanges)
	c.Assert(s.Changes(start, registrar.Registry{}), qt.HasLen, 0)
	c.Assert(len(s.targets), qt.Equals, 0)
}

// BenchmarkIssue measures one question for a token, with so many targets that state a limit.
func BenchmarkIssue(b *testing.B) {
	for _, targets := range []int{1, 1000} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			var s Issuer
			for i := range targets {
				s.Observe(start, StatedMsg{
					Target: registrar.Incarnation{
						ID: fmt.Sprint(i),
					},
					Stated: true,
					Limit:  6,
				})
			}
			m := ask(number(6), 1)
			m.Target.ID = "0"
			reg := registry(nil)
			now := start
			for b.Loop() {
				now = now.Add(time.Millisecond)
				s.Issue(now, reg, m)
			}
		})
	}
}
