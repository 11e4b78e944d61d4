// Package committer handles the control requests of operators and targets on a control host: it proposes each as a
// command to the replicated log and acknowledges it when the command is committed.
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
	"bramleyline.example/bramleyline/proposer"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// commitTimeout bounds the commit of a command. Operators and targets try another host after a second.
	commitTimeout = 3 * time.Second
	// maxStaleness is the greatest staleness at which this host's state, with its table, counts as the newest. It is half
	// of the 2 s within which a new table has to be in force.
	maxStaleness = time.Second
	// freshTimeout bounds the wait of an announcement for a fresh state: its sender tries another host after a second.
	// freshCheckInterval is the longest time between two checks; hundreds of announcements may wait at once.
	freshTimeout       = 900 * time.Millisecond
	freshCheckInterval = 150 * time.Millisecond
	// orderTimeout bounds the commit of an order without a number: its sender tries another host after a second, and then sends
	// newer orders.
	orderTimeout = time.Second
	// senderCheckTime is how long such an order is held before it is proposed. A host that was frozen reads orders whose senders
	// have left long ago; in this time it reads that they have closed their connections, too.
	senderCheckTime = 50 * time.Millisecond
	// inForceTimeout bounds how long an order waits for its change to be in force at all hosts, from its arrival and from the commit
	// on: the acknowledgement has to arrive before its sender tries another control host, after a second, and then comes at once.
	inForceTimeout = 700 * time.Millisecond
	// maxTableBytes bounds the decompressed text of a table.
	maxTableBytes = 64 << 20
)

// ErrStaleState reports that this host's state may be stale.
var ErrStaleState = errors.New("a newer state may be in force")

// State gives this host's copy of the replicated state.
type State interface {
	State() *applier.State
	// Changed returns a channel that is closed when there is a newer state.
	Changed() <-chan struct{}
	// TakeoutIndex returns a log index by which a data centre was out of service, zero if it is in service.
	TakeoutIndex(dataCentre string) uint64
	// Lag returns the staleness of State: the time since it last was known to have everything that was committed.
	Lag() time.Duration
}

// Proposer commits commands at the control leader.
type Proposer interface {
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
	// ProposeAfter commits an order unless it was superseded after a log index; the error is then proposer.ErrSuperseded.
	ProposeAfter(ctx context.Context, basis uint64, cmd applier.Command) (applier.Result, error)
}

// Barrier waits until a change is in force at all hosts that serve callers.
type Barrier interface {
	// Await waits until the log up to index is in force at all of them, at most for limit after it was committed or until ctx ends.
	Await(ctx context.Context, index uint64, limit time.Duration)
}

// Committer handles control requests. All fields but Barrier are required.
type Committer struct {
	State    State
	Proposer Proposer
	// Barrier holds back the acknowledgements of what hosts cannot find out by themselves: tables and takeouts. Departures need
	// none, since hosts ask the targets. If it is nil, orders are acknowledged when they are committed.
	Barrier Barrier
	// Name is the name of this host.
	Name string
	Log  *log.Logger
}

// Announce commits the announcement of a target, if it changes the registry. If this host is not in the target's data
// centre, Announce also returns the address of a control host there for later announcements, if one is known.
func (c *Committer) Announce(ctx context.Context, t registrar.Target) (netip.AddrPort, error) {
	st := c.State.State()
	if st.Registry.Changes(t) && c.State.Lag() > maxStaleness {
		// The state of a host that has just started is incomplete. The host would propose the announcement of every target
		// again although the log has it.
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
	return c.localAnnounceAddr(st, t.DataCentre), nil
}

// awaitFresh waits until this host's state is fresh, at most about as long as a target waits for the answer.
func (c *Committer) awaitFresh(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, freshTimeout)
	defer cancel()
	ticker := time.NewTicker(freshCheckInterval)
	defer ticker.Stop()
	for {
		changed := c.State.Changed()
		if c.State.Lag() <= maxStaleness {
			return nil
		}
		select {
		case <-changed:
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ErrStaleState, "announcement of a target")
		}
	}
}

// localAnnounceAddr returns the address for announcements of a control host in the given data centre. It is invalid if
// this host is in that data centre itself, or if none is known there.
func (c *Committer) localAnnounceAddr(st *applier.State, dataCentre string) netip.AddrPort {
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

// Drain commits that a target is draining and will stop soon. The order does not tell which process under the ID has sent it, so
// it is proposed like an order of an operator, and always: by an older state, the process before may be draining.
func (c *Committer) Drain(ctx context.Context, id string) error {
	if _, err := c.proposeOrder(ctx, applier.Command{
		Registry: &registrar.Change{
			Drain: &registrar.DrainMsg{
				ID: id,
			},
		},
	}); err != nil {
		return errors.Wrap(err, "commit")
	}
	c.Log.Info("target leaves", "target", id)
	return nil
}

// PutTable commits a traffic table, unless one with the same or a higher version is stored already, and waits for a bounded time until it
// is in force.
func (c *Committer) PutTable(ctx context.Context, t *matcher.Table, text []byte) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	began := time.Now()
	stored := func(st *applier.State) bool { return st.Registry.Table.Version >= t.Version }
	if !stored(c.State.State()) {
		if err := c.storeTable(ctx, t, text); err != nil {
			return err
		}
	}
	c.awaitInForce(ctx, began, stored, func(st *applier.State) uint64 { return st.Registry.Table.Index })
	return nil
}

func (c *Committer) storeTable(ctx context.Context, t *matcher.Table, text []byte) error {
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

// Table returns the text of the newest traffic table.
func (c *Committer) Table(context.Context) ([]byte, error) {
	if lag := c.State.Lag(); lag > maxStaleness {
		return nil, errors.Wrapf(ErrStaleState, "newest state is %s old", lag.Round(time.Millisecond))
	}
	d := c.State.State().Registry.Table
	if d.Version == 0 {
		return nil, errors.New("there is no table yet")
	}
	return DecompressTable(d)
}

// SetOut takes a data centre out of service, and waits for a bounded time until that is in force, or restores it.
func (c *Committer) SetOut(ctx context.Context, dataCentre string, out bool) error {
	began, before := time.Now(), c.State.State().Index
	r, err := c.proposeOrder(ctx, applier.Command{
		SetService: &applier.SetServiceMsg{
			DataCentre: dataCentre,
			Out:        out,
			// The time tells a takeout that follows a restoration from one that is repeated.
			At: time.Now(),
		},
	})
	if err == nil && r.Rejection != "" {
		err = errors.New(r.Rejection)
	}
	if err != nil {
		return errors.Wrap(err, "takeout")
	}
	if out {
		c.awaitInForce(ctx, began, func(st *applier.State) bool {
			return st.Index > before && st.DataCentres[dataCentre].Out
		}, func(*applier.State) uint64 {
			return c.State.TakeoutIndex(dataCentre)
		})
	}
	return nil
}

// awaitInForce waits until the state of this host has a change that was committed, and then until that is in force at all hosts. index
// returns a log index by which the change was committed. The order began at began. Its change is committed, so it is acknowledged however
// the wait ends: a refusal would only make the sender wait longer before it asks again.
func (c *Committer) awaitInForce(
	ctx context.Context, began time.Time, has func(*applier.State) bool, index func(*applier.State) uint64,
) {
	if c.Barrier == nil {
		return
	}
	ctx, cancel := context.WithDeadline(ctx, began.Add(inForceTimeout))
	defer cancel()
	for {
		changed := c.State.Changed()
		if st := c.State.State(); has(st) {
			c.Barrier.Await(ctx, index(st), inForceTimeout)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// proposeOrder commits an order that has neither a number nor a time, unless it is outdated. ctx has to end when the sender
// closes its connection: an order whose sender has left was sent to another host, too, and newer ones may have followed. The
// state is read before the sender is known to wait, so the leader finds any newer order after it.
func (c *Committer) proposeOrder(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	for {
		changed := c.State.Changed()
		basis := c.State.State().Index
		if basis == 0 {
			return applier.Result{}, errors.Wrap(ErrStaleState, "there is no state yet")
		}
		select {
		case <-time.After(senderCheckTime):
		case <-ctx.Done():
			return applier.Result{}, errors.Wrap(ctx.Err(), "sender has left")
		}
		r, err := c.Proposer.ProposeAfter(ctx, basis, cmd)
		if !errors.Is(err, proposer.ErrSuperseded) {
			return r, err
		}
		// The sender still waits: its order is the newer one, or a repetition of the one that was found.
		select {
		case <-changed:
		case <-ctx.Done():
			return applier.Result{}, err
		}
	}
}

func (c *Committer) propose(ctx context.Context, change registrar.Change) error {
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	_, err := c.Proposer.Propose(ctx, applier.Command{
		Registry: &change,
	})
	return errors.Wrap(err, "commit")
}

// DecompressTable returns the decompressed text of a stored traffic table.
func DecompressTable(d registrar.Document) ([]byte, error) {
	text, err := compressor.Decompress(d.Body, maxTableBytes)
	return text, errors.Wrap(err, "stored table")
}
