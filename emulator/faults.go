package emulator

import (
	"time"
)

// Freeze stops the target as a paused process stops: connections are accepted, nothing is answered and no heartbeat is
// sent. Thaw ends it; the target then goes on with what it believed before.
func (e *Emulator) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thaw == nil {
		e.thaw = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (e *Emulator) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thaw != nil {
		close(e.thaw)
		e.thaw = nil
	}
}

// waitThaw waits while the target is frozen. It returns false if the incarnation has ended.
func (l *incarnation) waitThaw() bool {
	for {
		l.e.mu.Lock()
		thaw := l.e.thaw
		gone := l.e.current != l
		l.e.mu.Unlock()
		if gone {
			return false
		}
		if thaw == nil {
			return true
		}
		select {
		case <-thaw:
		case <-l.ctx.Done():
			return false
		}
	}
}

// Crash resets all connections. The target returns after the given time as a new, cold incarnation that holds nothing;
// a negative time means never.
func (e *Emulator) Crash(returnAfter time.Duration) {
	e.mu.Lock()
	l := e.current
	e.mu.Unlock()
	e.crash(l, returnAfter)
}

// crash ends the incarnation l, unless it has ended already.
func (e *Emulator) crash(l *incarnation, returnAfter time.Duration) {
	e.mu.Lock()
	if l == nil || e.current != l {
		e.mu.Unlock()
		return
	}
	addr := e.addr
	e.crashes++
	e.mu.Unlock()
	if !e.end() || returnAfter < 0 {
		return
	}
	e.mu.Lock()
	select {
	case <-e.closed:
		e.mu.Unlock()
		return
	default:
	}
	e.wg.Add(1)
	e.mu.Unlock()
	go func() {
		defer e.wg.Done()
		for i := 0; ; i++ {
			select {
			case <-time.After(returnAfter):
			case <-e.closed:
				return
			}
			listen := addr
			if i >= relistenTries {
				listen = e.opts.withDefaults().Listen
			}
			if e.begin(listen) == nil {
				return
			}
			returnAfter = 50 * time.Millisecond
		}
	}()
}

// Crashes returns how often the target crashed.
func (e *Emulator) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Slow multiplies service times by factor from now on; one is the normal speed.
func (e *Emulator) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slow = max(0.01, factor)
}

// Drain makes the target say that it drains, or take that back.
func (e *Emulator) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !on {
		e.draining = time.Time{}
		return
	}
	if e.draining.IsZero() {
		e.draining = time.Now()
	}
}

// coldNotice is the number of answered heartbeats after which a target that became cold again crashes under too much
// work. Requests that were sent before the first of them may arrive until the second.
const coldNotice = 2

// TurnCold makes the target cold again without warning. Until hosts have answered two heartbeats that state it, the target
// refuses what it cannot bear; afterwards it crashes under it.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if l := e.current; l != nil {
		l.cold = true
		l.coldSince = time.Now()
		l.coldDone = 0
		l.coldAnswers = 0
	}
}
