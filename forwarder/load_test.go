package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/prioritizer"
)

// slow returns a fixture whose keyed service answers slowly, with the given demand by priority at four slots.
func slow(c *qt.C, demand ...float64) *fixture {
	b := newFixture(c)
	b.putTable()
	// The answers of the test itself are fast.
	for range maxClassified {
		b.f.serviceLoad("tally").observe(10 * classifier.MinServiceTime)
	}
	// Requests can wait for so long that 8 slots are usable.
	b.table.Routes[2].Timeout = time.Minute
	b.f.opts.Demand = func(string) (byPriority []prioritizer.Demand, age time.Duration, ok bool) {
		for i, d := range demand {
			byPriority = append(byPriority, prioritizer.Demand{
				Priority: i,
				Work:     d,
			})
		}
		return byPriority, 0, true
	}
	return b
}

func (b *fixture) timedSend(header ...string) (*acceptor.Answer, time.Duration) {
	start := time.Now()
	a := b.send(context.Background(), http.MethodPost, "/tally/1", append([]string{testKey, "7"}, header...)...)
	return a, time.Since(start)
}

// Guards against less urgent requests that are served in a burst above capacity while urgent ones are not, against refusals by
// priority that wait or reach a target, and against callers that are told to return together or later than they can.
func TestPriorityRefusesAtOnceAndSpreadsCallers(t *testing.T) {
	c := qt.New(t)
	b := slow(c, 2, 10)
	b.table.Routes[2].Priority = 1
	var n atomic.Int32
	b.target("a", "tally", answerWith(&n, "done"))
	b.own("tally", "a")
	delays := make(map[string]bool)
	refused := 0
	for i := range 200 {
		left := 600 + 2400*(i%2)
		a, took := b.timedSend(testDeadline, strconv.Itoa(left))
		if a.Status != http.StatusServiceUnavailable {
			continue
		}
		refused++
		delays[a.Header.Get("Retry-After")] = true
		delay, err := strconv.ParseFloat(a.Header.Get("Retry-After"), 64)
		c.Assert(err, qt.IsNil)
		c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		c.Check(delay >= 0.09 && delay <= float64(left)/3000+0.01, qt.IsTrue, qt.Commentf("%v of %v", delay, left))
	}
	c.Assert(int(n.Load())+refused, qt.Equals, 200)
	// Demand is 12 slots, of which 2 go to priority 0: 0.6 of the others are admitted.
	c.Assert(n.Load() >= 120 && n.Load() <= 121, qt.IsTrue, qt.Commentf("%d", n.Load()))
	c.Assert(len(delays) >= 20, qt.IsTrue, qt.Commentf("%d", len(delays)))
}

// Guards against refusals that serve nobody else: at a service of one priority, and in a wave that targets can queue.
func TestNothingIsRefusedWithoutCompetition(t *testing.T) {
	for name, demand := range map[string][]float64{
		"one priority":   {0, 20},
		"wave":           {3, 3},
		"no information": nil,
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			b := slow(c, demand...)
			b.table.Routes[2].Priority = 1
			var n atomic.Int32
			b.target("a", "tally", answerWith(&n, "done"))
			b.own("tally", "a")
			for range 50 {
				a, _ := b.timedSend(testDeadline, "3000")
				c.Assert(a.Status, qt.Equals, http.StatusOK)
			}
		})
	}
}
