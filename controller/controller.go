// Package controller is a member of a replicated state machine, the control group: one update loop drives a Raft core
// (package replicator), its write-ahead log (package journaler) and the state that the committed entries yield (package
// applier). A proposal succeeds only after its entry is committed and applied on this host.
package controller

import (
	"context"
	"expvar"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/confirmer"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
	"bramleyline.example/bramleyline/timekeeper"
)

var (
	// ErrNotLeader reports a proposal to a host that does not lead the control group. The command was not applied.
	ErrNotLeader = errors.New("not the control leader")
	// ErrOutcomeUnknown reports a proposal that may have been applied or may still be.
	ErrOutcomeUnknown = errors.New("command may have been applied")
	// ErrSuperseded reports an order that was not appended, because the log has a newer command on the same subject than its
	// sender knew of, or may have had one.
	ErrSuperseded = errors.New("superseded by a newer command")
	// ErrStopped reports a controller that was closed or whose journal failed.
	ErrStopped = errors.New("controller has stopped")
)

var counters = expvar.NewMap("controller")

// Controller runs one member of the control group. Make it with New.
type Controller struct {
	settings settings
	log      *log.Logger

	folderLock io.Closer
	journal    *journaler.Journaler
	core       *replicator.Replicator
	feed       *feed
	readers    confirmer.Confirmer
	peers      map[string]*peer
	// pending holds the proposals that were appended and are not applied yet, by log index.
	pending map[uint64]pendingProposal
	// lastSnapshotIndex is the index of the newest snapshot; snapshotting is true while the next one is encoded.
	lastSnapshotIndex uint64
	snapshotting      bool
	// appliedBytes is the total size of the entries applied since the encoding of the last snapshot began.
	appliedBytes int
	wasLeading   bool

	leadership atomic.Pointer[replicator.Lead]
	// presiding is true while this host is the leader of its term, with or without a valid lease.
	presiding atomic.Bool
	contact   atomic.Pointer[leaderContact]
	members   atomic.Pointer[[]journaler.Member]
	// peerStatus is what Peers returns, as of peerStatusAt.
	peerStatusAt time.Time
	peerStatus   atomic.Pointer[[]replicator.Peer]
	// recovering is true while the host does not vote because it started with an empty disk.
	recovering atomic.Bool

	inbox chan replicator.Message
	// senderAddrs maps the name of each member that sent its RPC address with a message to that address.
	senderAddrs sync.Map
	requests    chan request
	snapshots   chan encodedSnapshot

	startOnce sync.Once
	started   bool
	closeOnce sync.Once
	stop      chan struct{}
	done      chan struct{}
	err       error
}

type leaderContact struct {
	// leader is the name of the leader, empty if none is known.
	leader string
	// contactAt is when this host, the leader and a majority were last known to be in contact.
	contactAt time.Time
	// currentAt is when this host was last known to have every committed entry.
	currentAt time.Time
}

// New opens the data folder and returns a controller that has not started yet. The first start of a host uses the
// voters from the options; later starts use the member list of the log.
func New(options ...Option) (*Controller, error) {
	s := defaultSettings()
	for _, o := range options {
		o(&s)
	}
	if err := s.check(); err != nil {
		return nil, err
	}
	lock, err := s.lockFolder()
	if err != nil {
		return nil, errors.Wrapf(err, "lock data folder of %s", s.name)
	}
	c, err := open(s)
	if err != nil {
		_ = lock.Close()
		return nil, err
	}
	c.folderLock = lock
	return c, nil
}

func open(s settings) (*Controller, error) {
	journal, rec, err := journaler.Open(s.fileSystem)
	if err != nil {
		return nil, errors.Wrapf(err, "open log of %s", s.name)
	}
	state := &applier.State{}
	if rec.Snapshot != nil {
		if state, err = applier.DecodeSnapshot(rec.Snapshot.Data); err != nil {
			return nil, errors.Wrapf(err, "snapshot %d", rec.Snapshot.Index)
		}
	}
	core, err := newCore(s, rec)
	if err != nil {
		return nil, err
	}
	c := Controller{
		settings:  s,
		log:       s.logger,
		journal:   journal,
		core:      core,
		feed:      newFeed(state),
		peers:     make(map[string]*peer),
		pending:   make(map[uint64]pendingProposal),
		inbox:     make(chan replicator.Message, 1024),
		requests:  make(chan request, 1024),
		snapshots: make(chan encodedSnapshot, 1),
		stop:      make(chan struct{}),
		done:      make(chan struct{}),
	}
	if rec.Snapshot != nil {
		c.lastSnapshotIndex = rec.Snapshot.Index
	}
	if rec.TornBytes > 0 {
		c.log.Warn("removed an incomplete write from the end of the log", "bytes", rec.TornBytes)
	}
	c.publishStatus(timekeeper.Now())
	return &c, nil
}

// newCore returns a Raft core that resumes from the recovered log.
func newCore(s settings, rec journaler.Recovered) (*replicator.Replicator, error) {
	core, err := replicator.New(timekeeper.Now(), replicator.Options{
		Name:            s.name,
		Members:         s.initialMembers(),
		ElectionTimeout: s.timing.ElectionTimeout,
		Seed:            s.seed,
		Unique:          s.uniqueName,
	}, rec)
	return core, errors.Wrapf(err, "log of %s", s.name)
}

// Start starts the update loop.
func (c *Controller) Start() error {
	c.startOnce.Do(func() {
		c.started = true
		go c.run()
	})
	return nil
}

// State returns the newest applied state. It is immutable.
func (c *Controller) State() *applier.State {
	return c.feed.current()
}

// Changed returns a channel that is closed when a newer state than the present one is published. A caller that must not
// miss a change gets the channel before it reads State.
func (c *Controller) Changed() <-chan struct{} {
	return c.feed.changed()
}

// Leading returns the time since which this host has led the control group. ok is true only while the contact with a
// majority is recent enough that no other host can have been elected by now.
func (c *Controller) Leading(now time.Time) (since time.Time, ok bool) {
	l := c.leadership.Load()
	if l == nil || !now.Before(l.Until) {
		return time.Time{}, false
	}
	return l.Since, true
}

// Presiding reports whether this host is still the leader of the newest term that it knows of, even if its lease has lapsed.
// If the lease becomes valid again while Presiding is true and Leading returns the same time as before, no other host was
// elected meanwhile, and what this host has granted as the leader is still in force.
func (c *Controller) Presiding() bool {
	return c.presiding.Load()
}

// Contact returns the leader's name and the time since this host, the leader and a majority were last known to be in
// contact. The name is empty if no leader is known.
func (c *Controller) Contact() (leader string, age time.Duration) {
	l := c.contact.Load()
	return l.leader, timekeeper.Since(l.contactAt)
}

// Lag returns the staleness of State: the time since it was last known to include every committed command.
func (c *Controller) Lag() time.Duration {
	return timekeeper.Since(c.contact.Load().currentAt)
}

// Members returns the member list in force at this host.
func (c *Controller) Members() []journaler.Member {
	return *c.members.Load()
}

// Peers returns the leader's view of the other members, at most peerStatusInterval old; nil on a host that does not
// lead.
func (c *Controller) Peers() []replicator.Peer {
	if p := c.peerStatus.Load(); p != nil {
		return *p
	}
	return nil
}

// Recovering reports whether this host started with an empty disk and does not count as a voter yet.
func (c *Controller) Recovering() bool {
	return c.recovering.Load()
}

// Done returns a channel that is closed when the controller has stopped; Err then returns the cause.
func (c *Controller) Done() <-chan struct{} {
	return c.done
}

// Err returns the failure that stopped the controller. It is nil while the controller runs and after a Close without
// failures.
func (c *Controller) Err() error {
	select {
	case <-c.done:
		return c.err
	default:
		return nil
	}
}

// Close stops the controller. Proposals in progress end with ErrStopped or ErrOutcomeUnknown.
func (c *Controller) Close() error {
	c.closeOnce.Do(func() {
		close(c.stop)
		c.startOnce.Do(func() {
			c.finish(nil)
		})
	})
	<-c.done
	return c.Err()
}

// Propose appends cmd to the log and returns its result once it is committed and applied here. The error is
// ErrNotLeader, with the name of the leader if it is known, or ErrOutcomeUnknown, or ErrStopped.
func (c *Controller) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	data, err := applier.EncodeCommand(cmd)
	if err != nil {
		return applier.Result{}, err
	}
	return c.submit(ctx, request{
		command: data,
		outcome: make(chan outcome, 1),
	})
}
