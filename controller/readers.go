package controller

import (
	"time"

	"bramleyline.example/bramleyline/confirmer"
	"bramleyline.example/bramleyline/timekeeper"
)

// maxBehindWait bounds how long a question for readers that are behind waits for them.
const maxBehindWait = time.Second

// BehindArgs are the arguments of State.Behind.
type BehindArgs struct {
	// Index is the log index that readers have to confirm. The answer is held back while some that pull from this host have not,
	// for at most Wait.
	Index uint64
	Wait  time.Duration
	// Names are readers that are behind as far as other hosts know.
	Names []string
}

// BehindReply is the answer of State.Behind.
type BehindReply struct {
	// Behind are the readers of this host that have not confirmed the index, and Confirmed those of the names asked for that have.
	Behind    []string
	Confirmed []string
	// Silent are the members that have not answered this host for longer than a reader counts as in touch, if it leads. Hosts of older
	// versions leave it empty.
	Silent []string
}

// Readers returns the record of the hosts that pull their state from this one.
func (c *Controller) Readers() *confirmer.Confirmer {
	return &c.readers
}

// Silent returns the names of the other members that have not answered this host for longer than a reader counts as in touch. It is nil
// unless this host leads.
func (c *Controller) Silent() []string {
	if _, ok := c.Leading(timekeeper.Now()); !ok {
		return nil
	}
	var names []string
	for _, p := range c.Peers() {
		if p.SinceAnswered > confirmer.DefaultLease {
			names = append(names, p.Name)
		}
	}
	return names
}

// TakeoutIndex returns a log index by which a data centre was out of service, zero if it is in service.
func (c *Controller) TakeoutIndex(dataCentre string) uint64 {
	return c.feed.takeoutIndex(dataCentre)
}

// AppliedAt returns a time by which this host had applied the command at a log index, or the present time if it has not.
func (c *Controller) AppliedAt(index uint64) time.Time {
	return c.feed.appliedAt(index)
}

// Behind waits until all readers of this host have confirmed an index, and returns those that have not.
func (s *stateService) Behind(args *BehindArgs, reply *BehindReply) error {
	timer := time.NewTimer(min(args.Wait, maxBehindWait))
	defer timer.Stop()
	readers := s.c.Readers()
	for {
		changed := readers.Changed()
		reply.Behind = readers.Behind(timekeeper.Now(), args.Index)
		reply.Confirmed = readers.Confirmed(args.Names, args.Index)
		reply.Silent = s.c.Silent()
		if len(reply.Behind) == 0 {
			return nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return nil
		case <-s.c.done:
			return ErrStopped
		}
	}
}
