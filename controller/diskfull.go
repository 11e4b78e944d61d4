package controller

import (
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/timekeeper"
)

// diskProbeInterval is the time between two checks whether a full disk takes writes again.
const diskProbeInterval = 500 * time.Millisecond

// awaitDiskSpace keeps the host out of the control group while its disk is full: it acknowledges nothing, does not vote
// and does not lead. State still returns what was applied, and the age of the contact grows. When the disk takes writes
// again, the member resumes from what is durable and resumed is true. An error means that it cannot resume.
func (c *Controller) awaitDiskSpace(cause error) (resumed bool, err error) {
	began := timekeeper.Now()
	c.leadership.Store(nil)
	c.presiding.Store(false)
	c.peerStatus.Store(nil)
	c.failPending()
	counters.Add("diskFull", 1)
	c.log.Error("disk is full, out of the control group", "err", cause, "term", c.core.Term(), "index", c.feed.current().Index)
	ticker := time.NewTicker(diskProbeInterval)
	defer ticker.Stop()
	for {
		select {
		case <-c.stop:
			return false, nil
		case <-c.inbox:
		case r := <-c.requests:
			r.outcome <- outcome{
				err: ErrNotLeader,
			}
		case <-c.snapshots:
			c.snapshotting = false
		case <-ticker.C:
			err := c.reopen()
			if err == nil {
				c.log.Info("disk takes writes again", "after", timekeeper.Since(began), "term", c.core.Term(),
					"index", c.feed.current().Index)
				return true, nil
			}
			if !journaler.Full(err) {
				return false, errors.Wrap(err, "reopen log after the disk was full")
			}
		}
	}
}

// reopen resumes from what the journal made durable, as after a restart. The state is kept: all of it was committed.
func (c *Controller) reopen() error {
	journal, rec, err := c.journal.Reopen()
	if err != nil {
		return err
	}
	core, err := newCore(c.settings, rec)
	if err != nil {
		return err
	}
	c.journal, c.core = journal, core
	c.lastSnapshotIndex, c.appliedBytes = 0, 0
	if rec.Snapshot != nil {
		c.lastSnapshotIndex = rec.Snapshot.Index
	}
	return nil
}
