package delegator

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
)

// simulation is a control leader with hosts that send it heartbeats, on virtual time. Authorities release at once what the
// leader asks for.
type simulation struct {
	d     *Delegator
	cfg   *configurer.Config
	state *applier.State
	now   time.Time
	hosts map[string]applier.Host
}

func newSimulation(slots int) *simulation {
	svc := configurer.DefaultService("tally")
	svc.Keyed, svc.Slots = true, slots
	s := &simulation{
		cfg: &configurer.Config{
			Version:  1,
			Timing:   configurer.DefaultTiming(),
			Services: []configurer.Service{svc},
		},
		state: &applier.State{},
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		hosts: make(map[string]applier.Host),
	}
	s.d = &Delegator{
		Config: func() *configurer.Config { return s.cfg },
	}
	s.d.Lead(s.now)
	return s
}

func (s *simulation) apply(cmd applier.Command) {
	s.state, _ = s.state.Apply(s.state.Index+1, cmd)
}

// place lets a host run in a data centre, as a new process if it ran elsewhere before.
func (s *simulation) place(name, dataCentre string) {
	s.hosts[name] = applier.Host{
		Name:        name,
		Incarnation: s.hosts[name].Incarnation + 1,
		DataCentre:  dataCentre,
	}
}

func (s *simulation) run(length time.Duration) {
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		for _, cmd := range s.d.Tick(s.now, s.state) {
			s.apply(cmd)
		}
		for _, h := range s.hosts {
			m := HeartbeatMsg{
				Host: h,
			}
			if dc := s.state.DataCentres[h.DataCentre]; dc.Authority == h.Name && dc.AuthorityIncarnation == h.Incarnation {
				m.AuthorityIndex, m.Ready = dc.AuthorityIndex, true
				m.InService = map[string]int{
					"tally": 4,
				}
			}
			reply := s.d.Heartbeat(s.now, m)
			s.release(h.DataCentre, reply)
		}
	}
}

// release commits that slots which the leader asked for have no owner any more.
func (s *simulation) release(dataCentre string, reply HeartbeatReply) {
	for service, slots := range reply.Yield {
		msg := applier.AssignMsg{
			DataCentre:     dataCentre,
			AuthorityIndex: s.state.DataCentres[dataCentre].AuthorityIndex,
			Service:        service,
		}
		for _, slot := range slots {
			e, _ := s.state.Slots[service].Entry(slot)
			msg.Owners = append(msg.Owners, applier.OwnerChange{
				Slot:  slot,
				Epoch: e.Epoch + 1,
			})
		}
		s.apply(applier.Command{
			Assign: &msg,
		})
	}
}

// own commits that the first slot of a data centre has an owner, so that the slot may not move before its hold is over.
func (s *simulation) own(dataCentre string) {
	for i := range s.cfg.Services[0].Slots {
		e, ok := s.state.Slots["tally"].Entry(keyer.Slot(i))
		if !ok || e.DataCentre != dataCentre {
			continue
		}
		s.apply(applier.Command{
			Assign: &applier.AssignMsg{
				DataCentre:     dataCentre,
				AuthorityIndex: s.state.DataCentres[dataCentre].AuthorityIndex,
				Service:        "tally",
				Owners: []applier.OwnerChange{{
					Slot:   keyer.Slot(i),
					Target: "t1",
					Epoch:  e.Epoch + 1<<40,
				}},
			},
		})
		return
	}
}

// Guards against a control leader that panics when a slot is delegated to a data centre without hosts.
func TestSlotsOfAVanishedDataCentreAreDelegatedElsewhere(t *testing.T) {
	c := qt.New(t)
	s := newSimulation(16)
	s.place("h1", "a")
	s.place("h2", "b")
	s.run(10 * time.Second)
	s.own("b")
	s.place("h2", "a")
	s.run(s.cfg.MaxCutOffHold() + time.Minute)
	for i := range 16 {
		e, _ := s.state.Slots["tally"].Entry(keyer.Slot(i))
		c.Assert(e.DataCentre, qt.Equals, "a", qt.Commentf("slot %d", i))
	}
}

// Guards against panics of the control leader in deployments from which hosts and whole data centres vanish and to which
// they return, and against slots that stay with a data centre that is gone for good.
func TestDelegatorSurvivesVanishingHosts(t *testing.T) {
	for seed := range uint64(20) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			c := qt.New(t)
			rng := rand.New(rand.NewPCG(seed, 28))
			s := newSimulation(32)
			for i := range 5 {
				s.place(fmt.Sprint("h", i), string(rune('a'+i%3)))
			}
			for range 30 {
				name := fmt.Sprint("h", rng.IntN(5))
				switch rng.IntN(5) {
				case 0:
					s.place(name, string(rune('a'+rng.IntN(4))))
				case 1:
					delete(s.hosts, name)
				case 2:
					s.own(string(rune('a' + rng.IntN(4))))
				case 3:
					s.d.Lead(s.now)
				}
				s.run(time.Duration(rng.Int64N(int64(8 * time.Second))))
			}
			for i := range 5 {
				s.place(fmt.Sprint("h", i), "a")
			}
			s.run(2*s.cfg.MaxCutOffHold() + 2*time.Minute)
			for i := range 32 {
				e, _ := s.state.Slots["tally"].Entry(keyer.Slot(i))
				c.Assert(e.DataCentre, qt.Equals, "a", qt.Commentf("slot %d", i))
			}
		})
	}
}
