package operator

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/proposer"
)

const configurationsPath = "/v1/configurations"

// Guards against two operators who submit different configurations with the same Expect and are both told that theirs
// is in force.
func TestTwoOperatorsRace(t *testing.T) {
	f := newFixture(t)
	c := f.c
	for round := range 200 {
		expect := uint64(round) + 1
		var wg sync.WaitGroup
		answers := make([]presenter.Answer, 2)
		for i := range answers {
			change := f.change(expect, fmt.Sprintf("operator-%d", i), fmt.Sprint(2*round+i+100))
			wg.Go(func() { answers[i] = f.o.applyConfig(t.Context(), &change) })
		}
		wg.Wait()
		outcomes := []presenter.Outcome{answers[0].Outcome, answers[1].Outcome}
		c.Assert(outcomes, qt.Contains, presenter.Applied)
		c.Assert(outcomes, qt.Contains, presenter.LostRace)
		inForce := f.control.State().Config
		c.Assert(inForce.Version, qt.Equals, expect+1)
		for i, a := range answers {
			// Both answers carry the winner's digest, time and operator.
			c.Assert(a.Version.Digest, qt.Equals, inForce.Digest)
			c.Assert(a.Version.Operator, qt.Equals, inForce.Operator)
			c.Assert(a.Version.At, qt.Equals, inForce.At)
			won := inForce.Operator == fmt.Sprintf("operator-%d", i)
			c.Assert(a.Outcome == presenter.Applied, qt.Equals, won)
		}
	}
}

// Guards against a second version, or an answer other than the first, when a request is sent again because its answer
// was lost, even if another operator's version was accepted since then.
func TestResendAfterLostAnswer(t *testing.T) {
	f := newFixture(t)
	c := f.c
	first := f.change(1, "ada", "40")
	f.control.lostAnswers = 1
	code, a := f.post(configurationsPath, first)
	c.Assert(code, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(a.Outcome, qt.Equals, presenter.Unknown)
	code, a = f.post(configurationsPath, first)
	c.Assert(code, qt.Equals, http.StatusOK)
	c.Assert(a.Version.Version, qt.Equals, uint64(2))
	_, a = f.post(configurationsPath, f.change(2, "bob", "41"))
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	_, again := f.post(configurationsPath, first)
	c.Assert(again.Outcome, qt.Equals, presenter.Applied)
	c.Assert(again.Version.Version, qt.Equals, uint64(2))
	c.Assert(again.Version.Operator, qt.Equals, "ada")
	c.Assert(f.control.State().Config.Version, qt.Equals, uint64(3))
}

// Guards against another answer than the first when the request is sent again through a host whose state is behind the
// leader's and lacks the accepted version.
func TestResendOnHostThatIsBehind(t *testing.T) {
	f := newFixture(t)
	behind := &fakeControl{st: f.control.State()}
	first := f.change(1, "ada", "40")
	_, a := f.post(configurationsPath, first)
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	f.o.Source = behind
	f.o.Now = func() time.Time { return time.Unix(3000, 0) }
	first.Operator = "bob"
	_, a = f.post(configurationsPath, first)
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	f.c.Assert(a.Version.Version, qt.Equals, uint64(2))
	f.c.Assert(f.control.State().Config.Operator, qt.Equals, "ada")
}

// Guards against a host that accepts a configuration unchecked: the program of the command line, which checks it first,
// may be older than the host.
func TestApplyChecksOnTheHost(t *testing.T) {
	f := newFixture(t)
	c := f.c
	code, a := f.post(configurationsPath, f.change(1, "ada", "0"))
	c.Assert(code, qt.Equals, http.StatusUnprocessableEntity)
	c.Assert(a.Findings, qt.DeepEquals, []string{
		"base.ini:47: queueLimit = 0: a limit of zero is not allowed, wants 1 to 100000",
	})
	change := f.change(1, "ada", "32")
	change.Base = strings.Replace(change.Base, "slots = 1024", "slots = 512", 1)
	_, a = f.post(configurationsPath, change)
	c.Assert(a.Outcome, qt.Equals, presenter.Invalid)
	change = f.change(1, "", "32")
	_, a = f.post(configurationsPath, change)
	c.Assert(a.Outcome, qt.Equals, presenter.Refused)
	c.Assert(f.control.State().Config.Version, qt.Equals, uint64(1))
}

// Guards against a removed service that is added again with another number of slots, which would not match its slot
// table.
func TestRemovedServiceKeepsItsSlots(t *testing.T) {
	f := newFixture(t)
	baskets := func(expect uint64, slots string) presenter.Apply {
		change := f.change(expect, "ada", "32")
		change.Base += "\n[service baskets]\nkind = keyed\nkey = path:1\nslots = " + slots + "\n"
		return change
	}
	_, a := f.post(configurationsPath, baskets(1, "64"))
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	// Only some of the slots are delegated when the service is removed.
	_, err := f.control.Propose(t.Context(), applier.Command{Delegate: &applier.DelegateMsg{
		Service: "baskets", Slots: []keyer.Slot{1, 5}, DataCentre: "krakow",
	}})
	f.c.Assert(err, qt.IsNil)
	without := f.change(2, "ada", "33")
	without.Force = true
	_, a = f.post(configurationsPath, without)
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	_, a = f.post(configurationsPath, baskets(3, "128"))
	f.c.Assert(a.Outcome, qt.Equals, presenter.Invalid)
	_, a = f.post(configurationsPath, baskets(3, "64"))
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
}

func TestApplyThatTakesServiceAwayNeedsForce(t *testing.T) {
	f := newFixture(t)
	c := f.c
	noPayroll := f.change(1, "ada", "32")
	noPayroll.Base = noPayroll.Base[:strings.Index(noPayroll.Base, "; Pay slips")]
	noPayroll.Overlays = nil
	noKrakow := f.change(1, "ada", "32")
	noKrakow.Base = strings.Replace(noKrakow.Base, "[dataCentre krakow]\n", "", 1)
	noKrakow.Overlays = nil
	for _, change := range []presenter.Apply{noPayroll, noKrakow} {
		code, a := f.post(configurationsPath, change)
		c.Assert(code, qt.Equals, http.StatusPreconditionRequired)
		c.Assert(a.Findings, qt.HasLen, 1, qt.Commentf("%v", a))
	}
	noKrakow.Force = true
	_, a := f.post(configurationsPath, noKrakow)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
}

// Guards against a slot with two owners: a data centre that is cut off keeps its slots for the cutOffHold of its own
// version. With a shorter one in force, the control leader would give the slots to others while the data centre still
// grants them.
func TestHoldIsNotShortenedWhileAHostMayBeCutOff(t *testing.T) {
	f := newFixture(t)
	c := f.c
	f.facts.Hosts = []HostFacts{
		{Name: "krakow-1", Reachable: true, ConfigVersion: 1},
		{Name: "bielsko-1"},
		{Name: "rzeszow-1", Reachable: true},
	}
	shorter := f.change(1, "ada", "32")
	shorter.Base = strings.Replace(shorter.Base, "cutOffHold = 1h", "cutOffHold = 2m", 1)
	shorter.Base = strings.Replace(shorter.Base, "dispatchLease = 600ms", "dispatchLease = 500ms", 1)
	shorter.Force = true
	_, a := f.post(configurationsPath, shorter)
	c.Assert(a.Outcome, qt.Equals, presenter.Refused)
	c.Assert(a.Message, qt.Matches, "dispatchLease, cutOffHold of tally .*: bielsko-1, rzeszow-1")
	longer := f.change(1, "ada", "32")
	longer.Base = strings.Replace(longer.Base, "cutOffHold = 1h", "cutOffHold = 3h", 1)
	_, a = f.post(configurationsPath, longer)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	for i := range f.facts.Hosts {
		f.facts.Hosts[i].Reachable = true
		f.facts.Hosts[i].ConfigVersion = 2
	}
	shorter.Expect = 2
	_, a = f.post(configurationsPath, shorter)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
}

// Guards against an answer "nothing was changed" for a change that may still be accepted.
func TestFailedProposals(t *testing.T) {
	f := newFixture(t)
	for err, want := range map[error]presenter.Outcome{
		errors.Wrap(proposer.ErrNotApplied, "x"):   presenter.NoLeader,
		errors.Wrap(proposer.ErrMaybeApplied, "x"): presenter.Unknown,
		context.DeadlineExceeded:                   presenter.Unknown,
	} {
		f.c.Check(failed(err).Outcome, qt.Equals, want)
	}
}
