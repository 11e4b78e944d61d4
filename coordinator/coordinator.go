// Package coordinator is the control loop of the control leader: it runs the lessor, which assigns key ranges to
// targets, makes the grant and release calls to targets, proposes the changes of ownership, and maintains the
// membership of the control group.
package coordinator

import (
	"context"
	"expvar"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/adjudicator"
	"bramleyline.example/bramleyline/aggregator"
	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/lessor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/recruiter"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// tickInterval is the longest time between two decisions. A new state, a failed call, the answer to a release or the
	// end of a proposal triggers one earlier.
	tickInterval = 50 * time.Millisecond
	// memberInterval is the time between two checks of the membership of the control group, and nextMemberWait the time
	// from a change to the next check. A replacement takes two changes, and between them there is one voter too many.
	memberInterval = 250 * time.Millisecond
	nextMemberWait = 20 * time.Millisecond
	// grantTimeout bounds a grant call, which is answered within a few milliseconds unless something is wrong.
	grantTimeout = time.Second
	// releaseTimeout bounds a release call, which is answered when the requests in progress on its keys have ended.
	releaseTimeout = 4 * time.Second
	// proposeTimeout bounds the commit of a change of ownership or membership.
	proposeTimeout = 2 * time.Second
	// limitInterval is the least time between two commands with limits of targets, whose limits may change with each answer.
	limitInterval = 250 * time.Millisecond
)

var counters = expvar.NewMap("overseer")

// Caller makes grant and release calls to targets.
type Caller interface {
	// Call makes a call. It is sent only if mayCall returns true immediately before: opening a connection takes so long that another
	// host may be the leader by then. That one counts only grants until its election, and may have granted what is to be released.
	Call(ctx context.Context, c lessor.CallMsg, mayCall func() bool) lessor.CallResultMsg
}

// Options are the dependencies and settings of a Coordinator. All but Name are required.
type Options struct {
	// Name is the name of this control host. If it is empty, the host does not ask others for the loads of targets.
	Name       string
	Controller *controller.Controller
	Caller     Caller
	// Decode decodes a stored traffic table.
	Decode func(registrar.Document) (*matcher.Table, error)
	// Hold is the length of a grant.
	Hold time.Duration
	// Membership decides on changes of the control group's membership.
	Membership recruiter.Recruiter
	// Messenger carries the relayed reports of entry hosts to the leader.
	Messenger *messenger.Messenger
	Log       *log.Logger
}

// Coordinator calls targets and proposes changes only while its host leads the control group. On other control hosts it
// relays reports to the leader. Make it with New.
type Coordinator struct {
	opts        Options
	callResults chan callResult
	reports     chan []ServiceLoadMsg
	// proposalDone receives a value when the proposal in progress has ended.
	proposalDone chan struct{}

	lessor           *lessor.Lessor
	leadingSince     time.Time
	proposalPending  bool
	membersCheckedAt time.Time
	// memberChanged receives a value when a change of the member list was committed.
	memberChanged chan struct{}
	tableCache    cacher.Cacher
	table         *matcher.Table
	estimators    map[string]*estimator.Estimator
	// adjudicator decides which requests are refused because they crash their targets. quarantinePending says that a
	// decision is being committed.
	adjudicator       adjudicator.Adjudicator
	quarantinePending atomic.Bool
	// issuer issues the tokens of targets that state a limit. limitsPending says that a command with limits is being
	// committed, limitsAt when the last one was begun.
	issuer        issuer.Issuer
	limitsPending atomic.Bool
	limitsAt      time.Time
	relay         relay
	departures    departures
	// loads holds the loads of targets and the demand that entry hosts report.
	loads aggregator.Aggregator

	startOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// callResult is the result of a call and the Lessor that asked for it. A leader that is elected again has a new Lessor,
// which counts the calls of an earlier term as unanswered, so results for an earlier Lessor are ignored. A Lessor outlives
// lapses of the lease within a term.
type callResult struct {
	lessor *lessor.Lessor
	msg    lessor.CallResultMsg
}

// ServiceLoadMsg is the load of one keyed service that an entry host observed since its last report.
type ServiceLoadMsg struct {
	Service string
	// Keys lists the key of each request, and Work its expected service time in milliseconds.
	Keys []uint16
	Work []uint16
	// Paces lists the observed slowness of each target that answered.
	Paces []SlownessMsg
}

// SlownessMsg is the observed slowness of one target.
type SlownessMsg struct {
	Target string
	// Count is the number of requests, Slowness the mean factor by which they took longer than usual.
	Count    uint16
	Slowness float32
}

// New returns a Coordinator that has not started.
func New(o Options) *Coordinator {
	s := Coordinator{
		opts:          o,
		callResults:   make(chan callResult, 1024),
		reports:       make(chan []ServiceLoadMsg, 256),
		proposalDone:  make(chan struct{}, 1),
		memberChanged: make(chan struct{}, 1),
		estimators:    make(map[string]*estimator.Estimator),
		tableCache: cacher.Cacher{
			Decode: o.Decode,
		},
		done: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return &s
}

// Start starts the control loop.
func (s *Coordinator) Start() {
	s.startOnce.Do(func() { go s.run() })
}

// Done is closed when the control loop has ended.
func (s *Coordinator) Done() <-chan struct{} {
	return s.done
}

// Close ends the control loop and the calls in progress.
func (s *Coordinator) Close() error {
	s.cancel()
	s.startOnce.Do(func() { close(s.done) })
	<-s.done
	return nil
}

// Observe takes the load reports of an entry host, and what targets stated to it. If another host leads, they are queued
// for the relay to it. Reports that arrive faster than they are processed are dropped and counted.
func (s *Coordinator) Observe(reports []ServiceLoadMsg, stated []issuer.StatedMsg) {
	if !s.leads() {
		counters.Add("droppedWork", int64(s.relay.add(reports)))
		s.relay.addStated(timekeeper.Now(), stated)
		return
	}
	for _, m := range stated {
		s.issuer.Observe(timekeeper.Now(), m)
	}
	if len(reports) == 0 {
		return
	}
	select {
	case s.reports <- reports:
	default:
		counters.Add("droppedWork", int64(len(reports)))
	}
}

// leads reports whether this host leads the control group.
func (s *Coordinator) leads() bool {
	_, ok := s.opts.Controller.Leading(timekeeper.Now())
	return ok
}

func (s *Coordinator) run() {
	defer close(s.done)
	var relays sync.WaitGroup
	relays.Go(s.relayReports)
	relays.Go(s.exchangeLoads)
	defer relays.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.opts.Controller.Changed()
		s.tick()
		if !s.await(changed, ticker.C) {
			return
		}
		s.drainChannels()
	}
}

// await processes events until a decision is due. It returns false when the Coordinator is closed.
func (s *Coordinator) await(changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-s.ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
			return true
		case m := <-s.callResults:
			s.handleResult(m)
			// A successful grant needs no decision, and there are hundreds of renewals a second.
			if !m.msg.OK || m.msg.Call.IsRelease() {
				return true
			}
		case <-s.proposalDone:
			s.proposalPending = false
			return true
		case <-s.memberChanged:
			s.membersCheckedAt = timekeeper.Now().Add(nextMemberWait - memberInterval)
		case reports := <-s.reports:
			s.addLoad(reports)
		}
	}
}

// drainChannels processes all other events that have arrived, so that one decision covers them all.
func (s *Coordinator) drainChannels() {
	for {
		select {
		case m := <-s.callResults:
			s.handleResult(m)
		case <-s.proposalDone:
			s.proposalPending = false
		case reports := <-s.reports:
			s.addLoad(reports)
		default:
			return
		}
	}
}

func (s *Coordinator) handleResult(r callResult) {
	m := r.msg
	if !m.OK {
		counters.Add("failedCalls", 1)
		s.opts.Log.Warn("call at target failed", "target", m.Call.Incarnation.ID, "service", m.Call.Service,
			"from", m.Call.Span.From, "to", m.Call.Span.To, "fence", m.Call.Fence, "release", m.Call.IsRelease(), "sent", !m.NotSent,
			"answered", m.Answered, "err", m.Err)
	}
	if s.lessor != nil && s.lessor == r.lessor {
		s.lessor.HandleResult(timekeeper.Now(), m)
	}
}

func (s *Coordinator) addLoad(reports []ServiceLoadMsg) {
	now := timekeeper.Now()
	for _, m := range reports {
		e, ok := s.estimators[m.Service]
		if !ok {
			e = &estimator.Estimator{}
			s.estimators[m.Service] = e
		}
		for i, key := range m.Keys {
			if i < len(m.Work) {
				e.Add(now, key, time.Duration(m.Work[i])*time.Millisecond)
			}
		}
		for _, p := range m.Paces {
			e.ObserveSlowness(p.Target, float64(p.Slowness), int(p.Count))
		}
	}
}

// tick makes the decisions that are due now and starts their calls and proposals.
func (s *Coordinator) tick() {
	now := timekeeper.Now()
	if !s.followLeadership(now) {
		return
	}
	s.updateMembers(now)
	st := s.opts.Controller.State()
	s.updateLimits(now, st.Registry)
	s.updateQuarantine(st.Registry)
	s.removeEnded(now, st.Registry)
	if !s.updateTable(st) {
		return
	}
	e := s.lessor.Tick(now, lessor.View{
		Registry:   st.Registry,
		Services:   s.keyedServices(),
		Out:        func(dc string) bool { return st.DataCentres[dc].Out },
		Pending:    s.proposalPending,
		Estimators: s.estimators,
		Objective:  s.table.TightestObjective,
	})
	for _, p := range e.Paces {
		s.logPace(p)
	}
	s.reportPlans(e.Plans)
	for _, c := range e.Calls {
		go s.call(s.lessor, s.leadingSince, c)
	}
	if len(e.Changes) > 0 {
		s.proposalPending = true
		go s.propose(e.Changes)
	}
}

// followLeadership begins and ends what is kept for one term of leadership, and reports whether this host leads. While its
// lease has lapsed and no other host was elected, it keeps everything and does nothing: grants are renewed without an entry
// in the log, so a new Lessor would not know until when they last.
func (s *Coordinator) followLeadership(now time.Time) bool {
	since, ok := s.opts.Controller.Leading(now)
	if !ok {
		if s.lessor != nil && !s.opts.Controller.Presiding() {
			s.opts.Log.Info("leadership ended", "since", s.leadingSince)
			s.issuer.Reset()
			s.lessor = nil
		}
		return false
	}
	if s.lessor == nil || !since.Equal(s.leadingSince) {
		s.opts.Log.Info("leadership began", "index", s.opts.Controller.State().Index)
		s.leadingSince = since
		s.issuer.Reset()
		s.adjudicator.Reset()
		s.departures = departures{}
		s.lessor = lessor.New(since, lessor.Settings{
			Hold:        s.opts.Hold,
			CallTimeout: grantTimeout,
		})
	}
	return true
}

// updateTable sets s.table to the traffic table in force, and reports whether there is one.
func (s *Coordinator) updateTable(st *applier.State) bool {
	var err error
	if s.table, err = s.tableCache.Table(st.Registry.Table); err != nil {
		s.opts.Log.Error("stored table cannot be read", "version", st.Registry.Table.Version, "err", err)
	}
	return s.table != nil
}

func (s *Coordinator) keyedServices() []string {
	var names []string
	for name, svc := range s.table.Services {
		if svc.Keyed {
			names = append(names, name)
		}
	}
	return names
}

// call makes one call to a target, if this host still leads since the given time, and passes the result to the control loop.
func (s *Coordinator) call(l *lessor.Lessor, since time.Time, c lessor.CallMsg) {
	timeout := grantTimeout
	if c.IsRelease() {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	m := lessor.CallResultMsg{
		Call:      c,
		NotSent:   true,
		Withdrawn: true,
		Err:       controller.ErrNotLeader,
	}
	mayCall := func() bool {
		current, ok := s.opts.Controller.Leading(timekeeper.Now())
		return ok && current.Equal(since)
	}
	if mayCall() {
		counters.Add("calls", 1)
		m = s.opts.Caller.Call(ctx, c, mayCall)
	}
	select {
	case s.callResults <- callResult{
		lessor: l,
		msg:    m,
	}:
	case <-s.ctx.Done():
	}
}

// propose commits changes in order, up to the first failure. The lessor decides again on changes that were not
// committed.
func (s *Coordinator) propose(changes []registrar.Change) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	for i := range changes {
		s.logChange(&changes[i])
		if _, err := s.opts.Controller.Propose(ctx, applier.Command{
			Registry: &changes[i],
		}); err != nil {
			s.opts.Log.Warn("change of ownership not committed", "err", err)
			break
		}
	}
	s.proposalDone <- struct{}{}
}

func (s *Coordinator) logChange(c *registrar.Change) {
	switch {
	case c.Grant != nil:
		for _, g := range c.Grant.Grants {
			s.opts.Log.Info("new owner", "service", c.Grant.Service, "from", g.From, "to", g.To, "target", g.Owner.ID,
				"handover", g.Handover != "")
		}
	case c.Refence != nil:
		s.opts.Log.Info("new fences", "service", c.Refence.Service, "index", s.opts.Controller.State().Index)
	case c.Release != nil:
		for _, p := range c.Release.Spans {
			s.opts.Log.Info("release", "service", c.Release.Service, "from", p.From, "to", p.To)
		}
	}
}

// updateMembers starts the next change of the member list, if there is one.
func (s *Coordinator) updateMembers(now time.Time) {
	if now.Sub(s.membersCheckedAt) < memberInterval {
		return
	}
	s.membersCheckedAt = now
	change, ok := s.opts.Membership.Decide(s.opts.Controller.Peers())
	if !ok {
		return
	}
	go s.changeMembers(change)
}

func (s *Coordinator) changeMembers(c recruiter.Change) {
	ctx, cancel := context.WithTimeout(s.ctx, proposeTimeout)
	defer cancel()
	var err error
	if c.Promote != "" {
		err = s.opts.Controller.Promote(ctx, c.Promote)
	} else {
		err = s.opts.Controller.Remove(ctx, c.Remove)
	}
	s.opts.Log.Info("member change", "promote", c.Promote, "remove", c.Remove, "err", err)
	if err != nil {
		return
	}
	select {
	case s.memberChanged <- struct{}{}:
	default:
	}
}
