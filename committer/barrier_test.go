package committer

import (
	"context"
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

// fakeBarrier records for which log indexes orders wait. If behind is set, hosts are behind for ever.
type fakeBarrier struct {
	behind bool

	mu      sync.Mutex
	indexes []uint64
	limits  []time.Duration
}

func (b *fakeBarrier) Await(ctx context.Context, index uint64, limit time.Duration) {
	b.mu.Lock()
	b.indexes, b.limits = append(b.indexes, index), append(b.limits, limit)
	b.mu.Unlock()
	if b.behind {
		<-ctx.Done()
	}
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

// senderPatience is how long operators wait for an answer before they try another control host.
const senderPatience = time.Second

// Guards against orders that are acknowledged before they are in force at hosts that cannot find out about them, against departures whose
// acknowledgement waits for hosts that ask the targets, and against orders that are not acknowledged in the time of one call because a host
// is behind.
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
			for _, behind := range []bool{false, true} {
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
					behind: behind,
				}
				k := Committer{
					State: st,
					Proposer: &applyingProposer{
						state: st,
					},
					Barrier: b,
					Log:     log.New(io.Discard),
				}
				began := time.Now()
				c.Check(tc.order(&k), qt.IsNil)
				took := time.Since(began)
				if tc.index == 0 {
					c.Check(b.indexes, qt.HasLen, 0)
					continue
				}
				c.Assert(len(b.indexes) > 0, qt.IsTrue)
				c.Check(b.indexes[len(b.indexes)-1], qt.Equals, tc.index)
				for _, limit := range b.limits {
					c.Check(limit < senderPatience, qt.IsTrue, qt.Commentf("waits for %s from the commit on", limit))
				}
				took /= time.Duration(len(b.indexes))
				c.Check(took < senderPatience, qt.IsTrue, qt.Commentf("acknowledged after %s", took))
				if behind {
					c.Check(took >= inForceTimeout, qt.IsTrue, qt.Commentf("acknowledged after %s", took))
				}
			}
		})
	}
}
