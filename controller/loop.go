package controller

import (
	"slices"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// ticksPerTimeout is the number of ticks per election timeout.
	ticksPerTimeout = 20
	// snapshotEveryBytes is the total size of applied entries after which a snapshot is taken, however few they are.
	snapshotEveryBytes = 16 << 20
	// maxBatch bounds the queued messages and requests that are made durable together.
	maxBatch = 512
	// peerStatusInterval is the time between updates of what Peers returns.
	peerStatusInterval = 100 * time.Millisecond
)

// run runs the update loop until the controller stops, with an interruption whenever the disk is full.
func (c *Controller) run() {
	for {
		err := c.updateLoop()
		resumed := false
		if journaler.Full(err) {
			resumed, err = c.awaitDiskSpace(err)
		}
		if resumed {
			continue
		}
		if err != nil {
			c.log.Error("control host stopped", "err", err)
			counters.Add("failures", 1)
		}
		c.finish(err)
		return
	}
}

// updateLoop handles messages, requests, snapshots and ticks. It returns nil when the controller is closed, and
// otherwise the failure that ended it, such as a failed write to the journal.
func (c *Controller) updateLoop() error {
	ticker := time.NewTicker(max(time.Millisecond, c.settings.timing.ElectionTimeout/ticksPerTimeout))
	defer ticker.Stop()
	var err error
	for err == nil {
		select {
		case <-c.stop:
			return nil
		case m := <-c.inbox:
			c.core.Step(timekeeper.Now(), m)
		case r := <-c.requests:
			c.handleRequest(r)
		case s := <-c.snapshots:
			err = c.saveSnapshot(s)
		case <-ticker.C:
		}
		if err == nil {
			c.drainQueues()
			c.core.Tick(timekeeper.Now())
			err = c.processEffects()
		}
	}
	return err
}

// drainQueues handles what else is queued, up to maxBatch, so that one sync makes all of it durable.
func (c *Controller) drainQueues() {
	var commands []request
	now := timekeeper.Now()
	for range maxBatch {
		select {
		case m := <-c.inbox:
			c.core.Step(now, m)
			continue
		default:
		}
		select {
		case r := <-c.requests:
			if r.change != nil || r.basis != 0 {
				// What was queued before goes first, so that the order is compared with it.
				c.proposeBatch(commands)
				commands = nil
				c.handleRequest(r)
			} else {
				commands = append(commands, r)
			}
			continue
		default:
		}
		break
	}
	c.proposeBatch(commands)
}

// processEffects carries out the effects of the Raft core until there are none.
func (c *Controller) processEffects() error {
	for {
		e := c.core.Effects()
		if _, ok := c.core.Leading(timekeeper.Now()); !ok {
			// After the leadership has ended, Leading must return false before a vote for another member is sent.
			c.leadership.Store(nil)
		}
		if e.Empty() {
			// After the leadership has begun, Leading may return true only once all committed commands are applied.
			c.publishStatus(timekeeper.Now())
			if c.core.Leader() != c.settings.name {
				c.failPending()
			}
			return nil
		}
		c.sendAll(e.EarlyMessages)
		if e.HardState != nil {
			if err := c.journal.SaveHardState(*e.HardState); err != nil {
				return err
			}
		}
		if e.Snapshot != nil {
			if err := c.installSnapshot(*e.Snapshot, e.KeepsLog); err != nil {
				return err
			}
		}
		if err := c.journal.Append(e.Entries); err != nil {
			return err
		}
		c.sendAll(e.Messages)
		if err := c.apply(e.Committed); err != nil {
			return err
		}
		c.core.Saved(timekeeper.Now(), e)
	}
}

// apply applies committed entries to the state and answers their proposals.
func (c *Controller) apply(entries []journaler.Entry) error {
	if len(entries) == 0 {
		return nil
	}
	before := c.feed.current()
	batch := applier.NewBatch(before)
	applied := make([]appliedCommand, 0, len(entries))
	results := make([]applier.Result, 0, len(entries))
	now := timekeeper.Now()
	for _, e := range entries {
		if e.Index <= before.Index {
			// The log was reopened after the disk was full, and the state already includes this entry.
			results = append(results, applier.Result{})
			continue
		}
		cmd, data, err := commandOf(e)
		if err != nil {
			return errors.Wrapf(err, "apply entry %d", e.Index)
		}
		results = append(results, batch.Apply(e.Index, cmd))
		c.appliedBytes += len(e.Data)
		applied = append(applied, appliedCommand{
			index: e.Index,
			data:  data,
			at:    now,
		})
	}
	state := batch.State()
	c.feed.publish(state, applied)
	counters.Add("applied", int64(len(entries)))
	for i, e := range entries {
		c.resolve(e, results[i])
	}
	if state.Index == entries[len(entries)-1].Index {
		c.startSnapshotIfDue(state)
	}
	return nil
}

// commandOf returns the command of an entry and its encoded form, which is empty if the entry only advances the index.
func commandOf(e journaler.Entry) (applier.Command, []byte, error) {
	switch e.Kind {
	case journaler.KindEmpty:
		return applier.Command{}, nil, nil
	case journaler.KindCommand:
		cmd, err := applier.DecodeCommand(e.Data)
		return cmd, e.Data, err
	case journaler.KindMembers:
		members, err := journaler.DecodeMembers(e.Data)
		if err != nil {
			return applier.Command{}, nil, err
		}
		m := applier.ChangeVotersMsg{}
		for _, member := range members {
			if member.Learner {
				m.Learners = append(m.Learners, member.Name)
			} else {
				m.Voters = append(m.Voters, member.Name)
			}
		}
		cmd := applier.Command{
			ChangeVoters: &m,
		}
		data, err := applier.EncodeCommand(cmd)
		return cmd, data, err
	}
	return applier.Command{}, nil, errors.Errorf("unknown entry kind %d", e.Kind)
}

// publishStatus makes leadership, contact and members visible to other goroutines.
func (c *Controller) publishStatus(now time.Time) {
	leadership, ok := c.core.Leading(now)
	if ok {
		c.leadership.Store(&leadership)
	} else {
		c.leadership.Store(nil)
	}
	c.presiding.Store(c.core.Presiding())
	c.contact.Store(&leaderContact{
		leader:    c.core.Leader(),
		contactAt: c.core.MajorityContact(now),
		currentAt: c.core.CurrentAsOf(now),
	})
	members := c.core.Members()
	old := c.members.Swap(&members)
	if now.Sub(c.peerStatusAt) >= peerStatusInterval || old == nil || !slices.Equal(*old, members) {
		peers := c.core.Peers(now)
		c.peerStatusAt = now
		c.peerStatus.Store(&peers)
	}
	if recovering := c.core.Recovering(); c.recovering.Swap(recovering) != recovering {
		c.log.Info("recovery of a host with an empty data folder", "host", c.settings.name, "recovering", recovering)
	}
	if ok != c.wasLeading {
		c.wasLeading = ok
		counters.Add("leaderChanges", 1)
		c.log.Info("control leadership changed", "host", c.settings.name, "leading", ok)
	}
}

// finish ends the calls and proposals in progress, closes the journal and sets what Err returns.
func (c *Controller) finish(err error) {
	c.leadership.Store(nil)
	c.presiding.Store(false)
	for _, p := range c.peers {
		p.close()
	}
	c.failPending()
	if closeErr := c.journal.Close(); err == nil {
		err = closeErr
	}
	_ = c.folderLock.Close()
	c.err = err
	close(c.done)
}

// encodedSnapshot is the result of encoding the state in the background.
type encodedSnapshot struct {
	// core is the Raft core that applied the state. The snapshot is discarded if another core has replaced it.
	core  *replicator.Replicator
	index uint64
	data  []byte
	err   error
}

// startSnapshotIfDue starts to encode the state in the background if enough entries were applied since the last
// snapshot. The state is immutable, so later commands do not interfere.
func (c *Controller) startSnapshotIfDue(state *applier.State) {
	due := state.Index >= c.lastSnapshotIndex+c.settings.snapshotEvery || c.appliedBytes >= snapshotEveryBytes
	if c.snapshotting || !due {
		return
	}
	c.snapshotting, c.appliedBytes = true, 0
	core := c.core
	go func() {
		data, err := applier.EncodeSnapshot(state)
		c.snapshots <- encodedSnapshot{
			core:  core,
			index: state.Index,
			data:  data,
			err:   err,
		}
	}()
}

// saveSnapshot makes an encoded snapshot durable and compacts the log, unless a newer snapshot was installed meanwhile.
func (c *Controller) saveSnapshot(e encodedSnapshot) error {
	c.snapshotting = false
	if e.err != nil {
		return e.err
	}
	if e.index <= c.lastSnapshotIndex || e.core != c.core {
		return nil
	}
	s, err := c.core.SnapshotAt(e.index, e.data)
	if err != nil {
		return err
	}
	if err := c.journal.SaveSnapshot(s, true); err != nil {
		return err
	}
	c.core.Compact(s)
	c.lastSnapshotIndex = s.Index
	counters.Add("snapshots", 1)
	return nil
}

// installSnapshot makes a received snapshot durable and replaces the state by it if it is newer. keepsLog is true if
// the log continues the snapshot.
func (c *Controller) installSnapshot(s journaler.Snapshot, keepsLog bool) error {
	state, err := applier.DecodeSnapshot(s.Data)
	if err != nil {
		return errors.Wrapf(err, "snapshot %d", s.Index)
	}
	if err := c.journal.SaveSnapshot(s, keepsLog); err != nil {
		return err
	}
	c.lastSnapshotIndex = s.Index
	if state.Index > c.feed.current().Index {
		c.feed.reset(state)
	}
	counters.Add("installedSnapshots", 1)
	return nil
}

func (c *Controller) sendAll(messages []replicator.Message) {
	for _, m := range messages {
		p, ok := c.peers[m.To]
		if !ok {
			p = startPeer(c.settings.messenger, c.settings.addr, c.settings.timing.ElectionTimeout)
			c.peers[m.To] = p
		}
		p.send(c.address(m.To), m)
	}
}
