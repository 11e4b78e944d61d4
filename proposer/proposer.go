// Package proposer is a client of the replicated log: it finds the control leader and proposes commands to it.
package proposer

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
)

const (
	// attemptTimeout bounds the attempt at one host, so that a leader that lost its majority does not use up the caller's
	// time.
	attemptTimeout = 500 * time.Millisecond
	// minBackoff is the wait after an attempt at each host has failed. It doubles up to maxBackoff: while there is no
	// leader, the attempts of many hosts would keep the control hosts from electing one.
	minBackoff = 25 * time.Millisecond
	maxBackoff = 200 * time.Millisecond
)

var (
	// ErrNotApplied reports a command that no leader accepted. It was not applied and will not be.
	ErrNotApplied = errors.New("command was not applied")
	// ErrMaybeApplied reports a command whose outcome is unknown: it may have been applied or may still be.
	ErrMaybeApplied = errors.New("command may have been applied")
	// ErrSuperseded reports an order that the leader refused because a newer command decides on the same subject. An attempt
	// before may have been applied: the newer command may be the order itself.
	ErrSuperseded = errors.New("order was superseded")
)

// Proposer proposes commands to the control leader, whichever host that is. It is safe for concurrent use.
type Proposer struct {
	// Messenger makes the calls to control hosts.
	Messenger *messenger.Messenger
	// Hosts returns the rpc addresses of the control hosts by name; it is called for each attempt.
	Hosts func() map[string]netip.AddrPort
	// Leader returns the name of the leader from which this host hears, empty if it hears from none. It may be nil.
	Leader func() string

	mu sync.Mutex
	// leader is the name of the last known leader, empty if none is known.
	leader string
}

// Propose proposes cmd until a leader answers or ctx ends. It also retries after an attempt whose outcome is unknown,
// so cmd must have a RequestID or be idempotent by itself. The errors are ErrNotApplied and ErrMaybeApplied.
func (p *Proposer) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	return p.ProposeAfter(ctx, 0, cmd)
}

// ProposeAfter is Propose for an order that is based on the state at a log index. The leader refuses it with ErrSuperseded if the
// log has a later command that supersedes it; see applier.Command.Supersedes. A leader of an older version makes no comparison.
func (p *Proposer) ProposeAfter(ctx context.Context, basis uint64, cmd applier.Command) (applier.Result, error) {
	data, err := applier.EncodeCommand(cmd)
	if err != nil {
		return applier.Result{}, errors.Wrap(ErrNotApplied, err.Error())
	}
	unconfirmed := false
	lastErr := errors.New("no control host is known")
	for backoff := minBackoff; ctx.Err() == nil; backoff = min(maxBackoff, 2*backoff) {
		tried := make(map[string]bool)
		for ctx.Err() == nil {
			name, ok := p.nextHost(tried)
			if !ok {
				break
			}
			tried[name] = true
			result, maybeApplied, err := p.attempt(ctx, name, basis, data)
			if err == nil || errors.Is(err, ErrSuperseded) {
				return result, err
			}
			unconfirmed = unconfirmed || maybeApplied
			lastErr = err
		}
		select {
		case <-time.After(backoff):
		case <-ctx.Done():
		}
	}
	if unconfirmed {
		return applier.Result{}, errors.Wrap(ErrMaybeApplied, lastErr.Error())
	}
	return applier.Result{}, errors.Wrap(ErrNotApplied, lastErr.Error())
}

// nextHost returns a host that was not tried yet: the leader from which this host hears, or else the last one that was found, if there is
// one.
func (p *Proposer) nextHost(tried map[string]bool) (string, bool) {
	p.mu.Lock()
	candidates := []string{p.leader}
	p.mu.Unlock()
	if p.Leader != nil {
		candidates = append([]string{p.Leader()}, candidates...)
	}
	hosts := p.Hosts()
	for _, leader := range candidates {
		if _, ok := hosts[leader]; ok && !tried[leader] {
			return leader, true
		}
	}
	for name := range hosts {
		if !tried[name] {
			return name, true
		}
	}
	return "", false
}

// attempt proposes the encoded command to one host. If it fails, maybeApplied says whether the command may have been
// applied all the same.
func (p *Proposer) attempt(ctx context.Context, name string, basis uint64, data []byte) (result applier.Result, maybeApplied bool, err error) {
	addr, ok := p.Hosts()[name]
	if !ok || !addr.IsValid() {
		return result, false, errors.Errorf("address of %s is not known", name)
	}
	ctx, cancel := context.WithTimeout(ctx, attemptTimeout)
	defer cancel()
	deadline, _ := ctx.Deadline()
	var reply controller.ProposeReply
	err = p.Messenger.Call(ctx, addr, "State.Propose", &controller.ProposeArgs{
		Command: data,
		Timeout: time.Until(deadline),
		Basis:   basis,
	}, &reply)
	switch {
	case errors.Is(err, messenger.ErrUnreachable), errors.Is(err, messenger.ErrAuthentication):
		return result, false, err
	case err != nil:
		p.updateLeader(name, "")
		return result, true, err
	case reply.NotLeader:
		p.updateLeader(name, reply.Leader)
		return result, false, errors.Errorf("%s: %s", name, reply.Reason)
	case reply.Superseded:
		p.updateLeader("", name)
		return result, false, errors.Wrap(ErrSuperseded, reply.Reason)
	case reply.Unknown:
		p.updateLeader(name, "")
		return result, true, errors.Errorf("%s: %s", name, reply.Reason)
	}
	p.updateLeader("", name)
	if result, err = applier.DecodeResult(reply.Result); err != nil {
		return result, true, err
	}
	return result, false, nil
}

// updateLeader records the name of the leader. If leader is empty, it clears a record that names notLeader.
func (p *Proposer) updateLeader(notLeader, leader string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leader != "" {
		p.leader = leader
	} else if p.leader == notLeader {
		p.leader = ""
	}
}
