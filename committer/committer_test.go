package committer

import (
	"context"
	"io"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/registrar"
)

// fakeState is a State whose contents and staleness the test sets.
type fakeState struct {
	mu    sync.Mutex
	state *applier.State
	lag   time.Duration
	// changed is closed at the next change; a nil channel blocks.
	changed chan struct{}
}

func (f *fakeState) State() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// TakeoutIndex returns the index of the state: each takeout is the newest command.
func (f *fakeState) TakeoutIndex(dataCentre string) uint64 {
	if st := f.State(); st.DataCentres[dataCentre].Out {
		return st.Index
	}
	return 0
}

func (f *fakeState) Lag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *fakeState) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changed
}

func (f *fakeState) set(st *applier.State, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.lag = st, lag
}

// fakeProposer counts the proposed commands. Orders on a state before newest are superseded.
type fakeProposer struct {
	mu        sync.Mutex
	proposals int
	newest    uint64
	bases     []uint64
}

func (f *fakeProposer) ProposeAfter(_ context.Context, basis uint64, _ applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bases = append(f.bases, basis)
	if basis < f.newest {
		return applier.Result{}, proposer.ErrSuperseded
	}
	f.proposals++
	return applier.Result{}, nil
}

func (f *fakeProposer) Propose(context.Context, applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.proposals++
	return applier.Result{}, nil
}

func announcement() registrar.Target {
	return registrar.Target{
		Incarnation: registrar.Incarnation{
			ID:   "i-1",
			Born: time.UnixMilli(1).UTC(),
		},
		Service: "tally",
		Addr:    netip.MustParseAddrPort("10.0.0.1:80"),
	}
}

// Guards against a control host that proposes the announcement of every target again after its start, although the log
// has them: that load would come while the control group elects a leader.
func TestAnnouncementWaitsForFreshStateAfterStart(t *testing.T) {
	c := qt.New(t)
	tg := announcement()
	known := &applier.State{
		Registry: registrar.Registry{}.Announce(1, tg),
	}
	st, p := &fakeState{}, &fakeProposer{}
	st.set(&applier.State{}, time.Hour)
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	time.AfterFunc(50*time.Millisecond, func() { st.set(known, 0) })
	_, err := k.Announce(context.Background(), tg)
	c.Assert(err, qt.IsNil)
	c.Assert(p.proposals, qt.Equals, 0)

	tg.Draining = true
	tg.Seq++
	_, err = k.Announce(context.Background(), tg)
	c.Assert(err, qt.IsNil)
	c.Assert(p.proposals, qt.Equals, 1)
}

// Guards against an announcement that is acknowledged by a host whose state is too stale to determine whether
// the announcement is new.
func TestAnnouncementFailsWithoutFreshState(t *testing.T) {
	c := qt.New(t)
	st, p := &fakeState{}, &fakeProposer{}
	st.set(&applier.State{}, time.Hour)
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	_, err := k.Announce(context.Background(), announcement())
	c.Assert(errors.Is(err, ErrStaleState), qt.IsTrue)
	c.Assert(p.proposals, qt.Equals, 0)
}

// Guards against an order whose sender has left, and has sent it to another host and newer ones after it: a host that was
// frozen must not carry it out.
func TestOrderOfASenderThatLeftIsNotProposed(t *testing.T) {
	c := qt.New(t)
	st, p := &fakeState{}, &fakeProposer{}
	st.set(&applier.State{
		Index: 7,
	}, 0)
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(senderCheckTime/5, cancel)
	c.Assert(k.SetOut(ctx, "dc", false), qt.IsNotNil)
	c.Assert(p.bases, qt.HasLen, 0)

	// A host without a state cannot tell which orders are newer.
	st.set(&applier.State{}, 0)
	c.Assert(errors.Is(k.SetOut(context.Background(), "dc", false), ErrStaleState), qt.IsTrue)
}

// Guards against an order that is refused because another one came at the same time: its sender still waits, so it is compared
// again with the newer state.
func TestOrderIsComparedAgainWhileItsSenderWaits(t *testing.T) {
	c := qt.New(t)
	changed := make(chan struct{})
	st, p := &fakeState{
		state: &applier.State{
			Index: 7,
		},
		changed: changed,
	}, &fakeProposer{
		newest: 9,
	}
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	time.AfterFunc(3*senderCheckTime, func() {
		st.set(&applier.State{
			Index: 9,
		}, 0)
		close(changed)
	})
	c.Assert(k.SetOut(context.Background(), "dc", false), qt.IsNil)
	c.Assert(p.bases, qt.DeepEquals, []uint64{7, 9})
}

// Guards against a departure that drains the next process under the same ID, or that is acknowledged without effect because
// the process before was draining in an older state.
func TestDepartureIsOrderedLikeAnOrder(t *testing.T) {
	c := qt.New(t)
	tg := announcement()
	tg.Draining = true
	st, p := &fakeState{}, &fakeProposer{}
	st.set(&applier.State{
		Index:    7,
		Registry: registrar.Registry{}.Announce(1, tg),
	}, time.Hour)
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	c.Assert(k.Drain(context.Background(), tg.ID), qt.IsNil)
	c.Assert(p.bases, qt.DeepEquals, []uint64{7})
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(senderCheckTime/5, cancel)
	c.Assert(k.Drain(ctx, tg.ID), qt.IsNotNil)
	c.Assert(p.bases, qt.HasLen, 1)
}
