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
	applied := a.Log.AppliedAt(index)
	until := applied.Add(limit)
	began := timekeeper.Now()
	var l laggards
	for {
		left := until.Sub(timekeeper.Now())
		if left <= 0 {
			if !l.none() {
				counters.Add("early", 1)
				a.logWait(endLimit, index, began, applied, l)
			}
			return nil
		}
		if l = a.round(ctx, index, l.readers, min(left, roundTime)); l.none() {
			if timekeeper.Since(began) >= roundTime {
				counters.Add("delayed", 1)
				a.logWait(endInForce, index, began, applied, l)
			}
			return nil
		}
		if ctx.Err() != nil {
			a.logWait(endCall, index, began, applied, l)
			return errors.Wrapf(ErrBehind, "%d hosts, %s among them", len(l.readers)+len(l.controls), l.first())
		}
	}
}

// The ways in which a wait ends, for the log.
const (
	endInForce = "inForce"
	endLimit   = "limit"
	endCall    = "call"
)

// logWait logs the end of a wait that began at began, for a change that this host applied at applied: what ended it, and who was behind.
func (a *Awaiter) logWait(end string, index uint64, began, applied time.Time, l laggards) {
	if a.Logger == nil {
		return
	}
	now := timekeeper.Now()
	a.Logger.Info("waited for hosts", "end", end, "index", index, "waited", now.Sub(began).Milliseconds(),
		"sinceApplied", now.Sub(applied).Milliseconds(), "readers", len(l.readers), "controls", len(l.controls), "first", l.first())
}

// laggards are the hosts that have not confirmed a change.
type laggards struct {
	// readers are hosts that pull their state, and controls the control hosts that do not tell of their readers.
	readers  []string
	controls []string
}

func (l laggards) none() bool {
	return len(l.readers) == 0 && len(l.controls) == 0
}

// first returns one of the names, of a control host if there is one, and an empty text if there are none.
func (l laggards) first() string {
	for _, name := range slices.Concat(l.controls, l.readers) {
		return name
	}
	return ""
}

// round asks all control hosts, this one among them, at the same time. It returns the readers that are behind, as far as no control host
// knows better, and the control hosts that do not answer.
func (a *Awaiter) round(ctx context.Context, index uint64, known []string, wait time.Duration) laggards {
	var mu sync.Mutex
	var l laggards
	var confirmed []string
	var wg sync.WaitGroup
	for name, addr := range a.Peers() {
		wg.Go(func() {
			b, c, ok := a.ask(ctx, addr, index, known, wait)
			mu.Lock()
			defer mu.Unlock()
			if !ok {
				l.controls = append(l.controls, name)
			}
			l.readers, confirmed = append(l.readers, b...), append(confirmed, c...)
		})
	}
	wg.Go(func() {
		b, c := a.local(ctx, index, known, wait)
		mu.Lock()
		defer mu.Unlock()
		l.readers, confirmed = append(l.readers, b...), append(confirmed, c...)
	})
	wg.Wait()
	slices.Sort(l.controls)
	slices.Sort(l.readers)
	l.readers = slices.DeleteFunc(slices.Compact(l.readers), func(name string) bool { return slices.Contains(confirmed, name) })
	return l
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

// ask asks one other control host, and reports whether it has answered. One of an older version does not know its readers, and is not
// waited for.
func (a *Awaiter) ask(
	ctx context.Context, addr netip.AddrPort, index uint64, known []string, wait time.Duration,
) (behind, confirmed []string, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, wait+roundMargin)
	defer cancel()
	var reply controller.BehindReply
	err := a.Messenger.Call(ctx, addr, "State.Behind", &controller.BehindArgs{
		Index: index,
		Wait:  wait,
		Names: known,
	}, &reply)
	if answer := rpc.ServerError(""); errors.As(err, &answer) {
		return nil, nil, true
	}
	if err != nil {
		// Its readers are not known. They may pull from another control host soon.
		select {
		case <-ctx.Done():
		case <-time.After(wait):
		}
		return nil, nil, false
	}
	return reply.Behind, reply.Confirmed, true
}
