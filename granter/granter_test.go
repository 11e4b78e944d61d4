package granter

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/reporter"
)

// harness runs an authority with two hosts and their targets; commands are committed at once.
type harness struct {
	granter   *Granter
	state     *applier.State
	cfg       *configurer.Config
	now       time.Time
	versions  [2]uint64
	targets   []reporter.TargetMsg
	hosts     map[string]string
	owners    map[keyer.Slot]string
	moves     int
	releasing map[keyer.Slot]time.Time
	answers   []reporter.GrantMsg
	loads     []reporter.LoadMsg
	// noLinks says that host 0 reports that it has lost its links to targets.
	noLinks bool
}

func newHarness(targets, slots int) *harness {
	asserter.SetFatal(true)
	svc := configurer.DefaultService("tally")
	svc.Keyed, svc.Slots = true, slots
	r := &harness{
		granter: &Granter{DataCentre: "a", Host: "h0", Incarnation: 1}, state: &applier.State{},
		cfg:   &configurer.Config{Version: 1, Timing: configurer.DefaultTiming(), Services: []configurer.Service{svc}},
		now:   time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		hosts: map[string]string{}, owners: map[keyer.Slot]string{}, releasing: map[keyer.Slot]time.Time{},
	}
	for i := range 2 {
		r.apply(applier.Command{RegisterHost: &applier.RegisterHostMsg{Host: applier.Host{Name: fmt.Sprint("h", i), Incarnation: 1, DataCentre: "a"}}})
	}
	all := make([]keyer.Slot, slots)
	for i := range all {
		all[i] = keyer.Slot(i)
	}
	r.apply(applier.Command{NameAuthority: &applier.NameAuthorityMsg{DataCentre: "a", Host: "h0", Incarnation: 1}})
	r.apply(applier.Command{Delegate: &applier.DelegateMsg{Service: "tally", DataCentre: "a", Slots: all}})
	for i := range targets {
		r.targets = append(r.targets, reporter.TargetMsg{Name: fmt.Sprintf("t%04d", i), Service: "tally", Incarnation: 1, Lapsed: true})
	}
	return r
}

func (r *harness) apply(cmd applier.Command) applier.Result {
	next, result := r.state.Apply(r.state.Index+1, cmd)
	r.state = next
	return result
}

func (r *harness) update(msg any) {
	for _, e := range r.granter.Update(r.now, msg) {
		switch e := e.(type) {
		case ProposeMsg:
			result := r.apply(e.Command)
			r.update(ProposedMsg{RequestID: e.Command.RequestID, Result: result})
		case reporter.GrantMsg:
			r.answers = append(r.answers, e)
		}
	}
}

// hostReport returns the report of host i. Each target sends heartbeats to its dispatching host and releases slots as
// requested.
func (r *harness) hostReport(i int) reporter.ReportMsg {
	name := fmt.Sprint("h", i)
	m := reporter.ReportMsg{Host: name, Incarnation: 1, TableVersion: r.versions[i], Loads: r.loads, NoLinks: r.noLinks && i == 0}
	for n, t := range r.targets {
		host, ok := r.hosts[t.Name]
		if ok && host != name || !ok && n%2 != i {
			continue
		}
		t.Lapsed = t.Lapsed && (!ok || t.HeardAgo > 0)
		for s := range r.releasing {
			if r.owners[s] == t.Name {
				t.Released = append(t.Released, s)
			}
		}
		m.Targets = append(m.Targets, t)
	}
	return m
}

func (r *harness) step() {
	r.now = r.now.Add(50 * time.Millisecond)
	r.update(LeaseMsg{AuthorityIndex: r.granter.Index(), Asked: r.now, TTL: 900 * time.Millisecond})
	r.update(TickMsg{State: r.state, Config: r.cfg})
	for i := range 2 {
		r.answers = nil
		r.update(r.hostReport(i))
		a := r.answers[0]
		r.versions[i] = a.TableVersion
		for _, t := range a.Targets {
			r.hosts[t.Name] = t.Host
			if t.Gone || t.Host == "" {
				delete(r.hosts, t.Name)
			}
		}
		for _, s := range a.Slots {
			if s.Releasing {
				r.releasing[s.Slot] = time.Time{}
			} else {
				delete(r.releasing, s.Slot)
			}
			if old := r.owners[s.Slot]; s.Target != "" && old != s.Target {
				r.owners[s.Slot] = s.Target
				r.moves++
			}
		}
	}
}

func (r *harness) run(d time.Duration) {
	for end := r.now.Add(d); r.now.Before(end); {
		r.step()
	}
}

func (r *harness) slotCounts() map[string]int {
	n := map[string]int{}
	for _, t := range r.owners {
		n[t]++
	}
	return n
}

// TestChurn guards against unnecessary moves: the loss of a target must move only its own slots, and its return only
// the share that it gets.
func TestChurn(t *testing.T) {
	c := qt.New(t)
	r := newHarness(20, 1024)
	r.run(3 * time.Second)
	c.Assert(r.slotCounts(), qt.HasLen, 20)
	share := r.slotCounts()["t0007"]
	r.moves = 0
	lost := &r.targets[7]
	lost.HeardAgo, lost.Lapsed = time.Second, true
	r.run(2 * time.Second)
	c.Assert(r.moves, qt.Equals, share)
	lost.HeardAgo, lost.Incarnation = 0, 2
	r.moves = 0
	r.run(5 * time.Second)
	c.Assert(r.slotCounts()["t0007"], qt.Equals, 51)
	c.Assert(r.moves, qt.Equals, 51)
}

// TestUncheckedWait guards against giving a slot to a new owner before uncheckedWait has passed, if its last owner does
// not check epochs.
func TestUncheckedWait(t *testing.T) {
	c := qt.New(t)
	r := newHarness(4, 64)
	r.cfg.Services[0].Ownership.ChecksEpoch = false
	r.run(5 * time.Second)
	c.Assert(r.slotCounts(), qt.HasLen, 4)
	r.targets[0].HeardAgo, r.targets[0].Lapsed = time.Second, true
	lostAt, got := r.now, time.Duration(0)
	for r.slotCounts()["t0000"] > 0 && got < 10*time.Second {
		r.step()
		got = r.now.Sub(lostAt)
	}
	c.Assert(got >= 2*time.Second && got < 3*time.Second, qt.IsTrue, qt.Commentf("moved after %s", got))
}

// TestSuspectsWithSlots guards against a host that gets the slots of a lost target without the suspect requests that
// were in flight at that target.
func TestSuspectsWithSlots(t *testing.T) {
	c := qt.New(t)
	r := newHarness(4, 64)
	r.run(3 * time.Second)
	m := r.hostReport(0)
	m.Suspects = []reporter.SuspectMsg{{Service: "tally", Request: "q", Crashes: 1, Lost: "t0000"}}
	r.update(m)
	r.targets[0].HeardAgo, r.targets[0].Lapsed = time.Second, true
	for range 40 {
		r.now = r.now.Add(50 * time.Millisecond)
		r.update(LeaseMsg{AuthorityIndex: r.granter.Index(), Asked: r.now, TTL: 900 * time.Millisecond})
		r.update(TickMsg{State: r.state, Config: r.cfg})
		r.update(r.hostReport(0))
	}
	r.answers = nil
	r.update(r.hostReport(1))
	c.Assert(len(r.answers[0].Slots) > 0, qt.IsTrue)
	c.Assert(r.answers[0].Suspects, qt.DeepEquals, m.Suspects)
}

// TestRebalanceKeepsBudget guards against more moves for balance in a window than moveBudget, and against no moves in
// the next window.
func TestRebalanceKeepsBudget(t *testing.T) {
	c := qt.New(t)
	r := newHarness(4, 64)
	r.run(3 * time.Second)
	r.moves = 0
	hot := map[keyer.Slot]uint32{}
	for s, owner := range r.owners {
		hot[s] = 1
		if owner == "t0000" {
			hot[s] = 10
		}
	}
	r.loads = []reporter.LoadMsg{{Service: "tally", Requests: hot}}
	r.cfg.Services[0].Rebalance.MoveBudget = 5
	r.run(30 * time.Second)
	c.Assert(r.moves, qt.Equals, 5)
	r.run(60 * time.Second)
	c.Assert(r.moves > 5 && r.moves <= 10, qt.IsTrue, qt.Commentf("%d moves", r.moves))
}

// TestTakeOverWaits guards against a new authority that changes the table while leases of its predecessor may still be
// valid.
func TestTakeOverWaits(t *testing.T) {
	c := qt.New(t)
	r := newHarness(2, 8)
	r.step()
	started := r.now
	for len(r.owners) == 0 {
		r.step()
		c.Assert(r.now.Sub(started) < 5*time.Second, qt.IsTrue)
	}
	wait := r.cfg.Timing.DispatchLease
	c.Assert(r.now.Sub(started) >= wait+leaser.DefaultMargin(wait), qt.IsTrue)
}

func gobSize(v any) int {
	var b bytes.Buffer
	e := gob.NewEncoder(&b)
	_ = e.Encode(v)
	first := b.Len()
	_ = e.Encode(v)
	return b.Len() - first
}

// BenchmarkTick measures one interval of an authority: a tick and the reports of two hosts that have the newest table.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		for _, slots := range []int{1024, 131072} {
			b.Run(fmt.Sprintf("targets=%d/slots=%d", n, slots), func(b *testing.B) {
				r := newHarness(n, slots)
				r.run(1500 * time.Millisecond)
				reports := []reporter.ReportMsg{r.hostReport(0), r.hostReport(1)}
				r.answers = nil
				full := reports[0]
				full.TableVersion = 0
				r.update(full)
				r.update(reports[0])
				sizes := []int{gobSize(reports[0]), gobSize(r.answers[0]), gobSize(r.answers[1])}
				b.ResetTimer()
				for range b.N {
					r.answers = r.answers[:0]
					r.now = r.now.Add(50 * time.Millisecond)
					r.update(LeaseMsg{AuthorityIndex: r.granter.Index(), Asked: r.now, TTL: 900 * time.Millisecond})
					r.update(TickMsg{State: r.state, Config: r.cfg})
					r.update(reports[0])
					r.update(reports[1])
				}
				for i, unit := range []string{"reportBytes", "fullAnswerBytes", "answerBytes"} {
					b.ReportMetric(float64(sizes[i]), unit)
				}
			})
		}
	}
}

// TestSlotsLeaveTargetWithLimit guards against a target with a limit that keeps the slots whose requests it does not take,
// and against slots that move back and forth.
func TestSlotsLeaveTargetWithLimit(t *testing.T) {
	c := qt.New(t)
	r := newHarness(4, 256)
	r.run(3 * time.Second)
	count := func() int {
		n := 0
		for _, owner := range r.owners {
			if owner == "t0001" {
				n++
			}
		}
		return n
	}
	c.Assert(count(), qt.Equals, 64)
	// Two hosts report twenty times a second: each slot gets 40 requests a second, each target 2,560.
	requests := map[keyer.Slot]uint32{}
	for s := range r.owners {
		requests[s] = 1
	}
	r.loads = []reporter.LoadMsg{{Service: "tally", Requests: requests}}
	r.run(20 * time.Second)
	c.Assert(count(), qt.Equals, 64)
	limit := reporter.LoadMsg{Service: "tally", Target: "t0001", Incarnation: 1, LimitHeard: true, Limited: true, Limit: 1280}
	r.loads = append(r.loads, limit)
	r.run(5 * time.Second)
	limited := count()
	c.Assert(limited >= 14 && limited <= 32, qt.IsTrue, qt.Commentf("%d of 64 slots", limited))
	r.moves = 0
	r.run(40 * time.Second)
	c.Assert(r.moves <= 16, qt.IsTrue, qt.Commentf("%d moves", r.moves))
	c.Assert(count() <= 32, qt.IsTrue, qt.Commentf("%d of 64 slots", count()))
}
