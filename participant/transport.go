package participant

import (
	"context"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/timekeeper"
)

// transport sends asynchronous calls to other processes. Its methods return at once and run done with the result in the
// loop; asked is a time before the call was sent.
type transport interface {
	call(limit time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error))
	propose(limit time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error))
}

// messengerTransport is the transport over the messenger and the Proposer, with a goroutine for each call.
type messengerTransport struct {
	p *Participant
}

func (r messengerTransport) call(timeout time.Duration, addr netip.AddrPort, method string, args, reply any, done func(now, asked time.Time, err error)) {
	r.goCall(timeout, func(ctx context.Context) func(time.Time) {
		asked := timekeeper.Now()
		err := r.p.options.Messenger.Call(ctx, addr, method, args, reply)
		return func(now time.Time) { done(now, asked, err) }
	})
}

// propose proposes the commands in order until one returns an error, and passes on the result of the last one.
func (r messengerTransport) propose(timeout time.Duration, cmds []applier.Command, done func(now time.Time, last applier.Result, err error)) {
	r.goCall(timeout, func(ctx context.Context) func(time.Time) {
		var last applier.Result
		var err error
		for i := 0; i < len(cmds) && err == nil; i++ {
			last, err = r.p.options.Proposer.Propose(ctx, cmds[i])
		}
		return func(now time.Time) { done(now, last, err) }
	})
}

// goCall runs f in a goroutine with a timeout, and posts the function that f returns to the loop.
func (r messengerTransport) goCall(timeout time.Duration, f func(ctx context.Context) func(now time.Time)) {
	r.p.calls.Add(1)
	go func() {
		defer r.p.calls.Done()
		ctx, cancel := context.WithTimeout(r.p.ctx, timeout)
		defer cancel()
		r.p.post(f(ctx))
	}()
}
