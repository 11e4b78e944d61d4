package soaker

import (
	"fmt"
	"sync"
	"time"

	"bramleyline.example/bramleyline/platformemulator"
)

// AnswerMsg is what a caller got for one request.
type AnswerMsg struct {
	ID     string
	Status int
	// Whole says that the body is the one that the request asks for.
	Whole bool
}

// ledger compares what callers and targets saw with what is promised. The zero value is empty. It is safe for concurrent
// use.
type ledger struct {
	mu       sync.Mutex
	runs     map[string]int
	promised map[string]int
	fences   map[uint16]platformemulator.RunMsg
	drains   map[string]time.Time
	calm     time.Time
	answers  map[int]int
	broken   []string
}

// notRun are the statuses that promise that a request has not run and never will.
var notRun = map[int]bool{
	408: true,
	421: true,
	429: true,
	503: true,
}

func (l *ledger) breach(format string, args ...any) {
	l.broken = append(l.broken, fmt.Sprintf(format, args...))
}

// ran takes a run at the moment at which it begins.
func (l *ledger) ran(m platformemulator.RunMsg, drainTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.runs == nil {
		l.runs, l.fences = make(map[string]int), make(map[uint16]platformemulator.RunMsg)
	}
	l.runs[m.ID]++
	if l.runs[m.ID] > 1 {
		l.breach("%s ran %d times, last at %s", m.ID, l.runs[m.ID], m.Target)
	}
	if status, ok := l.promised[m.ID]; ok {
		l.breach("%s ran at %s after the answer %d", m.ID, m.Target, status)
	}
	if last := l.fences[m.Key]; last.Fence > m.Fence {
		l.breach("key %d ran at %s under fence %d after it had run at %s under fence %d", m.Key, m.Target, m.Fence, last.Target,
			last.Fence)
	} else {
		l.fences[m.Key] = m
	}
	// Hosts that were out of touch since the drain may not know of it.
	if at, ok := l.drains[m.Target]; ok && m.At.Sub(at) > drainTime && !l.calm.IsZero() && l.calm.Before(at) {
		l.breach("%s reached %s %s after the drain was acknowledged", m.ID, m.Target, m.At.Sub(at))
	}
}

// answered takes the answer to a request.
func (l *ledger) answered(a AnswerMsg) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.answers == nil {
		l.answers, l.promised = make(map[int]int), make(map[string]int)
	}
	l.answers[a.Status]++
	switch {
	case a.Status == 200 && !a.Whole:
		l.breach("%s got an answer that is not its own", a.ID)
	case a.Status == 200 && l.runs[a.ID] == 0:
		l.breach("%s got an answer but ran nowhere", a.ID)
	case notRun[a.Status]:
		l.promised[a.ID] = a.Status
		if l.runs[a.ID] > 0 {
			l.breach("%s got %d but has run", a.ID, a.Status)
		}
	}
}

func (l *ledger) drained(target string, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.drains == nil {
		l.drains = make(map[string]time.Time)
	}
	l.drains[target] = at
}

// settled records since when all hosts are in touch, the zero time while one may not be.
func (l *ledger) settled(since time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calm = since
}

func (l *ledger) fail(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.breach(format, args...)
}

// result returns the breaches and the answers by status.
func (l *ledger) result() (broken []string, answers map[int]int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]string(nil), l.broken...), l.answers
}
