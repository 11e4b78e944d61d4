package committer

import (
	"context"
	"errors"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

var errBehind = errors.New("host is behind")

// fakeBarrier records for which log indexes orders wait.
type fakeBarrier struct {
	mu      sync.Mutex
	indexes []uint64
	err     error
}

func (b *fakeBarrier) Await(_ context.Context, index uint64, _ time.Duration) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.indexes = append(b.indexes, index)
	return b.err
}

// applyingProposer applies each command to a fakeState after a while, as a control host that does not lead does.
type applyingProposer struct {
	fakeProposer
	state *fakeState
}

func (p *applyingProposer) apply(cmd applier.Command) {
	time.AfterFunc(20*time.Millisecond, func() {
		st := p.state.State()
		next, _ := st.Apply(st.Index+1, cmd)
		p.state.mu.Lock()
		p.state.state = next
		close(p.state.changed)
		p.state.changed = make(chan struct{})
		p.state.mu.Unlock()
	})
}

func (p *applyingProposer) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	p.apply(cmd)
	return p.fakeProposer.Propose(ctx, cmd)
}

func (p *applyingProposer) ProposeAfter(ctx context.Context, basis uint64, cmd applier.Command) (applier.Result, error) {
	p.apply(cmd)
	return p.fakeProposer.ProposeAfter(ctx, basis, cmd)
}

// Guards against orders that are acknowledged before they are in force at hosts that cannot find out about them, and against
// departures whose acknowledgement waits for hosts that ask the targets.
func TestOrdersWaitUntilTheyAreInForce(t *testing.T) {
	table := func(k *Committer) error {
		return k.PutTable(context.Background(), matcher.New(8, nil, nil, matcher.Limits{}), []byte("{}"))
	}
	for name, tc := range map[string]struct {
		order func(*Committer) error
		index uint64
	}{
		"table":          {order: table, index: 8},
		"table, known":   {order: func(k *Committer) error { _ = table(k); return table(k) }, index: 8},
		"takeout":        {order: func(k *Committer) error { return k.SetOut(context.Background(), "a", true) }, index: 8},
		"takeout, again": {order: func(k *Committer) error { return k.SetOut(context.Background(), "b", true) }, index: 8},
		"restore":        {order: func(k *Committer) error { return k.SetOut(context.Background(), "b", false) }},
		"departure":      {order: func(k *Committer) error { return k.Drain(context.Background(), "i-1") }},
		"announcement": {order: func(k *Committer) error {
			tg := announcement()
			tg.Draining = true
			_, err := k.Announce(context.Background(), tg)
			return err
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			for _, barrierErr := range []error{nil, errBehind} {
				out, _ := (&applier.State{}).Apply(7, applier.Command{
					SetService: &applier.SetServiceMsg{
						DataCentre: "b",
						Out:        true,
					},
				})
				out.Registry = registrar.Registry{}.Announce(1, announcement())
				st := &fakeState{
					changed: make(chan struct{}),
				}
				st.set(out, 0)
				b := &fakeBarrier{
					err: barrierErr,
				}
				k := Committer{
					State: st,
					Proposer: &applyingProposer{
						state: st,
					},
					Barrier: b,
					Log:     log.New(io.Discard),
				}
				err := tc.order(&k)
				if tc.index == 0 {
					c.Check(err, qt.IsNil)
					c.Check(b.indexes, qt.HasLen, 0)
					continue
				}
				c.Assert(len(b.indexes) > 0, qt.IsTrue)
				c.Check(b.indexes[len(b.indexes)-1], qt.Equals, tc.index)
				if barrierErr == nil {
					c.Check(err, qt.IsNil)
				} else {
					c.Check(err, qt.ErrorIs, errBehind)
				}
			}
		})
	}
}
