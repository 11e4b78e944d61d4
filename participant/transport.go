package participant

import (
	"context"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/timekeeper"
)

// transport carries calls to other processes. It returns at once and passes the result to done in the loop; asked is a
// time before the call was sent.
type transport interface {
	call(limit time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error))
	propose(limit time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error))
}

// remote is the transport over the messenger, with a goroutine for each call.
type remote struct {
	p *Participant
}

func (r remote) call(limit time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error)) {
	r.start(limit, func(ctx context.Context) func(time.Time) {
		asked := timekeeper.Now()
		err := r.p.options.Messenger.Call(ctx, addr, method, args, reply)
		return func(now time.Time) { done(now, asked, err) }
	})
}

// propose proposes the commands in order until one fails.
func (r remote) propose(limit time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error)) {
	r.start(limit, func(ctx context.Context) func(time.Time) {
		var last applier.Result
		var err error
		for i := 0; i < len(cmds) && err == nil; i++ {
			last, err = r.p.options.Proposer.Propose(ctx, cmds[i])
		}
		return func(now time.Time) { done(now, last, err) }
	})
}

func (r remote) start(limit time.Duration, f func(ctx context.Context) func(now time.Time)) {
	r.p.calls.Add(1)
	go func() {
		defer r.p.calls.Done()
		ctx, cancel := context.WithTimeout(r.p.ctx, limit)
		defer cancel()
		r.p.post(f(ctx))
	}()
}
