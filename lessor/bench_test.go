package lessor

import (
	"fmt"
	"testing"
	"time"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/registrar"
)

// BenchmarkTick measures one tick of a leader with the targets and ranges of a large service whose keys are all held.
func BenchmarkTick(b *testing.B) {
	const targets, ranges = 990, 3200
	now := time.Unix(1000, 0)
	var reg registrar.Registry
	var incarnations []registrar.Incarnation
	for i := range targets {
		t := registrar.Target{
			Incarnation: registrar.Incarnation{
				ID:   fmt.Sprintf("i-%08x", i*7919),
				Born: now,
			},
			Service: "tally",
			Addr:    testAddr(i),
			Slots:   4,
		}
		incarnations = append(incarnations, t.Incarnation)
		reg = reg.Announce(uint64(i+1), t)
	}
	var grants []registrar.Grant
	for i := range ranges {
		grants = append(grants, registrar.Grant{
			From:  uint16(i * 65536 / ranges),
			To:    uint16((i+1)*65536/ranges - 1),
			Owner: incarnations[i%targets],
		})
	}
	reg = reg.Grant(1, "tally", grants)
	l := New(now, Settings{
		Hold: simHold,
	})
	view := View{
		Registry:   reg,
		Services:   []string{"tally"},
		Out:        func(string) bool { return false },
		Estimators: map[string]*estimator.Estimator{},
	}
	var calls int
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Millisecond)
		e := l.Tick(now, view)
		calls += len(e.Calls)
		for _, c := range e.Calls {
			l.HandleResult(now, CallResultMsg{
				Call:     c,
				Answered: true,
				OK:       true,
			})
		}
	}
	b.ReportMetric(float64(calls)/float64(b.N), "calls/op")
}
