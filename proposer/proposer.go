// Package proposer finds the control leader and proposes commands there.
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
	// attemptTimeout bounds one attempt, so that a leader that lost its majority does not use up the caller's time.
	attemptTimeout = 500 * time.Millisecond
	// retryWait is the wait after all hosts were asked in vain. It doubles up to maxRetryWait: while there is no leader,
	// the questions of many hosts would keep the control hosts from electing one.
	retryWait    = 25 * time.Millisecond
	maxRetryWait = 200 * time.Millisecond
)

var (
	// ErrNotApplied reports a command that reached no leader. It was not applied and will not be.
	ErrNotApplied = errors.New("command was not applied")
	// ErrMaybeApplied reports a command that may have been applied or may still be.
	ErrMaybeApplied = errors.New("command may have been applied")
)

// Proposer proposes commands at the control leader, wherever it is. It is safe for concurrent use.
type Proposer struct {
	// Messenger carries the calls.
	Messenger *messenger.Messenger
	// Hosts returns the control hosts and their rpc addresses; it is called for each attempt.
	Hosts func() map[string]netip.AddrPort

	mu     sync.Mutex
	leader string
}

// Propose proposes cmd until a leader answers or ctx ends. Attempts after one whose outcome is unknown are sound only
// for a command with a RequestID or one that is idempotent by itself. The errors are ErrNotApplied and ErrMaybeApplied.
func (p *Proposer) Propose(ctx context.Context, cmd applier.Command) (applier.Result, error) {
	data, err := applier.EncodeCommand(cmd)
	if err != nil {
		return applier.Result{}, errors.Wrap(ErrNotApplied, err.Error())
	}
	maybe := false
	reason := errors.New("no control host is known")
	for wait := retryWait; ctx.Err() == nil; wait = min(maxRetryWait, 2*wait) {
		tried := make(map[string]bool)
		for ctx.Err() == nil {
			name, ok := p.next(tried)
			if !ok {
				break
			}
			tried[name] = true
			result, applied, err := p.attempt(ctx, name, data)
			if err == nil {
				return result, nil
			}
			maybe = maybe || applied
			reason = err
		}
		select {
		case <-time.After(wait):
		case <-ctx.Done():
		}
	}
	if maybe {
		return applier.Result{}, errors.Wrap(ErrMaybeApplied, reason.Error())
	}
	return applier.Result{}, errors.Wrap(ErrNotApplied, reason.Error())
}

// next returns a host that was not tried yet, the leader first if one is known by now.
func (p *Proposer) next(tried map[string]bool) (string, bool) {
	p.mu.Lock()
	leader := p.leader
	p.mu.Unlock()
	hosts := p.Hosts()
	if _, ok := hosts[leader]; ok && !tried[leader] {
		return leader, true
	}
	for name := range hosts {
		if !tried[name] {
			return name, true
		}
	}
	return "", false
}

// attempt proposes at one host. On an error, applied says whether the command may have been applied.
func (p *Proposer) attempt(ctx context.Context, name string, data []byte) (result applier.Result, applied bool, err error) {
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
	}, &reply)
	switch {
	case errors.Is(err, messenger.ErrUnreachable), errors.Is(err, messenger.ErrAuthentication):
		return result, false, err
	case err != nil:
		p.learn(name, "")
		return result, true, err
	case reply.NotLeader:
		p.learn(name, reply.Leader)
		return result, false, errors.Errorf("%s: %s", name, reply.Reason)
	case reply.Unknown:
		p.learn(name, "")
		return result, true, errors.Errorf("%s: %s", name, reply.Reason)
	}
	p.learn("", name)
	if result, err = applier.DecodeResult(reply.Result); err != nil {
		return result, true, err
	}
	return result, false, nil
}

// learn remembers the leader, or forgets it if it was the host that is not.
func (p *Proposer) learn(not, leader string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if leader != "" {
		p.leader = leader
	} else if p.leader == not {
		p.leader = ""
	}
}
