// Package lessor is the lease manager for the key ranges of direct dispatch. It runs on the control leader and decides
// which calls grant, renew and release the ranges of targets, and which changes of ownership enter the log. It does no
// I/O and reads no clock.
//
// A key gets a new owner only when its previous owner can no longer hold it: that owner has released the key, or its
// process has ended, or everything that was ever granted to it has expired. An unanswered grant may take effect late, so
// the target counts as holding it for its full length from the moment at which the call was given up.
package lessor

import (
	"maps"
	"time"

	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/planner"
	"bramleyline.example/bramleyline/registrar"
)

const (
	// renewalsPerHold is the number of renewals within the length of a grant, so that a few may fail in a row before the
	// grant expires.
	renewalsPerHold = 5
	// retryBackoff is the pause before the next call to a target after a failed call, or after a grant that was rejected
	// for another reason than its fence.
	retryBackoff = 300 * time.Millisecond
	// planInterval is the interval at which moves are planned and outdated state is pruned.
	planInterval = 400 * time.Millisecond
	// minConcurrentMoves is the number of ranges of a service that may always be moving from one target to another at
	// once. In a large service it is one for each targetsPerMove targets, so that a large service is balanced in the same
	// time as a small one.
	minConcurrentMoves = 6
	targetsPerMove     = 6
	// joinWait is the wait after a target has joined before the keys of a service without any owner are divided among its
	// targets, so that targets that start together all get keys.
	joinWait = 1200 * time.Millisecond
	// ratingWait bounds the wait for the rated slowness of a target before the keys are divided. Health probes need half
	// of it to rate a target.
	ratingWait = 3 * time.Second
	// unresponsiveAfter is the number of failed calls in a row after which a target counts as unresponsive and is assigned
	// no further keys.
	unresponsiveAfter = 2
	// maxAnnounceDelay is the longest time from the start of a target until its first announcement is in the registry. A
	// heartbeat is sent each second and may arrive some seconds late.
	maxAnnounceDelay = 8 * time.Second
	// minHold is the least length of a grant: with a shorter one a target would hold keys only for a moment.
	minHold = time.Second
	// earlierTermsFence stands for all fences that earlier leaders used.
	earlierTermsFence = 0
	// moveCooldown is how long keys are not moved again after a planned move, and hotKeyCooldown the same for a range of
	// a single hot key: the measured load of a key follows a change with a time constant of 3 s, and each move costs the
	// callers of its keys a hand-over.
	moveCooldown   = 300 * time.Millisecond
	hotKeyCooldown = 2 * time.Second
	// maxRangesPerTarget bounds the ranges that planned moves give to one target. A service should have no more than
	// maxRangesPerService ranges in all, so in a large service the bound of a target is its part of them, but at least
	// minRangesPerTarget. The reason is that each range is renewed by a call of its own, and each host receives all ranges
	// when it starts.
	maxRangesPerTarget  = 12
	maxRangesPerService = 480
	minRangesPerTarget  = 4
	// hotMoves bounds the moves of one plan that splits hot spans, and maxHotRanges the ranges that a target may have after
	// such moves, where other moves allow fewer. Two hundred hot keys, the most that is known, need a move for each or for
	// each two of them.
	hotMoves     = 256
	maxHotRanges = 6
	// hotInterval is the least time between two checks for hot spans. A check reads the load of each key, in 0.2 ms.
	hotInterval = 45 * time.Millisecond
	// hotConfirmation is the time from the detection of a hot span to its split. At the detection, about a fifth of the
	// hosts have reported its load, and a split by a load that is far too low has to be repeated.
	hotConfirmation = 150 * time.Millisecond
	// hotWait is the time from an election to the first check for hot spans. The loads of a leader that was one before are too
	// low at first, so that all spans would seem to rise.
	hotWait = 3 * time.Second
	// hotMemory is how long the load of a span that was hot is estimated from its most recent requests. After it, the
	// average over 3 s is close to the load.
	hotMemory = 3 * time.Second
	// hotBlock is the number of neighbouring keys that are kept or moved together when the hot part of a range is found.
	hotBlock = 16
	// minBlockRequests is the least number of recent requests in a block that has a part of the load. Less than two of them
	// are often there by chance.
	minBlockRequests = 1.5
	// maxHotReleases is what maxReleases is while hot spans are released: a target runs and queues about 15 requests, and
	// each may delay the release of its key. The others must not wait behind these.
	maxHotReleases = 16
	// shareMoveFraction bounds the ranges that are moving while further moves that only improve shares are planned, as a
	// fraction of the targets, and minShareMoves is the least such bound. Each move delays the requests for its keys.
	shareMoveFraction = 0.04
	minShareMoves     = 2
	// objectiveFactor is the ratio of the tightest objective of a service to its mean service time below which its targets
	// get shares: then the speed of a target decides whether its answers are in time.
	objectiveFactor = 2.5
	// firstUtilization is the utilization for which shares are computed before there is load.
	firstUtilization = 0.4
	// maxReleases bounds the concurrent releases at one target. There are several because each waits for the requests in
	// flight on its keys: one after the other they would take seconds at a busy target. They are bounded because a target
	// with a long queue accepts few connections.
	maxReleases = 8
	// minScanInterval and maxScanInterval are the least and the greatest time between two scans of all ranges of a
	// service. A scan takes 1 ms at 3,200 ranges.
	minScanInterval = 15 * time.Millisecond
	maxScanInterval = 100 * time.Millisecond
	// limitUtilization is the share of its limit that a target with one gets in keys. The rest is for requests that arrive
	// close to each other: most of them would have to be refused without it.
	limitUtilization = 0.7
)

// Settings configure a Lessor.
type Settings struct {
	// Hold is the length of a grant.
	Hold time.Duration
	// CallTimeout is how long the caller waits for the answer to a grant call before it gives the call up.
	CallTimeout time.Duration
}

// View is the input of a decision.
type View struct {
	Registry registrar.Registry
	// Services are the names of the keyed services in the traffic table.
	Services []string
	// Out reports whether operators have taken a data centre out.
	Out func(dataCentre string) bool
	// Pending says that proposed changes are not committed yet. No further changes are proposed until they are.
	Pending bool
	// Estimators estimate the load of each service, by name. A service without one counts as idle.
	Estimators map[string]*estimator.Estimator
	// Objective returns the tightest latency objective of the routes to a service, zero if it is unknown. It may be nil.
	Objective func(service string) time.Duration
}

// PlanMsg reports moves of one service that began, for the log.
type PlanMsg struct {
	Service string
	// Moves is the number of moves, of which Share only improve shares and Hot split hot spans.
	Moves int
	Share int
	Hot   int
	// HotSpans are the hot spans that were split, and HotLoad is their load in busy slots.
	HotSpans []registrar.Span
	HotLoad  float64
}

// Effects are the calls to make and the changes to propose after a decision.
type Effects struct {
	Calls   []CallMsg
	Changes []registrar.Change
	// Paces are changes of paces, for the log.
	Paces []PaceMsg
	// Plans reports the moves that were planned.
	Plans []PlanMsg
}

// Lessor is the lease manager of one term of leadership. Make it with New. It is not safe for concurrent use.
type Lessor struct {
	settings Settings
	// elected is when the leadership began. Grants of an earlier leader may be valid for one more Hold after it.
	elected time.Time
	holders map[registrar.Incarnation]*holder
	// nextOwners maps each span that is being released to its planned owner.
	nextOwners map[spanKey]registrar.Incarnation
	// released maps each span that its owner has released to the hand-over.
	released map[spanKey]string
	// plannedAt is when moves were last planned, by service.
	plannedAt map[string]time.Time
	// recentMoves are the latest planned moves that may still be in cooldown, by service.
	recentMoves map[string][]movedSpan
	// hotSpans are the spans that were hot within hotMemory, by service, and hotCheckedAt is when hot spans were last looked
	// for.
	hotSpans     map[string][]hotSpan
	hotCheckedAt map[string]time.Time
	// hotReleases are the spans that are released because they are hot.
	hotReleases map[spanKey]bool
	// movesProposed says that this tick has proposed moves of hot spans or of a service with shares. Their spans are not in the
	// registry yet.
	movesProposed bool
	prunedAt      time.Time
	// joinedAt is when this Lessor first saw each incarnation in the registry.
	joinedAt map[registrar.Incarnation]time.Time
	// joinedTargets are the targets at the last update of joinedAt.
	joinedTargets registrar.Pool
	// refenced holds the services whose ranges got new fences in this term, or needed none.
	refenced map[string]bool
	scans    map[string]scan
	// paces holds the paces of the targets of the keyed services, and pacedAt when they were last updated, by service.
	paces   map[registrar.Incarnation]*keyedPace
	pacedAt map[string]time.Time
	// scanNeeded says that a call was answered after which a scan may find something to do.
	scanNeeded bool
	// scanDelayed says that a needed scan was put off in this tick, because the last one was too recent.
	scanDelayed bool

	now     time.Time
	view    View
	effects Effects
}

// scan records the last scan of all ranges of a service: its time, and the ranges and targets that it saw.
type scan struct {
	scannedAt time.Time
	ranges    registrar.Ranges
	targets   registrar.Pool
}

// spanKey identifies a span of a service under one fence.
type spanKey struct {
	service string
	span    registrar.Span
	fence   uint64
}

// overlaps reports whether the two spans are of one service and have a key in common.
func (k spanKey) overlaps(other spanKey) bool {
	return k.service == other.service && k.span.From <= other.span.To && other.span.From <= k.span.To
}

// movedSpan is a span and the time at which a planned move of it began.
type movedSpan struct {
	span    registrar.Span
	movedAt time.Time
}

// New returns a Lessor for a leadership that began at elected.
func New(elected time.Time, s Settings) *Lessor {
	return &Lessor{
		settings:    s,
		elected:     elected,
		holders:     make(map[registrar.Incarnation]*holder),
		nextOwners:  make(map[spanKey]registrar.Incarnation),
		released:    make(map[spanKey]string),
		plannedAt:   make(map[string]time.Time),
		recentMoves: make(map[string][]movedSpan),

		hotSpans:     make(map[string][]hotSpan),
		hotCheckedAt: make(map[string]time.Time),
		hotReleases:  make(map[spanKey]bool),

		joinedAt: make(map[registrar.Incarnation]time.Time),
		refenced: make(map[string]bool),
		scans:    make(map[string]scan),
		paces:    make(map[registrar.Incarnation]*keyedPace),
		pacedAt:  make(map[string]time.Time),
	}
}

// expiry returns when a grant that took effect no later than t has expired even on the slowest clock.
func (l *Lessor) expiry(t time.Time) time.Time {
	return t.Add(l.settings.Hold + leaser.DefaultMargin(l.settings.Hold))
}

// holdFor returns the length of the next grant to h. An unresponsive target may never answer again, so its keys must become
// free in the end: further grants expire no later than the earlier ones.
func (l *Lessor) holdFor(h *holder) time.Duration {
	if h.failures < unresponsiveAfter {
		return l.settings.Hold
	}
	left := h.expiresAt.Sub(l.now) - leaser.DefaultMargin(l.settings.Hold) - l.settings.CallTimeout
	return min(l.settings.Hold, left)
}

// holder returns the state of an incarnation, and adds it if there is none yet.
func (l *Lessor) holder(inc registrar.Incarnation) *holder {
	h, ok := l.holders[inc]
	if !ok {
		h = &holder{
			unconfirmedUntil: make(map[uint64]time.Time),
			renewAt:          make(map[spanKey]time.Time),
			unusableFences:   make(map[uint64]bool),
			sentFences:       make(map[uint64]uint64),
			releases:         make(map[spanKey]bool),
			confirmed:        make(map[uint64][]registrar.Span),
		}
		l.holders[inc] = h
	}
	return h
}

// Tick returns the calls and changes that are due at now.
func (l *Lessor) Tick(now time.Time, v View) Effects {
	l.now, l.view, l.effects = now, v, Effects{}
	l.movesProposed = false
	l.recordJoins()
	for _, service := range v.Services {
		l.updatePaces(service)
		l.tickService(service)
	}
	l.scanNeeded, l.scanDelayed = l.scanDelayed, false
	l.prune()
	return l.effects
}

// prune deletes what is recorded of ranges that no longer exist under the same fence, and ended incarnations that can hold
// no keys any more.
func (l *Lessor) prune() {
	if l.now.Before(l.prunedAt.Add(planInterval)) {
		return
	}
	l.prunedAt = l.now
	present := make(map[spanKey]bool)
	fences := make(map[uint64]bool)
	for service := range l.view.Registry.Services() {
		for _, r := range l.view.Registry.Ranges(service).All() {
			present[keyOfRange(service, *r)] = true
			fences[r.Fence] = true
		}
	}
	absent := func(k spanKey) bool { return !present[k] }
	if !l.view.Pending && !l.movesProposed {
		maps.DeleteFunc(l.nextOwners, func(k spanKey, _ registrar.Incarnation) bool { return absent(k) })
		maps.DeleteFunc(l.hotReleases, func(k spanKey, _ bool) bool { return absent(k) })
	}
	maps.DeleteFunc(l.released, func(k spanKey, _ string) bool { return absent(k) })
	for inc, h := range l.holders {
		maps.DeleteFunc(h.renewAt, func(k spanKey, _ time.Time) bool { return absent(k) })
		maps.DeleteFunc(h.confirmed, func(f uint64, _ []registrar.Span) bool { return !fences[f] })
		maps.DeleteFunc(h.sentFences, func(f, _ uint64) bool { return !fences[f] })
		maps.DeleteFunc(h.unusableFences, func(f uint64, _ bool) bool { return !fences[f] })
		maps.DeleteFunc(h.unconfirmedUntil, func(_ uint64, until time.Time) bool { return !l.now.Before(until) })
		if !h.callInProgress() && !l.view.Registry.Alive(inc) && !l.now.Before(h.expiresAt) {
			delete(l.holders, inc)
		}
	}
}

// HandleResult processes the result of a call.
func (l *Lessor) HandleResult(now time.Time, m CallResultMsg) {
	h := l.holder(m.Call.Incarnation)
	key := keyOf(m.Call)
	l.scanNeeded = l.scanNeeded || !m.OK || m.Call.IsRelease()
	if m.Call.IsRelease() {
		delete(h.releases, key)
	} else {
		h.granting = false
		h.setConnection(m)
	}
	switch {
	case m.Withdrawn:
		return
	case m.Answered:
		h.failures = 0
	case m.Disconnected:
		// The connection may have ended for any reason; only the next call shows whether the target still runs.
		h.unusableFences[key.fence] = true
		return
	default:
		h.failures++
		h.retryAt = now.Add(retryBackoff)
	}
	if m.Call.Grant != nil {
		l.grantAnswered(now, h, key, m)
		return
	}
	if m.Answered && m.OK {
		l.released[key] = m.Handover
		delete(h.renewAt, key)
	}
}

// grantAnswered processes the result of a grant call.
func (l *Lessor) grantAnswered(now time.Time, h *holder, key spanKey, m CallResultMsg) {
	if m.NotSent {
		return
	}
	if m.Call.Connection == 0 {
		h.dialedAt = now
	}
	until := now.Add(m.Call.Grant.Hold + leaser.DefaultMargin(l.settings.Hold))
	h.expiresAt = later(h.expiresAt, until)
	if !m.Answered {
		h.unconfirmedUntil[key.fence] = later(h.unconfirmedUntil[key.fence], until)
		return
	}
	switch {
	case m.OK:
		h.confirm(key)
		h.renewAt[key] = now.Add(m.Call.Grant.Hold / renewalsPerHold)
	case m.Fenced:
		h.unusableFences[key.fence] = true
	default:
		h.retryAt = now.Add(retryBackoff)
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

// recordJoins records when targets joined, and deletes those of ended incarnations.
func (l *Lessor) recordJoins() {
	if l.joinedTargets.Same(l.view.Registry.Targets()) {
		return
	}
	l.joinedTargets = l.view.Registry.Targets()
	for _, t := range l.joinedTargets.All() {
		if _, ok := l.joinedAt[t.Incarnation]; !ok {
			l.joinedAt[t.Incarnation] = l.now
		}
	}
	for inc := range l.joinedAt {
		if !l.view.Registry.Alive(inc) {
			delete(l.joinedAt, inc)
		}
	}
}

// targets returns the targets of a service as input of the planner, sorted by ID.
func (l *Lessor) targets(service string) []planner.Target {
	var all []planner.Target
	e := l.view.Estimators[service]
	warm := 0
	floor := l.paceFloor(service)
	for _, t := range l.view.Registry.Pool(service).All() {
		slowness := 1.0
		if t.Slowness > 0 {
			slowness = t.Slowness
		}
		if e != nil {
			e.Expect(t.ID, t.Slowness)
			slowness = e.Slowness(t.ID)
		}
		closed := l.mustRelease(*t) || t.Cold || l.holder(t.Incarnation).failures >= unresponsiveAfter
		if !closed {
			warm++
		}
		pace, filling := l.pace(service, t.Incarnation, floor)
		all = append(all, planner.Target{
			Incarnation: t.Incarnation,
			Capacity:    float64(max(1, t.Slots)) / slowness * pace,
			MaxLoad:     maxLoad(t, e),
			Filling:     filling,
			NoNewKeys:   closed,
		})
	}
	if warm == 0 {
		l.openColdTargets(all)
	}
	sortTargets(all)
	return all
}

// maxLoad returns the load that a target with a limit may get, zero for a target without one.
func maxLoad(t *registrar.Target, e *estimator.Estimator) float64 {
	if t.Limit == nil || e == nil {
		return 0
	}
	return limitUtilization * max(issuer.MinRate, *t.Limit) * e.MeanServiceTime().Seconds()
}

// openColdTargets lets cold targets own keys where no warm target can. It does not overload them, because entry hosts
// bound the requests that they send to a cold target.
func (l *Lessor) openColdTargets(all []planner.Target) {
	for i := range all {
		t, _ := l.view.Registry.Target(all[i].Incarnation.ID)
		all[i].NoNewKeys = l.mustRelease(t) || l.holder(t.Incarnation).failures >= unresponsiveAfter
	}
}

// mustRelease reports whether a target has to give up its keys, because it drains or its data centre is taken out.
func (l *Lessor) mustRelease(t registrar.Target) bool {
	return t.Draining || l.view.Out(t.DataCentre)
}
