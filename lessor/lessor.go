// Package lessor decides, on the control leader, which calls grant, renew and release the key ranges of targets, and
// which changes of ownership enter the log.
//
// A key gets a new owner only when the one before cannot hold it any more: it released the key, or its process has ended,
// or all that was ever granted to it has lapsed. A grant without an answer may take effect later, so it counts as held
// from the moment at which it was given up.
package lessor

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/planner"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// renewals is the number of renewals within a hold: a few may fail in a row before it lapses.
	renewals = 5
	// retryWait is the pause before a failed call is made again.
	retryWait = 300 * time.Millisecond
	// planEvery is the interval at which moves are planned.
	planEvery = 400 * time.Millisecond
	// minMoves is the number of ranges that may always be on their way from one target to another at once. In a large
	// service it is one for targetsPerMove targets, so that it is balanced in the same time as a small one.
	minMoves       = 6
	targetsPerMove = 6
	// settleTime is how long targets may go on to announce themselves before the keys of a service without any owner are
	// divided among them.
	settleTime = 1200 * time.Millisecond
	// rateTime bounds the wait for how fast targets are before the keys are divided. Health checks take half of it.
	rateTime = 3 * time.Second
	// deadAfter is the number of failed calls in a row from which a target takes no further keys.
	deadAfter = 2
	// announceTime is the longest time from the start of a target until its first announcement is in the registry. A
	// heartbeat comes each second and may be some seconds late.
	announceTime = 8 * time.Second
	// minHold is the least length of a grant: below it a target would hold keys for a moment only.
	minHold = time.Second
	// earlierFence stands for all fences that an earlier leader used.
	earlierFence = 0
	// restTime is how long keys stay after a planned move, and hotRestTime a single busy key: the load of a key follows
	// with a time constant of 3 s, and each move costs its callers a hand-over.
	restTime    = 300 * time.Millisecond
	hotRestTime = 2 * time.Second
	// maxRanges bounds the ranges of one target and allRanges those of a service, of which each target may have minRanges
	// at least: each range has to be renewed by itself, and each host gets all of them when it starts.
	maxRanges = 12
	allRanges = 480
	minRanges = 4
	// maxReleases bounds the releases in progress at one target. Each waits for the work on its keys, so that one after
	// the other would take seconds for the keys of a busy target; a target with a long queue takes few connections.
	maxReleases = 8
	// minScan and maxScan are the least and the greatest time between two looks at all ranges of a service, which take
	// 1 ms at 3,200 ranges.
	minScan = 15 * time.Millisecond
	maxScan = 100 * time.Millisecond
)

// Settings are the figures that a Lessor works with.
type Settings struct {
	// Hold is the length of a grant.
	Hold time.Duration
	// CallTimeout is how long a grant may be on its way before it is given up.
	CallTimeout time.Duration
}

// View is what the Lessor decides on.
type View struct {
	Registry registrar.Registry
	// Services has the keyed services of the traffic table.
	Services []string
	// Out reports whether operators have taken a data centre out.
	Out func(dataCentre string) bool
	// Pending says that changes are on their way into the log, so that no further ones are decided.
	Pending bool
	// Estimators measure the load of each service. A service without one counts as idle.
	Estimators map[string]*estimator.Estimator
}

// Effects are what is to be done.
type Effects struct {
	Calls   []CallMsg
	Changes []registrar.Change
}

// Lessor is the decision core of one term of leadership. Make it with New. It is not safe for concurrent use.
type Lessor struct {
	settings Settings
	// elected is when the leadership began: until a hold later, grants of an earlier leader may be valid.
	elected time.Time
	holders map[registrar.Incarnation]*holder
	// moves has the next owner of each span that is being released, by service and first key.
	moves map[spanKey]registrar.Incarnation
	// released has the spans that their owner has given up, with the handover.
	released map[spanKey]string
	planned  map[string]time.Time
	// moved has the spans that planned moves took away lately.
	moved  map[string][]movedSpan
	pruned time.Time
	joined map[registrar.Incarnation]time.Time
	// noted has the targets whose joins were recorded.
	noted    registrar.Pool
	refenced map[string]bool
	scans    map[string]scan
	// stirred says that a call was answered after which there may be something to do.
	stirred bool
	// delayed says that the look at what has changed was put off in this tick.
	delayed bool

	now     time.Time
	view    View
	effects Effects
}

// scan is the last look at all ranges of a service.
type scan struct {
	at      time.Time
	ranges  registrar.Ranges
	targets registrar.Pool
}

type spanKey struct {
	service string
	span    registrar.Span
	fence   uint64
}

// overlaps reports whether both have a key in common.
func (k spanKey) overlaps(other spanKey) bool {
	return k.service == other.service && k.span.From <= other.span.To && other.span.From <= k.span.To
}

type movedSpan struct {
	span registrar.Span
	at   time.Time
}

// New returns a Lessor for a leadership that began at elected.
func New(elected time.Time, s Settings) *Lessor {
	return &Lessor{
		settings: s,
		elected:  elected,
		holders:  make(map[registrar.Incarnation]*holder),
		moves:    make(map[spanKey]registrar.Incarnation),
		released: make(map[spanKey]string),
		planned:  make(map[string]time.Time),
		moved:    make(map[string][]movedSpan),
		joined:   make(map[registrar.Incarnation]time.Time),
		refenced: make(map[string]bool),
		scans:    make(map[string]scan),
	}
}

// lapse returns when a grant that took effect at t at the latest is over on the slowest clock.
func (l *Lessor) lapse(t time.Time) time.Time {
	return t.Add(l.settings.Hold + leaser.DefaultMargin(l.settings.Hold))
}

// holdFor returns the length of the next grant to h. A target that leaves calls without an answer may be gone for good, so
// its keys must become free in the end: further grants end with the earlier ones.
func (l *Lessor) holdFor(h *holder) time.Duration {
	if h.failures < deadAfter {
		return l.settings.Hold
	}
	left := h.until.Sub(l.now) - leaser.DefaultMargin(l.settings.Hold) - l.settings.CallTimeout
	return min(l.settings.Hold, left)
}

func (l *Lessor) holder(inc registrar.Incarnation) *holder {
	h, ok := l.holders[inc]
	if !ok {
		h = &holder{
			doubt:     make(map[uint64]time.Time),
			grants:    make(map[spanKey]time.Time),
			fenced:    make(map[uint64]bool),
			used:      make(map[uint64]bool),
			releases:  make(map[spanKey]bool),
			confirmed: make(map[uint64][]registrar.Span),
		}
		l.holders[inc] = h
	}
	return h
}

// Tick decides what is to be done at now.
func (l *Lessor) Tick(now time.Time, v View) Effects {
	l.now, l.view, l.effects = now, v, Effects{}
	l.noteJoins()
	for _, service := range v.Services {
		l.tickService(service)
	}
	l.stirred, l.delayed = l.delayed, false
	l.prune()
	return l.effects
}

// prune forgets notes on ranges that have changed since, and incarnations that can hold nothing any more.
func (l *Lessor) prune() {
	if l.now.Before(l.pruned.Add(planEvery)) {
		return
	}
	l.pruned = l.now
	present := make(map[spanKey]bool)
	fences := make(map[uint64]bool)
	for service := range l.view.Registry.Services() {
		for _, r := range l.view.Registry.Ranges(service).All() {
			present[keyOfRange(service, *r)] = true
			fences[r.Fence] = true
		}
	}
	absent := func(k spanKey) bool { return !present[k] }
	if !l.view.Pending {
		maps.DeleteFunc(l.moves, func(k spanKey, _ registrar.Incarnation) bool { return absent(k) })
	}
	maps.DeleteFunc(l.released, func(k spanKey, _ string) bool { return absent(k) })
	for inc, h := range l.holders {
		maps.DeleteFunc(h.grants, func(k spanKey, _ time.Time) bool { return absent(k) })
		maps.DeleteFunc(h.confirmed, func(f uint64, _ []registrar.Span) bool { return !fences[f] })
		maps.DeleteFunc(h.used, func(f uint64, _ bool) bool { return !fences[f] })
		maps.DeleteFunc(h.fenced, func(f uint64, _ bool) bool { return !fences[f] })
		maps.DeleteFunc(h.doubt, func(_ uint64, until time.Time) bool { return !l.now.Before(until) })
		if !h.calling() && !l.view.Registry.Alive(inc) && !l.now.Before(h.until) {
			delete(l.holders, inc)
		}
	}
}

// Answered takes the result of a call.
func (l *Lessor) Answered(now time.Time, m AnsweredMsg) {
	h := l.holder(m.Call.Incarnation)
	key := keyOf(m.Call)
	l.stirred = l.stirred || !m.OK || m.Call.IsRelease()
	if m.Call.IsRelease() {
		delete(h.releases, key)
	} else {
		h.granting = false
	}
	switch {
	case m.Answered:
		h.failures = 0
	case m.Disconnected:
		// The connection may have ended for any reason; the next call tells whether the target is still there.
		h.fenced[key.fence] = true
		return
	default:
		h.failures++
		h.retryAt = now.Add(retryWait)
		if m.NotSent {
			delete(h.used, key.fence)
		}
	}
	if m.Call.Grant != nil {
		l.granted(now, h, key, m)
		return
	}
	if m.Answered && m.OK {
		l.released[key] = m.Handover
		delete(h.grants, key)
	}
}

func (l *Lessor) granted(now time.Time, h *holder, key spanKey, m AnsweredMsg) {
	if m.NotSent {
		return
	}
	if !m.Call.SameConnection {
		h.dialed = now
	}
	until := now.Add(m.Call.Grant.Hold + leaser.DefaultMargin(l.settings.Hold))
	h.until = later(h.until, until)
	if !m.Answered {
		h.doubt[key.fence] = later(h.doubt[key.fence], until)
		return
	}
	switch {
	case m.OK:
		h.confirm(key)
		h.grants[key] = now.Add(m.Call.Grant.Hold / renewals)
	case m.Fenced:
		h.fenced[key.fence] = true
	default:
		h.retryAt = now.Add(retryWait)
	}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func keyOf(c CallMsg) spanKey {
	return spanKey{
		service: c.Service,
		span:    c.Span,
		fence:   c.Fence,
	}
}

func keyOfRange(service string, r registrar.Range) spanKey {
	return spanKey{
		service: service,
		span: registrar.Span{
			From: r.From,
			To:   r.To,
		},
		fence: r.Fence,
	}
}

func (l *Lessor) noteJoins() {
	if l.noted.Same(l.view.Registry.Targets()) {
		return
	}
	l.noted = l.view.Registry.Targets()
	for _, t := range l.noted.All() {
		if _, ok := l.joined[t.Incarnation]; !ok {
			l.joined[t.Incarnation] = l.now
		}
	}
	for inc := range l.joined {
		if !l.view.Registry.Alive(inc) {
			delete(l.joined, inc)
		}
	}
}

// targets returns the targets of a service that the planner works with.
func (l *Lessor) targets(service string) []planner.Target {
	var all []planner.Target
	e := l.view.Estimators[service]
	warm := 0
	for _, t := range l.view.Registry.Pool(service).All() {
		slowness := 1.0
		if t.Slowness > 0 {
			slowness = t.Slowness
		}
		if e != nil {
			e.Expect(t.ID, t.Slowness)
			slowness = e.Slowness(t.ID)
		}
		closed := l.leaving(*t) || t.Cold || l.holder(t.Incarnation).failures >= deadAfter
		if !closed {
			warm++
		}
		all = append(all, planner.Target{
			Incarnation: t.Incarnation,
			Capacity:    float64(max(1, t.Slots)) / slowness,
			Closed:      closed,
		})
	}
	if warm == 0 {
		l.openCold(all)
	}
	sortTargets(all)
	return all
}

// openCold lets cold targets own keys where there is no other: the hosts keep within their limit.
func (l *Lessor) openCold(all []planner.Target) {
	for i := range all {
		t, _ := l.view.Registry.Target(all[i].Incarnation.ID)
		all[i].Closed = l.leaving(t) || l.holder(t.Incarnation).failures >= deadAfter
	}
}

func (l *Lessor) leaving(t registrar.Target) bool {
	return t.Draining || l.view.Out(t.DataCentre)
}
