// Package committer carries out the orders of operators and targets on a control host: it answers when the log has
// them.
package committer

import (
	"compress/flate"
	"context"
	"net/netip"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/compressor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// orderTimeout bounds the commit of an order. Operators and targets turn to another host after a second.
	orderTimeout = 3 * time.Second
	// freshState is the greatest lag at which this host may say which table is the newest: half of the 2 s in which a
	// table has to be in force.
	freshState = time.Second
	// freshWait is how long an announcement waits for a fresh state: its sender turns to another host after a second.
	// freshInterval is the longest time between two looks; hundreds of announcements may wait.
	freshWait     = 900 * time.Millisecond
	freshInterval = 150 * time.Millisecond
	// maxTable bounds the text of a table.
	maxTable = 64 << 20
)

// ErrUncertain reports that this host may not know the newest state.
var ErrUncertain = errors.New("a newer state may be in force")

// State is the replicated state as this host knows it.
type State interface {
	State() *applier.State
	// Changed returns a channel that is closed when there is a newer state.
	Changed() <-chan struct{}
	// Lag returns how long ago State is known to have had everything that was committed.
	Lag() time.Duration
}

// Proposer commits commands at the control leader.
type Proposer interface {
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// Committer carries out orders. All fields are required.
type Committer struct {
	State    State
	Proposer Proposer
	// Name is the name of this host.
	Name string
	Log  *log.Logger
}

// Announce makes durable what a target says of itself, if that is new.
func (c *Committer) Announce(ctx context.Context, t registrar.Target) (netip.AddrPort, error) {
	st := c.State.State()
	if st.Registry.Changes(t) && c.State.Lag() > freshState {
		// A host that has just started knows little, and would propose again what the log has of every target.
		if err := c.awaitFresh(ctx); err != nil {
			return netip.AddrPort{}, err
		}
		st = c.State.State()
	}
	if st.Registry.Changes(t) {
		if err := c.propose(ctx, registrar.Change{
			Announce: &t,
		}); err != nil {
			return netip.AddrPort{}, err
		}
		c.Log.Info("target", "target", t.ID, "service", t.Service, "addr", t.Addr, "dataCentre", t.DataCentre, "born", t.Born,
			"seq", t.Seq, "cold", t.Cold, "draining", t.Draining)
	}
	return c.nearer(st, t.DataCentre), nil
}

// awaitFresh waits until this host's state is the newest, or about as long as a target waits for the answer.
func (c *Committer) awaitFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, freshWait)
	defer cancel()
	ticker := time.NewTicker(freshInterval)
	defer ticker.Stop()
	for {
		changed := c.State.Changed()
		if c.State.Lag() <= freshState {
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ErrUncertain, "announcement of a target")
		}
	}
}

// nearer returns where a control host of the target's data centre takes announcements, if this is not one.
func (c *Committer) nearer(st *applier.State, dataCentre string) netip.AddrPort {
	if st.Hosts[c.Name].DataCentre == dataCentre {
		return netip.AddrPort{}
	}
	for _, name := range st.Members() {
		if h := st.Hosts[name]; h.DataCentre == dataCentre && h.Announce.IsValid() {
			return h.Announce
		}
	}
	return netip.AddrPort{}
}

// Leave records that a target ends soon.
func (c *Committer) Leave(ctx context.Context, id string) error {
	if t, ok := c.State.State().Registry.Target(id); ok && t.Draining {
		return nil
	}
	if err := c.propose(ctx, registrar.Change{
		Leave: &registrar.LeaveMsg{
			ID: id,
		},
	}); err != nil {
		return err
	}
	c.Log.Info("target leaves", "target", id)
	return nil
}

// PutTable makes a table durable, unless one with the same or a higher version is.
func (c *Committer) PutTable(ctx context.Context, t *matcher.Table, text []byte) error {
	if c.State.State().Registry.Table.Version >= t.Version {
		return nil
	}
	body, err := compressor.Compress(text, flate.DefaultCompression)
	if err != nil {
		return err
	}
	return c.propose(ctx, registrar.Change{
		PutTable: &registrar.PutTableMsg{
			Version: t.Version,
			Body:    body,
		},
	})
}

// Table returns the text of the newest table.
func (c *Committer) Table(context.Context) ([]byte, error) {
	if lag := c.State.Lag(); lag > freshState {
		return nil, errors.Wrapf(ErrUncertain, "newest state is %s old", lag.Round(time.Millisecond))
	}
	d := c.State.State().Registry.Table
	if d.Version == 0 {
		return nil, errors.New("there is no table yet")
	}
	return Text(d)
}

// SetOut takes a data centre out of service or restores it.
func (c *Committer) SetOut(ctx context.Context, dataCentre string, out bool) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	r, err := c.Proposer.Propose(ctx, applier.Command{
		SetService: &applier.SetServiceMsg{
			DataCentre: dataCentre,
			Out:        out,
		},
	})
	if err == nil && r.Refusal != "" {
		err = errors.New(r.Refusal)
	}
	return errors.Wrap(err, "takeout")
}

func (c *Committer) propose(ctx context.Context, change registrar.Change) error {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	_, err := c.Proposer.Propose(ctx, applier.Command{
		Registry: &change,
	})
	return errors.Wrap(err, "commit")
}

// Text returns the text of a stored table.
func Text(d registrar.Document) ([]byte, error) {
	text, err := compressor.Decompress(d.Body, maxTable)
	return text, errors.Wrap(err, "stored table")
}
