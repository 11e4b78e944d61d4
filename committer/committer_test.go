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

// fakeState is a State whose contents and staleness the test sets.
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

// fakeProposer counts the proposed commands.
type fakeProposer struct {
	mu        sync.Mutex
	proposals int
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
