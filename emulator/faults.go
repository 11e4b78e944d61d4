package emulator

import (
	"time"
)

// Freeze emulates a paused process: connections are accepted, but no request is answered and no heartbeat is sent. Thaw
// ends the freeze; the target then continues with its state from before, which may be stale.
func (e *Emulator) Freeze() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed == nil {
		e.thawed = make(chan struct{})
	}
}

// Thaw ends a freeze.
func (e *Emulator) Thaw() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.thawed != nil {
		close(e.thawed)
		e.thawed = nil
	}
}

// waitUntilThawed blocks while the target is frozen. It returns false if the incarnation has ended.
func (inc *incarnation) waitUntilThawed() bool {
	for {
		inc.emulator.mu.Lock()
		thawed := inc.emulator.thawed
		ended := inc.emulator.current != inc
		inc.emulator.mu.Unlock()
		if ended {
			return false
		}
		if thawed == nil {
			return true
		}
		select {
		case <-thawed:
		case <-inc.ctx.Done():
			return false
		}
	}
}

// Crash ends the current incarnation and resets its connections. The target restarts after restartAfter as a new, cold
// incarnation without lease and slots; a negative restartAfter means never.
func (e *Emulator) Crash(restartAfter time.Duration) {
	e.mu.Lock()
	inc := e.current
	e.mu.Unlock()
	e.crash(inc, restartAfter)
}

// crash ends the incarnation inc, unless it has ended already, and restarts the target after restartAfter.
func (e *Emulator) crash(inc *incarnation, restartAfter time.Duration) {
	e.mu.Lock()
	if inc == nil || e.current != inc {
		e.mu.Unlock()
		return
	}
	addr := e.addr
	e.crashes++
	e.mu.Unlock()
	if !e.endIncarnation() || restartAfter < 0 {
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
			case <-time.After(restartAfter):
			case <-e.closed:
				return
			}
			listen := addr
			if i >= maxRelistens {
				listen = e.opts.withDefaults().Listen
			}
			if e.startIncarnation(listen) == nil {
				return
			}
			restartAfter = 50 * time.Millisecond
		}
	}()
}

// Crashes returns how often the target crashed.
func (e *Emulator) Crashes() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.crashes
}

// Slow sets the slowness of the target, by which service times are multiplied from now on. One is normal; factors below
// 0.01 count as 0.01.
func (e *Emulator) Slow(factor float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.slowness = max(0.01, factor)
}

// Drain sets whether the target is draining: it then reports so in heartbeats and rejects new requests.
func (e *Emulator) Drain(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !on {
		e.drainingSince = time.Time{}
		return
	}
	if e.drainingSince.IsZero() {
		e.drainingSince = time.Now()
	}
}

// coldGraceReports is the number of answered heartbeats after which a target that became cold again crashes if it gets
// more requests than it can handle. Requests that were sent before the first of them may arrive until the second.
const coldGraceReports = 2

// TurnCold makes the target cold again without notice. Until hosts have answered two heartbeats that report it, the
// target rejects requests beyond its cold limit; afterwards such a request crashes it.
func (e *Emulator) TurnCold() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if inc := e.current; inc != nil {
		inc.cold = true
		inc.coldSince = time.Now()
		inc.coldFinished = 0
		inc.coldReports = 0
	}
}
