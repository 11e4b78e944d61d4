// Package awaiter is the barrier of synchronous replication: it holds an acknowledgement back until the change that it confirms is in
// force at all readers of the log, of whichever control host they are, or as far as it may be held back.
package awaiter

import (
	"context"
	"expvar"
	"net/netip"
	"net/rpc"
	"slices"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/confirmer"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// roundTime is how long one question to the other control hosts waits for their readers, and roundMargin what its answer may take
	// beyond that.
	roundTime   = 250 * time.Millisecond
	roundMargin = 250 * time.Millisecond
)

// counters are acknowledgements that had to wait, and those that were given though some readers were behind.
var counters = expvar.NewMap("awaiter")

// ErrBehind reports that the change is not in force at all readers yet.
var ErrBehind = errors.New("change is not in force at all hosts yet")

// Log tells about the log and the readers of this host.
type Log interface {
	Readers() *confirmer.Confirmer
	// AppliedAt returns when this host applied a log index.
	AppliedAt(index uint64) time.Time
}

// Awaiter asks the control hosts for their readers. Log and Peers are required.
type Awaiter struct {
	Log       Log
	Messenger *messenger.Messenger
	// Peers returns the rpc addresses of the other control hosts by name.
	Peers func() map[string]netip.AddrPort
	// Logger may be nil.
	Logger *log.Logger
}

// Await waits until all readers in touch have confirmed index, at most until limit after this host applied it: a reader that cannot be
// reached must not keep orders from being acknowledged. It returns ErrBehind if ctx ends first.
func (a *Awaiter) Await(ctx context.Context, index uint64, limit time.Duration) error {
	until := a.Log.AppliedAt(index).Add(limit)
	began := timekeeper.Now()
	var behind []string
	for {
		left := until.Sub(timekeeper.Now())
		if left <= 0 {
			if len(behind) > 0 {
				counters.Add("early", 1)
				a.logEarly(index, behind)
			}
			return nil
		}
		if behind = a.round(ctx, index, behind, min(left, roundTime)); len(behind) == 0 {
			if timekeeper.Since(began) >= roundTime {
				counters.Add("delayed", 1)
			}
			return nil
		}
		if ctx.Err() != nil {
			return errors.Wrapf(ErrBehind, "%d hosts, %s among them", len(behind), behind[0])
		}
	}
}

func (a *Awaiter) logEarly(index uint64, behind []string) {
	if a.Logger != nil {
		a.Logger.Warn("acknowledged before a change is in force at all hosts", "index", index, "behind", len(behind), "first", behind[0])
	}
}

// round asks all control hosts, this one among them, at the same time. It returns the readers that are behind, as far as no control host
// knows better, and the control hosts that do not answer.
func (a *Awaiter) round(ctx context.Context, index uint64, known []string, wait time.Duration) []string {
	var mu sync.Mutex
	var behind, confirmed []string
	add := func(b, c []string) {
		mu.Lock()
		defer mu.Unlock()
		behind, confirmed = append(behind, b...), append(confirmed, c...)
	}
	var wg sync.WaitGroup
	for name, addr := range a.Peers() {
		wg.Go(func() { add(a.ask(ctx, name, addr, index, known, wait)) })
	}
	wg.Go(func() { add(a.local(ctx, index, known, wait)) })
	wg.Wait()
	slices.Sort(behind)
	return slices.DeleteFunc(slices.Compact(behind), func(name string) bool { return slices.Contains(confirmed, name) })
}

// local waits for the readers of this host.
func (a *Awaiter) local(ctx context.Context, index uint64, known []string, wait time.Duration) (behind, confirmed []string) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	readers := a.Log.Readers()
	for {
		changed := readers.Changed()
		behind, confirmed = readers.Behind(timekeeper.Now(), index), readers.Confirmed(known, index)
		if len(behind) == 0 {
			return behind, confirmed
		}
		select {
		case <-changed:
		case <-timer.C:
			return behind, confirmed
		case <-ctx.Done():
			return behind, confirmed
		}
	}
}

// ask asks one other control host. One of an older version does not know its readers, and is not waited for.
func (a *Awaiter) ask(
	ctx context.Context, name string, addr netip.AddrPort, index uint64, known []string, wait time.Duration,
) (behind, confirmed []string) {
	ctx, cancel := context.WithTimeout(ctx, wait+roundMargin)
	defer cancel()
	var reply controller.BehindReply
	err := a.Messenger.Call(ctx, addr, "State.Behind", &controller.BehindArgs{
		Index: index,
		Wait:  wait,
		Names: known,
	}, &reply)
	if answer := rpc.ServerError(""); errors.As(err, &answer) {
		return nil, nil
	}
	if err != nil {
		// Its readers are not known. They may pull from another control host soon.
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return []string{name}, nil
	}
	return reply.Behind, reply.Confirmed
}
