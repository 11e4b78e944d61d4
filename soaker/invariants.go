package soaker

import (
	"fmt"
	"sync"
	"time"

	"bramleyline.example/bramleyline/platformemulator"
	"bramleyline.example/bramleyline/rateauditor"
)

// AnswerMsg is the answer to one request of a caller.
type AnswerMsg struct {
	// ID is the ID of the request.
	ID string
	// Status is the HTTP status, zero if no complete answer came.
	Status int
	// Whole says that the body is complete and belongs to the request.
	Whole bool
}

// invariantChecker checks the invariants of the system on the answers that callers received and the runs that targets
// reported, and collects the violations. The zero value is ready to use. It is safe for concurrent use.
type invariantChecker struct {
	mu sync.Mutex
	// runCounts maps each request ID to the number of runs of the request.
	runCounts map[string]int
	// notRunAnswers maps request IDs to the status of an answer that guarantees that the request has not run.
	notRunAnswers map[string]int
	// lastRuns maps each key to its last run that was not under an outdated fence.
	lastRuns map[uint16]platformemulator.RunMsg
	// drainedAt is when the drain of each target was acknowledged, by target ID.
	drainedAt map[string]time.Time
	// rateAuditors check the arrivals at each target, by target ID.
	rateAuditors map[string]*rateauditor.Auditor
	// poison holds what targets saw of each poison request, by path.
	poison map[string]*poisonRecord
	// inContactSince is the time since which all hosts have been in contact with each other. It may be in the future,
	// and is zero while a host may be out of contact.
	inContactSince time.Time
	// answerCounts maps each status to the number of answers.
	answerCounts map[int]int
	violations   []string
}

// notRunStatuses are the statuses that guarantee that a request has not run and never will.
var notRunStatuses = map[int]bool{
	408: true,
	421: true,
	429: true,
	503: true,
}

func (c *invariantChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// recordRun records a run when it begins. A target may still get requests for drainTime after its drain was acknowledged, and later
// not even from a host that is out of contact: that one has to ask the target.
func (c *invariantChecker) recordRun(m platformemulator.RunMsg, drainTime time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.runCounts == nil {
		c.runCounts, c.lastRuns = make(map[string]int), make(map[uint16]platformemulator.RunMsg)
	}
	c.runCounts[m.ID]++
	if c.runCounts[m.ID] > 1 {
		c.addViolation("%s ran %d times, last at %s", m.ID, c.runCounts[m.ID], m.Target)
	}
	if status, ok := c.notRunAnswers[m.ID]; ok {
		c.addViolation("%s ran at %s after the answer %d", m.ID, m.Target, status)
	}
	if last := c.lastRuns[m.Key]; m.Fence == 0 {
		// The service has no keys.
	} else if last.Fence > m.Fence {
		c.addViolation("key %d ran at %s under fence %d after it had run at %s under fence %d", m.Key, m.Target,
			m.Fence, last.Target, last.Fence)
	} else {
		c.lastRuns[m.Key] = m
	}
	if at, ok := c.drainedAt[m.Target]; ok && m.At.Sub(at) > drainTime {
		c.addViolation("%s reached %s %s after the drain was acknowledged", m.ID, m.Target, m.At.Sub(at))
	}
}

// recordArrival records the arrival of a request at a target. The limit that the target states binds once all hosts are in
// contact and had time to hear of it.
func (c *invariantChecker) recordArrival(m platformemulator.ArrivalMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	a, ok := c.rateAuditors[m.Target]
	if !ok {
		if c.rateAuditors == nil {
			c.rateAuditors = make(map[string]*rateauditor.Auditor)
		}
		a = &rateauditor.Auditor{}
		c.rateAuditors[m.Target] = a
	}
	since := m.LimitSince.Add(contactDelay)
	if c.inContactSince.IsZero() {
		since = m.At.Add(1)
	} else if since.Before(c.inContactSince) {
		since = c.inContactSince
	}
	if v := a.Add(m, since); v != "" {
		c.addViolation("%s", v)
	}
}

// recordAnswer records the answer to a request.
func (c *invariantChecker) recordAnswer(a AnswerMsg) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.answerCounts == nil {
		c.answerCounts, c.notRunAnswers = make(map[int]int), make(map[string]int)
	}
	c.answerCounts[a.Status]++
	switch {
	case a.Status == 200 && !a.Whole:
		c.addViolation("%s got an answer that is not its own", a.ID)
	case a.Status == 200 && c.runCounts[a.ID] == 0:
		c.addViolation("%s got an answer but ran nowhere", a.ID)
	case notRunStatuses[a.Status]:
		c.notRunAnswers[a.ID] = a.Status
		if c.runCounts[a.ID] > 0 {
			c.addViolation("%s got %d but has run", a.ID, a.Status)
		}
	}
}

func (c *invariantChecker) recordDrain(target string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.drainedAt == nil {
		c.drainedAt = make(map[string]time.Time)
	}
	c.drainedAt[target] = at
}

// setInContactSince sets the time since which all hosts have been in contact, zero while one may be out of contact.
func (c *invariantChecker) setInContactSince(since time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inContactSince = since
}

func (c *invariantChecker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.addViolation(format, args...)
}

// result returns the violations and the number of answers by status.
func (c *invariantChecker) result() (violations []string, answerCounts map[int]int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...), c.answerCounts
}
