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
	// basis is the log index of the state on which an order is based: it is refused if a later entry supersedes it. Zero
	// means that the command may be applied on any state.
	basis uint64
	// change changes the member list and returns the log index of the change; it is nil for a command.
	change  func(now time.Time) (uint64, error)
	outcome chan outcome
}

type outcome struct {
	result applier.Result
	err    error
}

// pendingProposal is an appended proposal whose entry is not applied yet.
type pendingProposal struct {
	// term is the term of the entry.
	term    uint64
	outcome chan outcome
}

// submit passes r to the update loop and waits for its outcome.
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

func (c *Controller) handleRequest(r request) {
	if r.change == nil {
		if err := c.checkBasis(r); err != nil {
			r.outcome <- outcome{
				err: err,
			}
			return
		}
		c.proposeBatch([]request{r})
		return
	}
	index, err := r.change(timekeeper.Now())
	if errors.Is(err, replicator.ErrNotLeader) {
		err = c.notLeaderError()
	}
	if err != nil {
		r.outcome <- outcome{
			err: err,
		}
		return
	}
	c.pending[index] = pendingProposal{
		term:    c.core.Term(),
		outcome: r.outcome,
	}
}

// checkBasis returns ErrSuperseded if an entry after the basis of r supersedes it. It reads the log instead of the state, so that
// it also sees entries that are not committed yet, and members of older versions apply the same entries.
func (c *Controller) checkBasis(r request) error {
	if r.basis == 0 || !c.core.Presiding() {
		return nil
	}
	order, err := applier.DecodeCommand(r.command)
	if err != nil {
		return err
	}
	entries, ok := c.core.EntriesAfter(r.basis)
	if !ok {
		return errors.Wrapf(ErrSuperseded, "entries after %d are compacted", r.basis)
	}
	for _, e := range entries {
		if e.Kind != journaler.KindCommand {
			continue
		}
		cmd, err := applier.DecodeCommand(e.Data)
		if err != nil {
			return errors.Wrapf(err, "entry %d", e.Index)
		}
		if cmd.Supersedes(order) {
			return errors.Wrapf(ErrSuperseded, "entry %d is newer than %d", e.Index, r.basis)
		}
	}
	return nil
}

func (c *Controller) proposeBatch(requests []request) {
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
				err: c.notLeaderError(),
			}
			continue
		}
		c.pending[first+uint64(i)] = pendingProposal{
			term:    term,
			outcome: r.outcome,
		}
	}
}

func (c *Controller) notLeaderError() error {
	if leader := c.core.Leader(); leader != "" {
		return errors.Wrapf(ErrNotLeader, "the leader is %s", leader)
	}
	return errors.Wrap(ErrNotLeader, "no leader is known")
}

// resolve answers the pending proposal at the index of e, if there is one.
func (c *Controller) resolve(e journaler.Entry, result applier.Result) {
	p, ok := c.pending[e.Index]
	if !ok {
		return
	}
	delete(c.pending, e.Index)
	o := outcome{
		result: result,
	}
	if p.term != e.Term {
		// The entry of another leader was committed at this index instead.
		o = outcome{
			err: c.notLeaderError(),
		}
	}
	p.outcome <- o
}

// failPending answers all pending proposals with ErrOutcomeUnknown, because a host that no longer leads cannot
// determine whether they will be committed.
func (c *Controller) failPending() {
	for index, p := range c.pending {
		delete(c.pending, index)
		p.outcome <- outcome{
			err: errors.Wrap(ErrOutcomeUnknown, "leadership was lost"),
		}
	}
}

// AddLearner adds a host that receives the log and does not vote, and returns once the change is committed.
func (c *Controller) AddLearner(ctx context.Context, name string, addr netip.AddrPort) error {
	return c.changeMembers(ctx, func(now time.Time) (uint64, error) {
		return c.core.AddLearner(now, journaler.Member{
			Name: name,
			Addr: addr,
		})
	})
}

// Promote turns a learner that has caught up into a voter, and returns once the change is committed. The error is
// replicator.ErrNotCaughtUp for a learner that lacks entries, and replicator.ErrChangePending while an earlier change
// is not committed.
func (c *Controller) Promote(ctx context.Context, name string) error {
	return c.changeMembers(ctx, func(now time.Time) (uint64, error) {
		return c.core.Promote(now, name)
	})
}

// Remove removes a voter or a learner, and returns once the change is committed.
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
