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
	"bramleyline.example/bramleyline/registrar"
)

// fakeState is a state that lags until it is told that it is current.
type fakeState struct {
	mu    sync.Mutex
	state *applier.State
	lag   time.Duration
}

func (f *fakeState) State() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *fakeState) Lag() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lag
}

func (f *fakeState) Changed() <-chan struct{} {
	return nil
}

func (f *fakeState) set(st *applier.State, lag time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state, f.lag = st, lag
}

// fakeProposer counts what is proposed.
type fakeProposer struct {
	mu sync.Mutex
	n  int
}

func (f *fakeProposer) Propose(context.Context, applier.Command) (applier.Result, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.n++
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

// Guards against a control host that starts and proposes again what the log has of every target, while the group needs
// its time for the election.
func TestAnnouncementWaitsForTheStateAfterAStart(t *testing.T) {
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
	c.Assert(p.n, qt.Equals, 0)

	tg.Draining = true
	tg.Seq++
	_, err = k.Announce(context.Background(), tg)
	c.Assert(err, qt.IsNil)
	c.Assert(p.n, qt.Equals, 1)
}

// Guards against an announcement that is acknowledged by a host that cannot know whether it is new.
func TestAnnouncementIsRefusedWithoutAFreshState(t *testing.T) {
	c := qt.New(t)
	st, p := &fakeState{}, &fakeProposer{}
	st.set(&applier.State{}, time.Hour)
	k := Committer{
		State:    st,
		Proposer: p,
		Log:      log.New(io.Discard),
	}
	_, err := k.Announce(context.Background(), announcement())
	c.Assert(errors.Is(err, ErrUncertain), qt.IsTrue)
	c.Assert(p.n, qt.Equals, 0)
}
