package controller

import (
	"context"
	"net/netip"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/journaler"
	"bramleyline.example/bramleyline/replicator"
	"bramleyline.example/bramleyline/timekeeper"
)

// request asks the update loop to append a command or to change the member list.
type request struct {
	command []byte
	change  func(now time.Time) (uint64, error)
	outcome chan outcome
}

type outcome struct {
	result applier.Result
	err    error
}

type waitingProposal struct {
	term    uint64
	outcome chan outcome
}

func (c *Controller) submit(ctx context.Context, r request) (applier.Result, error) {
	select {
	case c.requests <- r:
	case <-c.done:
		return applier.Result{}, ErrStopped
	case <-ctx.Done():
		return applier.Result{}, errors.Wrap(ErrNotLeader, "no answer from the update loop")
	}
	select {
	case o := <-r.outcome:
		return o.result, o.err
	case <-c.done:
		select {
		case o := <-r.outcome:
			return o.result, o.err
		default:
			return applier.Result{}, errors.Wrap(ErrOutcomeUnknown, ErrStopped.Error())
		}
	case <-ctx.Done():
		return applier.Result{}, errors.Wrap(ErrOutcomeUnknown, ctx.Err().Error())
	}
}

func (c *Controller) take(r request) {
	if r.change == nil {
		c.proposeAll([]request{r})
		return
	}
	index, err := r.change(timekeeper.Now())
	if errors.Is(err, replicator.ErrNotLeader) {
		err = c.notLeader()
	}
	if err != nil {
		r.outcome <- outcome{
			err: err,
		}
		return
	}
	c.waiting[index] = waitingProposal{
		term:    c.core.Term(),
		outcome: r.outcome,
	}
}

func (c *Controller) proposeAll(requests []request) {
	if len(requests) == 0 {
		return
	}
	commands := make([][]byte, 0, len(requests))
	for _, r := range requests {
		commands = append(commands, r.command)
	}
	first, term, err := c.core.Propose(timekeeper.Now(), commands)
	for i, r := range requests {
		if err != nil {
			r.outcome <- outcome{
				err: c.notLeader(),
			}
			continue
		}
		c.waiting[first+uint64(i)] = waitingProposal{
			term:    term,
			outcome: r.outcome,
		}
	}
}

func (c *Controller) notLeader() error {
	if leader := c.core.Leader(); leader != "" {
		return errors.Wrapf(ErrNotLeader, "the leader is %s", leader)
	}
	return errors.Wrap(ErrNotLeader, "no leader is known")
}

// resolve answers the proposal that waits for e.
func (c *Controller) resolve(e journaler.Entry, result applier.Result) {
	w, ok := c.waiting[e.Index]
	if !ok {
		return
	}
	delete(c.waiting, e.Index)
	o := outcome{
		result: result,
	}
	if w.term != e.Term {
		// Another leader's entry is committed in its place.
		o = outcome{
			err: c.notLeader(),
		}
	}
	w.outcome <- o
}

// abandon answers the proposals that a former leader can no longer follow.
func (c *Controller) abandon() {
	for index, w := range c.waiting {
		delete(c.waiting, index)
		w.outcome <- outcome{
			err: errors.Wrap(ErrOutcomeUnknown, "leadership was lost"),
		}
	}
}

// AddLearner adds a host that receives the log and does not vote, and returns when that is committed.
func (c *Controller) AddLearner(ctx context.Context, name string, addr netip.AddrPort) error {
	return c.changeMembers(ctx, func(now time.Time) (uint64, error) {
		return c.core.AddLearner(now, journaler.Member{
			Name: name,
			Addr: addr,
		})
	})
}

// Promote makes a learner that has caught up a voter, and returns when that is committed. The error is
// replicator.ErrNotCaughtUp for a learner that lacks entries, and replicator.ErrChangePending while an earlier change is
// not committed.
func (c *Controller) Promote(ctx context.Context, name string) error {
	return c.changeMembers(ctx, func(now time.Time) (uint64, error) {
		return c.core.Promote(now, name)
	})
}

// Remove removes a voter or a learner, and returns when that is committed.
func (c *Controller) Remove(ctx context.Context, name string) error {
	return c.changeMembers(ctx, func(now time.Time) (uint64, error) {
		return c.core.Remove(now, name)
	})
}

func (c *Controller) changeMembers(ctx context.Context, change func(time.Time) (uint64, error)) error {
	_, err := c.submit(ctx, request{
		change:  change,
		outcome: make(chan outcome, 1),
	})
	return err
}
