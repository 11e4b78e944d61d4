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

// audit compares the outcomes that callers got with the runs at the targets, and fails the test on each invariant
// violation. The invariants, such as I1, are numbered in docs/design.md. The events are takeouts during the run.
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
	outcomes := report.Numbers.Outcomes[""]
	d.c.Logf("outcomes %+v, slot moves %d, worst time without service %s", outcomes, report.Numbers.SlotMoves,
		report.Numbers.WorstUnavailable)
	d.c.Check(len(records) > 0, qt.IsTrue)
	d.c.Check(d.violations(), qt.HasLen, 0)
	return report.Numbers
}

// violations returns the messages of the alarms that hosts raise when their own assertions find an invariant violation.
func (d *deployment) violations() []string {
	var messages []string
	for _, a := range d.status().Alarms {
		if a.Name == "invariantViolated" {
			messages = append(messages, a.Message)
		}
	}
	return messages
}

// checkRecovered checks that each slot has an owner again and that hosts answer all requests.
func (d *deployment) checkRecovered(hosts []*process) {
	d.awaitOwners()
	ok := eventually(func() bool {
		for _, r := range d.load(hosts, 300*time.Millisecond, func() {}) {
			if r.Last().CallerOutcome() != "ok" {
				return false
			}
		}
		return true
	})
	d.c.Check(ok, qt.IsTrue, qt.Commentf("requests are still refused"))
}

// Guards against two faults after the loss of a target: a slot with two owners (I1), and a non-idempotent request that
// runs twice for one attempt of its caller (I7) while callers resend requests with an unknown outcome.
func TestProofTargetLost(t *testing.T) {
	d := startDeployment(t)
	lost := d.target("tally-north-1")
	records := d.load(d.hosts, 4*time.Second, func() {
		time.Sleep(time.Second)
		lost.Crash(-1)
	})
	d.audit(records)
	d.checkRecovered(d.hosts)
	d.c.Check(lost.Crashes(), qt.Equals, 1)
}

// Guards against a slot with two owners after a target was frozen (I1). A target that resumes still lists its slots as
// owned, and its late runs must not overlap with those of the next owner.
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
	d.checkRecovered(d.hosts)
}

// Guards against faults after a host is lost with its dispatch leases and, since it is a voter, its copy of the log: a
// slot with two owners (I1), a lost slot assignment (I2), and a request that ran although its caller was told notRun
// (I6).
func TestProofHostKilled(t *testing.T) {
	d := startDeployment(t)
	lost := d.host("north-1")
	records := d.load(d.hosts[1:], 5*time.Second, func() {
		time.Sleep(time.Second)
		d.kill(lost)
	})
	d.audit(records)
	d.checkRecovered(d.hosts[1:])
	d.start(lost)
	d.checkRecovered(d.hosts)
}

// Guards against a host that is suspended between the check of a lease and the write of the request, and sends the
// request under the expired lease when it resumes (I1).
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
	d.checkRecovered(d.hosts)
}

// A data centre that is cut off must go on serving its own keys, even after the loss of one of its targets, and no
// other data centre may serve them meanwhile (I1, I2).
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
	d.checkRecovered(d.hosts)
}

// Guards against a control host that still leads or grants while a partition silently drops all that it sends to other
// hosts, but nothing that they send to it (I1).
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
	d.checkRecovered(d.hosts)
}

// Guards against a configuration (I10) or slot owners (I2) that are lost when all hosts crash at once: they must be
// restored from the voters' disks.
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
	d.checkRecovered(d.hosts)
	after, _ := d.command("history")
	d.c.Check(after, qt.Equals, before)
}

// Guards against a data centre that still gets new requests 3 s after its takeout (I4), or that serves none after it
// was restored.
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
	d.checkRecovered(d.hosts)
}

// Guards against a target that still gets new requests 3 s after its takeout (I8).
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
	d.checkRecovered(d.hosts)
}

// Guards against a planned stop that cuts requests in progress (I9). The other hosts take over the callers, because the
// load balancer sends no requests to a host that is not ready.
func TestProofPlannedStop(t *testing.T) {
	d := startDeployment(t)
	stopping := d.host("south-2")
	records := d.load(d.hosts, 4*time.Second, func() {
		time.Sleep(time.Second)
		d.signal(stopping, syscall.SIGTERM)
		d.c.Check(<-stopping.exited, qt.IsNil)
	})
	lostAttempts := 0
	for _, r := range records {
		for _, a := range r.Attempts {
			if a.CallerOutcome() == "lost" && !a.Refused {
				d.c.Logf("lost: %+v", a)
				lostAttempts++
			}
		}
	}
	d.c.Check(lostAttempts, qt.Equals, 0)
	numbers := d.audit(records)
	// A request that another host forwarded to the stopping host must not be cut either.
	d.c.Check(numbers.Outcomes[""].Outcomes["unknown"], qt.Equals, 0)
}

// Guards against a race of two operators who change the configuration and expect the same version (I10): exactly one of
// them must succeed each time. A host that was down meanwhile must have the latest configuration after its restart.
func TestProofOperatorsRace(t *testing.T) {
	d := startDeployment(t)
	down := d.host("west-2")
	d.kill(down)
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
	d.start(down)
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

// Guards against a request that crashes one target after the other (I7): it must be refused after the loss of
// crashLimit targets, and requests with other keys must be answered.
func TestProofCrashRequest(t *testing.T) {
	d := startDeployment(t)
	crashes := func() int {
		n := 0
		for _, e := range d.targets {
			n += e.Crashes()
		}
		return n
	}
	var lastStatus int
	for i := range 12 {
		lastStatus = post(d.hosts[i%len(d.hosts)].caller, "/tally/poisoned", emulator.PoisonMark, "poison-1")
		time.Sleep(500 * time.Millisecond)
	}
	d.c.Check(lastStatus, qt.Equals, 422)
	d.c.Check(crashes() <= 2, qt.IsTrue, qt.Commentf("%d targets were lost", crashes()))
	d.checkRecovered(d.hosts)
}
