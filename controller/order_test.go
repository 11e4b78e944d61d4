package controller_test

import (
	"context"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/registrar"
)

func serviceOrder(dc string, out bool) applier.Command {
	return applier.Command{
		SetService: &applier.SetServiceMsg{
			DataCentre: dc,
			Out:        out,
		},
	}
}

// Guards against an old order that undoes a newer one, because the host that read it was frozen or cut off in between: the
// leader must refuse it, also where the log of that time was replaced by a snapshot, and leave the state as it is.
func TestOrderIsRefusedAfterANewerOne(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3, controller.WithSnapshotEvery(20))
	p := g.proposer()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	order := func(basis uint64, cmd applier.Command) (uint64, error) {
		r, err := p.ProposeAfter(ctx, basis, cmd)
		return r.Index, err
	}
	basis := g.takeOut("", "dc1").Index

	// The order to restore the data centre reaches another host, and the next takeout follows.
	_, err := order(basis, serviceOrder("dc1", false))
	c.Assert(err, qt.IsNil)
	newest := g.takeOut("", "dc1").Index
	_, err = order(basis, serviceOrder("dc1", false))
	c.Assert(errors.Is(err, proposer.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(g.hosts[g.leader()].State().DataCentres["dc1"].Out, qt.IsTrue)

	// Other subjects and the state at the newest order are no obstacle.
	_, err = order(basis, serviceOrder("dc2", true))
	c.Assert(err, qt.IsNil)
	_, err = order(newest, serviceOrder("dc1", false))
	c.Assert(err, qt.IsNil)
	c.Assert(g.hosts[g.leader()].State().DataCentres["dc1"].Out, qt.IsFalse)

	// A target that started again under its ID is not drained by the departure of the process before.
	t1 := registrar.Target{
		Incarnation: registrar.Incarnation{
			ID: "i-1",
		},
		Service: "desk",
	}
	r, err := p.Propose(ctx, applier.Command{
		Registry: &registrar.Change{
			Announce: &t1,
		},
	})
	c.Assert(err, qt.IsNil)
	_, err = order(basis, applier.Command{
		Registry: &registrar.Change{
			Drain: &registrar.DrainMsg{
				ID: "i-1",
			},
		},
	})
	c.Assert(errors.Is(err, proposer.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	_, err = order(r.Index, applier.Command{
		Registry: &registrar.Change{
			Drain: &registrar.DrainMsg{
				ID: "i-1",
			},
		},
	})
	c.Assert(err, qt.IsNil)

	// A leader after the first one has the entries in its log.
	leader := g.leader()
	g.stop(leader)
	_, err = order(basis, serviceOrder("dc1", true))
	c.Assert(errors.Is(err, proposer.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	c.Assert(g.hosts[g.leader()].State().DataCentres["dc1"].Out, qt.IsFalse)
}

// Guards against two orders in one batch of which the second is compared with the log alone.
func TestOrdersAtTheSameTimeAreCompared(t *testing.T) {
	c := qt.New(t)
	g := startGroup(c, 3)
	basis := g.takeOut("", "dc1").Index
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	const orders = 20
	results := make(chan error, orders)
	for range orders {
		go func() {
			_, err := g.proposer().ProposeAfter(ctx, basis, serviceOrder("dc1", false))
			results <- err
		}()
	}
	accepted := 0
	for range orders {
		err := <-results
		if err == nil {
			accepted++
			continue
		}
		c.Assert(errors.Is(err, proposer.ErrSuperseded), qt.IsTrue, qt.Commentf("%v", err))
	}
	c.Assert(accepted, qt.Equals, 1)
}
