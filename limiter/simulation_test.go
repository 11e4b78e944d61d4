package limiter

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/viewer"
)

// simulation is a number of hosts that send to one target with a limit, and the control leader, on virtual time.
type simulation struct {
	rng   *rand.Rand
	now   time.Time
	limit float64
	// registry is that of the leader, and of the views of all hosts.
	registry registrar.Registry
	hosts    []*Limiter
	issuer   issuer.Issuer
	// cut holds the hosts that cannot reach the leader.
	cut  map[int]bool
	sent []time.Time
}

func newSimulation(seed uint64, hosts int, limit float64) *simulation {
	s := &simulation{
		rng:   rand.New(rand.NewPCG(seed, 27)),
		now:   start,
		limit: limit,
		cut:   make(map[int]bool),
	}
	s.registry = s.registry.Announce(1, registrar.Target{
		Incarnation: incarnation("i-1"),
		Addr:        netip.MustParseAddrPort("10.0.0.1:80"),
	}).Limit([]registrar.StatedLimit{{
		Incarnation: incarnation("i-1"),
		Limit:       &limit,
	}})
	for rank := range hosts {
		s.hosts = append(s.hosts, s.newHost(hosts, rank))
	}
	return s
}

func (s *simulation) newHost(hosts, rank int) *Limiter {
	l := newLimiter(hosts, rank, &bytes.Buffer{})
	l.now = func() time.Time { return s.now }
	l.opts.Ask = func(_ context.Context, m issuer.AskMsg) (issuer.IssueMsg, error) {
		if s.cut[rank] {
			return issuer.IssueMsg{}, errors.New("cut off")
		}
		return s.issuer.Issue(s.now, s.registry, m), nil
	}
	return l
}

// send sends one request through a host. An answer states the limit to it at once.
func (s *simulation) send(host int) {
	tg := &viewer.Target{
		Incarnation: incarnation("i-1"),
		Limit:       &s.limit,
	}
	l := s.hosts[host]
	if l.Take(context.Background(), tg, Request{}) != nil {
		return
	}
	s.sent = append(s.sent, s.now)
	l.Observe(tg.Incarnation, "desk", stated(s.limit))
}

// busiestWindow returns the greatest number of requests in any 4 s.
func (s *simulation) busiestWindow() int {
	most, first := 0, 0
	for i, at := range s.sent {
		for at.Sub(s.sent[first]) >= shareWindow {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against more requests than the target states, summed over all hosts, in any 4 s: at few and many hosts, with
// callers at all hosts, at one, or moving from one to the next, while hosts restart or are cut off and leaders change. And
// against a limit of which much is left unused without such faults.
func TestAllHostsTogetherKeepTheLimit(t *testing.T) {
	const length, rate = 60 * time.Second, 60
	for _, hosts := range []int{1, 8, 100} {
		for _, limit := range []float64{0, 0.7, 6, 20} {
			for _, pattern := range []string{"even", "one host", "moving", "faults"} {
				t.Run(fmt.Sprintf("%d hosts, limit %g, %s", hosts, limit, pattern), func(t *testing.T) {
					c := qt.New(t)
					s := newSimulation(1, hosts, limit)
					for s.now.Before(start.Add(length)) {
						s.now = s.now.Add(time.Duration(s.rng.ExpFloat64() * float64(time.Second) / rate))
						host := s.rng.IntN(hosts)
						switch pattern {
						case "one host":
							host = 0
						case "moving":
							host = int(s.now.Sub(start)/(3*time.Second)) % hosts
						case "faults":
							s.fault()
						}
						s.send(host)
					}
					most := s.busiestWindow()
					// The users' rule allows one and a half times the limit, and five requests.
					c.Assert(float64(most) <= 1.5*limit*shareWindow.Seconds()+5, qt.IsTrue, qt.Commentf("%d in 4 s", most))
					if pattern != "faults" {
						used := float64(len(s.sent)) / length.Seconds()
						c.Assert(used >= 0.7*limit, qt.IsTrue, qt.Commentf("%.2f a second", used))
						c.Assert(used <= max(limit, 2*issuer.MinRate), qt.IsTrue, qt.Commentf("%.2f a second", used))
					}
				})
			}
		}
	}
}

// fault sometimes restarts or cuts off a host, or replaces the leader.
func (s *simulation) fault() {
	host := s.rng.IntN(len(s.hosts))
	switch s.rng.IntN(300) {
	case 0:
		s.hosts[host] = s.newHost(len(s.hosts), host)
	case 1, 2:
		s.cut[host] = !s.cut[host]
	case 3:
		s.issuer.Reset()
	}
}
