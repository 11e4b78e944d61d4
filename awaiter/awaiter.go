// Package awaiter is the barrier of semi-synchronous replication: it holds an acknowledgement back for a bounded time, until the change that
// it confirms is in force at all readers of the log, of whichever control host they are.
package awaiter

import (
	"context"
	"expvar"
	"maps"
	"net/netip"
	"net/rpc"
	"slices"
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

// The ways in which a wait ends, for the log: the change is in force at all readers, or the limit of the change or of the call is reached.
const (
	endInForce = "inForce"
	endLimit   = "limit"
	endCall    = "call"
)

// counters are acknowledgements that had to wait, and those that were given though some readers were behind.
var counters = expvar.NewMap("awaiter")

// Log tells about the log, the readers of this host, and the control group.
type Log interface {
	Readers() *confirmer.Confirmer
	// AppliedAt returns when this host applied a log index.
	AppliedAt(index uint64) time.Time
	// Silent returns the control hosts that have not answered this host for longer than a reader counts as in touch, nil unless this
	// host leads.
	Silent() []string
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

// Await waits until all readers in touch have confirmed index, at most until limit after this host applied it or until ctx ends: a host
// that cannot be reached must not keep orders from being acknowledged. The change is committed in any case, and a reader that is behind
// has the time after the acknowledgement to catch up.
func (a *Awaiter) Await(ctx context.Context, index uint64, limit time.Duration) {
	began, applied := timekeeper.Now(), a.Log.AppliedAt(index)
	waitCtx, cancel := context.WithTimeout(ctx, applied.Add(limit).Sub(began))
	defer cancel()
	var l laggards
	for waitCtx.Err() == nil {
		next := a.round(waitCtx, index, l.readers)
		if waitCtx.Err() != nil && !l.none() {
			// The round was cut off and tells less than the one before.
			break
		}
		if l = next; l.none() {
			if timekeeper.Since(began) >= roundTime {
				counters.Add("delayed", 1)
				a.logWait(endInForce, index, began, applied, l)
			}
			return
		}
	}
	end := endLimit
	if ctx.Err() != nil {
		end = endCall
	}
	if !l.none() {
		counters.Add("early", 1)
		a.logWait(end, index, began, applied, l)
	}
}

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

// answer is what a control host tells of its readers.
type answer struct {
	name string
	controller.BehindReply
}

// round asks all control hosts, this one among them, at the same time. It returns the readers that are behind, as far as no control host
// knows better, and the control hosts that do not answer. The readers of a control host that is silent to the leader have left it by now, or
// are out of touch as well.
func (a *Awaiter) round(ctx context.Context, index uint64, known []string) laggards {
	ctx, cancel := context.WithTimeout(ctx, roundTime+roundMargin)
	defer cancel()
	peers := a.Peers()
	// With room for all answers, nobody waits for a call that outlasts the round.
	answers := make(chan answer, len(peers)+1)
	missing := map[string]bool{
		"": true,
	}
	go func() { answers <- a.local(ctx, index, known) }()
	for name, addr := range peers {
		missing[name] = true
		go func() {
			if reply, ok := a.ask(ctx, addr, index, known); ok {
				answers <- answer{
					name:        name,
					BehindReply: reply,
				}
			}
		}()
	}
	var behind, confirmed []string
	for len(missing) > 0 {
		select {
		case ans := <-answers:
			delete(missing, ans.name)
			for _, name := range ans.Silent {
				delete(missing, name)
			}
			behind, confirmed = append(behind, ans.Behind...), append(confirmed, ans.Confirmed...)
			continue
		case <-ctx.Done():
		}
		break
	}
	delete(missing, "")
	slices.Sort(behind)
	return laggards{
		readers:  slices.DeleteFunc(slices.Compact(behind), func(name string) bool { return slices.Contains(confirmed, name) }),
		controls: slices.Sorted(maps.Keys(missing)),
	}
}

// local waits for the readers of this host.
func (a *Awaiter) local(ctx context.Context, index uint64, known []string) answer {
	timer := time.NewTimer(roundTime)
	defer timer.Stop()
	readers := a.Log.Readers()
	for {
		changed := readers.Changed()
		ans := answer{
			BehindReply: controller.BehindReply{
				Behind:    readers.Behind(timekeeper.Now(), index),
				Confirmed: readers.Confirmed(known, index),
				Silent:    a.Log.Silent(),
			},
		}
		if len(ans.Behind) == 0 {
			return ans
		}
		select {
		case <-changed:
		case <-timer.C:
			return ans
		case <-ctx.Done():
			return ans
		}
	}
}

// ask asks one other control host, and reports whether it has answered. One of an older version does not know its readers, and is not
// waited for.
func (a *Awaiter) ask(ctx context.Context, addr netip.AddrPort, index uint64, known []string) (reply controller.BehindReply, ok bool) {
	err := a.Messenger.Call(ctx, addr, "State.Behind", &controller.BehindArgs{
		Index: index,
		Wait:  roundTime,
		Names: known,
	}, &reply)
	if ans := rpc.ServerError(""); errors.As(err, &ans) {
		return controller.BehindReply{}, true
	}
	return reply, err == nil
}
