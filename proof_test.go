package main

import (
	"fmt"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/auditor"
	"bramleyline.example/bramleyline/emulator"
	"bramleyline.example/bramleyline/injector"
	"bramleyline.example/bramleyline/loadgenerator"
)

// audit compares what callers were told with what the targets ran, and fails on each broken invariant.
func (d *deployment) audit(records []loadgenerator.Record, events ...auditor.Event) auditor.Numbers {
	e := auditor.Evidence{
		Records: records,
		Events:  events,
		Targets: make(map[string][]string),
		Keyed:   map[string]bool{"tally": true},
	}
	for _, t := range d.targets {
		service, _, _ := strings.Cut(t.Name(), "-")
		e.Targets[service] = append(e.Targets[service], t.Name())
		e.Runs = append(e.Runs, t.Runs()...)
		e.Holdings = append(e.Holdings, t.Holdings()...)
	}
	report := auditor.Auditor{}.Audit(e)
	for _, f := range report.Findings {
		d.c.Errorf("%s: %s\n%s", f.Invariant, f.Message, strings.Join(f.Evidence, "\n"))
	}
	all := report.Numbers.Outcomes[""]
	d.c.Logf("outcomes %+v, slot moves %d, worst time without service %s", all, report.Numbers.SlotMoves,
		report.Numbers.WorstUnavailable)
	d.c.Check(len(records) > 0, qt.IsTrue)
	d.c.Check(d.violations(), qt.HasLen, 0)
	return report.Numbers
}

// violations returns the alarms on violations that the running hosts asserted themselves.
func (d *deployment) violations() []string {
	var messages []string
	for _, a := range d.status().Alarms {
		if a.Name == "invariantViolated" {
			messages = append(messages, a.Message)
		}
	}
	return messages
}

// servesAll checks that each slot has an owner again and that requests are answered.
func (d *deployment) servesAll(hosts []*process) {
	d.awaitOwners()
	ok := eventually(func() bool {
		for _, r := range d.load(hosts, 300*time.Millisecond, func() {}) {
			if r.Last().Told() != "ok" {
				return false
			}
		}
		return true
	})
	d.c.Check(ok, qt.IsTrue, qt.Commentf("requests are still refused"))
}

// I1, I7: a lost target must not leave a slot with two owners, nor make a basket run twice when callers send it again.
func TestProofTargetLost(t *testing.T) {
	d := startDeployment(t)
	lost := d.target("tally-north-1")
	records := d.load(d.hosts, 4*time.Second, func() {
		time.Sleep(time.Second)
		lost.Crash(-1)
	})
	d.audit(records)
	d.servesAll(d.hosts)
	d.c.Check(lost.Crashes(), qt.Equals, 1)
}

// I1: a frozen target that returns still believes in its slots; its late work must not meet the next owner's.
func TestProofTargetFrozen(t *testing.T) {
	d := startDeployment(t)
	frozen := d.target("tally-south-2")
	records := d.load(d.hosts, 6*time.Second, func() {
		time.Sleep(time.Second)
		frozen.Freeze()
		time.Sleep(3 * time.Second)
		frozen.Thaw()
	})
	d.audit(records)
	d.servesAll(d.hosts)
}

// I1, I2, I6: a killed host takes its dispatch leases and, as a voter, its copy of the log with it.
func TestProofHostKilled(t *testing.T) {
	d := startDeployment(t)
	lost := d.host("north-1")
	records := d.load(d.hosts[1:], 5*time.Second, func() {
		time.Sleep(time.Second)
		d.kill(lost)
	})
	d.audit(records)
	d.servesAll(d.hosts[1:])
	d.start(lost)
	d.servesAll(d.hosts)
}

// I1: a host that is stopped between its check and its write goes on with old leases when it wakes.
func TestProofHostFrozen(t *testing.T) {
	d := startDeployment(t)
	frozen := d.host("south-1")
	records := d.load(d.hosts, 7*time.Second, func() {
		time.Sleep(time.Second)
		d.signal(frozen, syscall.SIGSTOP)
		time.Sleep(3 * time.Second)
		d.signal(frozen, syscall.SIGCONT)
	})
	d.audit(records)
	d.servesAll(d.hosts)
}

// I1, I2: a data centre that is cut off goes on serving its own keys, even after the loss of one of its targets, and
// no other data centre serves them meanwhile.
func TestProofDataCentreCutOff(t *testing.T) {
	d := startDeployment(t)
	cut := injector.Fault{
		Cut: true,
	}
	west := d.dataCentre("west")
	records := d.load(west, 8*time.Second, func() {
		time.Sleep(time.Second)
		d.c.Check(d.network.Set("west-*", "!west-*", cut), qt.IsNil)
		d.c.Check(d.network.Set("!west-*", "west-*", cut), qt.IsNil)
		time.Sleep(2 * time.Second)
		d.target("tally-west-1").Crash(-1)
		time.Sleep(3 * time.Second)
		d.network.Heal()
	})
	d.audit(records)
	served := 0
	for _, r := range d.target("tally-west-2").Runs() {
		if r.Started.After(records[0].Intended.Add(5*time.Second)) && r.Result == emulator.ResultFinished {
			served++
		}
	}
	d.c.Check(served > 0, qt.IsTrue, qt.Commentf("the cut-off data centre served nothing after the loss of a target"))
	d.servesAll(d.hosts)
}

// I1: a control host behind a silent partition in one direction must neither lead nor grant.
func TestProofControlHostIsolated(t *testing.T) {
	d := startDeployment(t)
	records := d.load(d.hosts[1:], 7*time.Second, func() {
		time.Sleep(time.Second)
		d.c.Check(d.network.Set("north-1", "*", injector.Fault{
			Cut: true,
		}), qt.IsNil)
		time.Sleep(3 * time.Second)
		d.network.Heal()
	})
	d.audit(records)
	d.servesAll(d.hosts)
}

// I2, I10: after a stop of all hosts at once, configuration and slot owners come back from the voters' disks.
func TestProofAllHostsRestart(t *testing.T) {
	d := startDeployment(t)
	before, _ := d.command("history")
	records := d.load(d.hosts, 6*time.Second, func() {
		time.Sleep(time.Second)
		for _, h := range d.hosts {
			d.kill(h)
		}
		for _, h := range d.hosts {
			d.start(h)
		}
	})
	d.audit(records)
	d.servesAll(d.hosts)
	after, _ := d.command("history")
	d.c.Check(after, qt.Equals, before)
}

// I4: a data centre that was taken out gets no new work after 3 s, and serves again after it was restored.
func TestProofDataCentreTakenOut(t *testing.T) {
	d := startDeployment(t)
	var event auditor.Event
	records := d.load(d.hosts, 9*time.Second, func() {
		time.Sleep(time.Second)
		out, code := d.command("takeout", "dc", "south")
		d.c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
		event = auditor.Event{
			DataCentre: "south",
			At:         time.Now(),
		}
		time.Sleep(5 * time.Second)
		event.Until = time.Now()
		out, code = d.command("restore", "dc", "south")
		d.c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
	})
	d.audit(records, event)
	d.servesAll(d.hosts)
}

// I8: a target that was taken out gets no new work after 3 s.
func TestProofTargetTakenOut(t *testing.T) {
	d := startDeployment(t)
	var event auditor.Event
	records := d.load(d.hosts, 6*time.Second, func() {
		out, code := d.command("takeout", "target", "tally-north-2")
		d.c.Check(code, qt.Equals, 0, qt.Commentf("%s", out))
		event = auditor.Event{
			Target: "tally-north-2",
			At:     time.Now(),
		}
	})
	d.audit(records, event)
	d.servesAll(d.hosts)
}

// I9: a planned stop cuts no request in progress. The other hosts take the callers over, as the balancer sends nothing to
// a host whose readiness is off.
func TestProofPlannedStop(t *testing.T) {
	d := startDeployment(t)
	leaving := d.host("south-2")
	records := d.load(d.hosts, 4*time.Second, func() {
		time.Sleep(time.Second)
		d.signal(leaving, syscall.SIGTERM)
		d.c.Check(<-leaving.exited, qt.IsNil)
	})
	cut := 0
	for _, r := range records {
		for _, a := range r.Attempts {
			if a.Told() == "lost" && !a.Refused {
				d.c.Logf("lost: %+v", a)
				cut++
			}
		}
	}
	d.c.Check(cut, qt.Equals, 0)
	numbers := d.audit(records)
	// A request that another host forwarded to the leaving one must not be cut either.
	d.c.Check(numbers.Outcomes[""].Told["unknown"], qt.Equals, 0)
}

// I10: of two operators who change the configuration under the same number, one wins each time; a host that was down
// for the changes has the last one when it is back.
func TestProofOperatorsRace(t *testing.T) {
	d := startDeployment(t)
	absent := d.host("west-2")
	d.kill(absent)
	const rounds = 10
	for n := range rounds {
		var wg sync.WaitGroup
		codes := make([]int, 2)
		outs := make([]string, 2)
		for i := range codes {
			file := fmt.Sprintf("%s/race-%d.ini", d.folder, i)
			text := baseText + fmt.Sprintf("deadline = %dms\n", 2000+10*n+i)
			d.c.Assert(writeFile(file, text), qt.IsNil)
			wg.Go(func() {
				outs[i], codes[i] = d.command("apply", "-expect", fmt.Sprint(d.version), file)
			})
		}
		wg.Wait()
		d.c.Check(codes[0]+codes[1], qt.Equals, 1, qt.Commentf("%s\n%s", outs[0], outs[1]))
		d.version++
	}
	d.start(absent)
	ok := eventually(func() bool {
		for _, h := range d.status().Hosts {
			if h.Version != uint64(d.version) {
				return false
			}
		}
		return true
	})
	d.c.Check(ok, qt.IsTrue, qt.Commentf("%+v", d.status().Hosts))
}

// I7: a request that crashes each target that runs it is refused after crashLimit losses, and the other keys are
// served.
func TestProofCrashRequest(t *testing.T) {
	d := startDeployment(t)
	crashes := func() int {
		n := 0
		for _, e := range d.targets {
			n += e.Crashes()
		}
		return n
	}
	var last int
	for i := range 12 {
		last = post(d.hosts[i%len(d.hosts)].caller, "/tally/poisoned", emulator.PoisonMark, "poison-1")
		time.Sleep(500 * time.Millisecond)
	}
	d.c.Check(last, qt.Equals, 422)
	d.c.Check(crashes() <= 2, qt.IsTrue, qt.Commentf("%d targets were lost", crashes()))
	d.servesAll(d.hosts)
}
