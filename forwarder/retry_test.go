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
