// Package coordinator runs the duties of the control leader: it drives the lessor, makes the calls at targets, proposes
// the changes of ownership, and keeps the members of the control group.
package coordinator

import (
	"context"
	"expvar"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/estimator"
	"bramleyline.example/bramleyline/lessor"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/recruiter"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// tickInterval is the longest time between two decisions; changes of the state and answers of targets come before.
	tickInterval = 50 * time.Millisecond
	// memberInterval is the time between two looks at the members of the control group.
	memberInterval = 250 * time.Millisecond
	// grantTimeout bounds a grant: it is answered within a few milliseconds unless something is wrong.
	grantTimeout = time.Second
	// releaseTimeout bounds a release, which is answered when the work in progress has ended.
	releaseTimeout = 4 * time.Second
	// proposeTimeout bounds the commit of a change.
	proposeTimeout = 2 * time.Second
)

var counters = expvar.NewMap("overseer")

// Caller makes calls at targets.
type Caller interface {
	Call(ctx context.Context, c lessor.CallMsg) lessor.AnsweredMsg
}

// Options are the parts that a Coordinator works with. All are required.
type Options struct {
	Controller *controller.Controller
	Caller     Caller
	// Decode reads a stored traffic table.
	Decode   func(registrar.Document) (*matcher.Table, error)
	Hold     time.Duration
	Recruits recruiter.Recruiter
	// Messenger reports to the leader what entry hosts report to this host.
	Messenger *messenger.Messenger
	Log       *log.Logger
}

// Coordinator acts only while its host leads. Make it with New.
type Coordinator struct {
	opts    Options
	answers chan answer
	work    chan []WorkMsg
	// proposed is sent to when proposals have ended.
	proposed chan struct{}

	lessor     *lessor.Lessor
	since      time.Time
	pending    bool
	recruited  time.Time
	tables     cacher.Cacher
	table      *matcher.Table
	estimators map[string]*estimator.Estimator
	// suspects passes on which requests crash their targets.
	suspects quarantiner.Quarantiner
	relay    relay

	startOnce sync.Once
	ctx       context.Context
	cancel    context.CancelFunc
	done      chan struct{}
}

// answer is the result of a call, and who asked for it: a leader that was elected again does not take the answers of its
// earlier term, whose calls it counts as unanswered.
type answer struct {
	lessor *lessor.Lessor
	msg    lessor.AnsweredMsg
}

// WorkMsg is what an entry host saw of one keyed service since its last report.
type WorkMsg struct {
	Service string
	// Keys has the key of each request, and Work its expected time in milliseconds.
	Keys []uint16
	Work []uint16
	// Paces has the targets that answered.
	Paces []SlownessMsg
}

// SlownessMsg is how long the requests of one target took.
type SlownessMsg struct {
	Target string
	// Count is the number of requests, Slowness how many times longer than usual they took on average.
	Count    uint16
	Slowness float32
}

// New returns a Coordinator that has not started.
func New(o Options) *Coordinator {
	s := Coordinator{
		opts:       o,
		answers:    make(chan answer, 1024),
		work:       make(chan []WorkMsg, 256),
		proposed:   make(chan struct{}, 1),
		estimators: make(map[string]*estimator.Estimator),
		tables: cacher.Cacher{
			Decode: o.Decode,
		},
		done: make(chan struct{}),
	}
	s.ctx, s.cancel = context.WithCancel(context.Background())
	return &s
}

// Start starts the loop.
func (s *Coordinator) Start() {
	s.startOnce.Do(func() { go s.run() })
}

// Done is closed when the loop has ended.
func (s *Coordinator) Done() <-chan struct{} {
	return s.done
}

// Close ends the loop and the calls in progress.
func (s *Coordinator) Close() error {
	s.cancel()
	s.startOnce.Do(func() { close(s.done) })
	<-s.done
	return nil
}

// Observe takes the work that an entry host saw, for the leader if that is another host. What comes faster than the loop
// takes it is dropped and counted.
func (s *Coordinator) Observe(work []WorkMsg) {
	if !s.leads() {
		counters.Add("droppedWork", int64(s.relay.add(work)))
		return
	}
	select {
	case s.work <- work:
	default:
		counters.Add("droppedWork", int64(len(work)))
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
	relays.Go(s.passOn)
	defer relays.Wait()
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		changed := s.opts.Controller.Changed()
		s.tick()
		if !s.await(changed, ticker.C) {
			return
		}
		s.drain()
	}
}

// await takes what arrives until a decision is due. It returns false when the Coordinator is closed.
func (s *Coordinator) await(changed <-chan struct{}, tick <-chan time.Time) bool {
	for {
		select {
		case <-s.ctx.Done():
			return false
		case <-changed:
			return true
		case <-tick:
			return true
		case m := <-s.answers:
			s.answered(m)
			// A grant that was taken leaves nothing to decide, and there are hundreds of renewals a second.
			if !m.msg.OK || m.msg.Call.IsRelease() {
				return true
			}
		case <-s.proposed:
			s.pending = false
			return true
		case work := <-s.work:
			s.weigh(work)
		}
	}
}

// drain takes what else has arrived, so that one decision is made for all of it.
func (s *Coordinator) drain() {
	for {
		select {
		case m := <-s.answers:
			s.answered(m)
		case <-s.proposed:
			s.pending = false
		case work := <-s.work:
			s.weigh(work)
		default:
			return
		}
	}
}

func (s *Coordinator) answered(a answer) {
	m := a.msg
	if !m.OK {
		counters.Add("failedCalls", 1)
		s.opts.Log.Warn("call at target failed", "target", m.Call.Incarnation.ID, "service", m.Call.Service,
			"from", m.Call.Span.From, "to", m.Call.Span.To, "fence", m.Call.Fence, "release", m.Call.IsRelease(), "sent", !m.NotSent,
			"answered", m.Answered, "err", m.Err)
	}
	if s.lessor != nil && s.lessor == a.lessor {
		s.lessor.Answered(timekeeper.Now(), m)
	}
}

func (s *Coordinator) weigh(work []WorkMsg) {
	now := timekeeper.Now()
	for _, m := range work {
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
			e.Saw(p.Target, float64(p.Slowness), int(p.Count))
		}
	}
}

// tick makes the decisions of one moment.
func (s *Coordinator) tick() {
	now := timekeeper.Now()
	since, ok := s.opts.Controller.Leading(now)
	if !ok {
		if s.lessor != nil {
			s.opts.Log.Info("leadership ended", "since", since)
		}
		s.lessor = nil
		return
	}
	if s.lessor == nil || !since.Equal(s.since) {
		s.opts.Log.Info("leadership began", "index", s.opts.Controller.State().Index)
		s.since = since
		s.lessor = lessor.New(since, lessor.Settings{
			Hold:        s.opts.Hold,
			CallTimeout: grantTimeout,
		})
	}
	s.recruit(now)
	st := s.opts.Controller.State()
	if !s.readTable(st) {
		return
	}
	e := s.lessor.Tick(now, lessor.View{
		Registry:   st.Registry,
		Services:   s.keyed(),
		Out:        func(dc string) bool { return st.DataCentres[dc].Out },
		Pending:    s.pending,
		Estimators: s.estimators,
	})
	for _, c := range e.Calls {
		go s.call(s.lessor, c)
	}
	if len(e.Changes) > 0 {
		s.pending = true
		go s.propose(e.Changes)
	}
}

// readTable keeps the table that is in force, and reports whether there is one.
func (s *Coordinator) readTable(st *applier.State) bool {
	var err error
	if s.table, err = s.tables.Table(st.Registry.Table); err != nil {
		s.opts.Log.Error("stored table cannot be read", "version", st.Registry.Table.Version, "err", err)
	}
	return s.table != nil
}

func (s *Coordinator) keyed() []string {
	var names []string
	for name, svc := range s.table.Services {
		if svc.Keyed {
			names = append(names, name)
		}
	}
	return names
}

// call makes one call at a target, if this host still leads.
func (s *Coordinator) call(l *lessor.Lessor, c lessor.CallMsg) {
	timeout := grantTimeout
	if c.IsRelease() {
		timeout = releaseTimeout
	}
	ctx, cancel := context.WithTimeout(s.ctx, timeout)
	defer cancel()
	m := lessor.AnsweredMsg{
		Call:    c,
		NotSent: true,
		Err:     controller.ErrNotLeader,
	}
	if s.leads() {
		counters.Add("calls", 1)
		m = s.opts.Caller.Call(ctx, c)
	}
	select {
	case s.answers <- answer{
		lessor: l,
		msg:    m,
	}:
	case <-s.ctx.Done():
	}
}

// propose commits changes in their order. A change that fails is decided anew.
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
	s.proposed <- struct{}{}
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

// recruit makes the next change of the member list, if there is one.
func (s *Coordinator) recruit(now time.Time) {
	if now.Sub(s.recruited) < memberInterval {
		return
	}
	s.recruited = now
	change, ok := s.opts.Recruits.Decide(s.opts.Controller.Peers())
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
}
