package forwarder

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/viewer"
)

// Guards against retries that all hosts together send beyond the slack of the deployment: a host that received its first
// request before the others were registered must not keep the whole slack, and many hosts must not have one retry each.
func TestRetrySlackIsSharedByTheHostsOfTheNewestView(t *testing.T) {
	for _, hosts := range []int{1, 8, 100, 282} {
		c := qt.New(t)
		total := 0
		for rank := range hosts {
			b := newFixture(c)
			v := &viewer.View{}
			b.f.opts.View = func() (*viewer.View, <-chan struct{}) { return v, nil }
			b.f.opts.Limits.RetrySlack = 45
			b.f.retryBudget("desk").Deposit(0.2)
			v = &viewer.View{
				Hosts: hosts,
				Rank:  rank,
			}
			for b.f.withdrawRetry("desk") {
				total++
			}
		}
		c.Check(total <= 45, qt.IsTrue, qt.Commentf("%d retries of %d hosts", total, hosts))
		c.Check(total >= 40, qt.IsTrue, qt.Commentf("%d retries of %d hosts", total, hosts))
	}
}

// Guards against retries beyond the budget of all hosts while hosts are restarted in turn: each process began with the part
// of the slack that the one before had used.
func TestRestartedHostsAddNoSlack(t *testing.T) {
	c := qt.New(t)
	const hosts, slack = 8, 45
	total := 0
	for life := range 3 {
		for rank := range hosts {
			b := newFixture(c)
			v := &viewer.View{
				Hosts: hosts,
				Rank:  rank,
			}
			b.f.opts.View = func() (*viewer.View, <-chan struct{}) { return v, nil }
			b.f.opts.Limits.RetrySlack = slack
			b.f.opts.Limits.Restarted = life > 0
			for b.f.withdrawRetry("desk") {
				total++
			}
		}
	}
	c.Assert(total <= slack, qt.IsTrue, qt.Commentf("%d retries", total))
	// A restarted host still retries a share of its own requests.
	b := newFixture(c)
	b.f.opts.Limits.Restarted = true
	for range 10 {
		b.f.retryBudget("desk").Deposit(0.2)
	}
	c.Assert(b.f.withdrawRetry("desk"), qt.IsTrue)
}
