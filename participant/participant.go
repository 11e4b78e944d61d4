// Package participant runs a host's part in the ownership of slots: the tracker, the authority of the data centre while
// this host is named, and the delegator while it is the control leader.
package participant

import (
	"context"
	"expvar"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/delegator"
	"bramleyline.example/bramleyline/granter"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/reporter"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/tracker"
)

// Participant is one host's part in ownership. One goroutine keeps all control state; calls to other hosts run in
// goroutines of their own, and their answers come back as messages. Make it with New.
type Participant struct {
	options   Options
	tracker   *tracker.Tracker
	granter   *granter.Granter
	delegator *delegator.Delegator

	transport transport

	inbox  chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	done   chan struct{}

	status atomic.Pointer[Status]

	// The fields below belong to the loop.
	leadingSince  time.Time
	proposing     bool
	proposedIndex uint64
	leader        string
	beating       bool
	beatAt        time.Time
	reporting     bool
	reportAt      time.Time
	contact       leaser.Holder
	directories   map[string]delegator.DirectoryMsg
	leaderVersion uint64
	connected     []string
	pledge        pledge
	config        *configurer.Config
	statusAt      time.Time
	// wake makes the loop tick at once. news is closed when the table of this host changes.
	wake            chan struct{}
	news            chan struct{}
	newsVersion     uint64
	notifiedVersion uint64
	// notifying has the hosts that are being told of a new table.
	notifying map[string]bool
}

// New returns a Participant that does nothing until Start.
func New(o Options) (*Participant, error) {
	if o.Source == nil || o.Proposer == nil || o.Messenger == nil || o.Config == nil || o.Host.Name == "" || o.Token == "" {
		return nil, errors.New("participant needs a host, a source, a proposer, a messenger, a configuration and a token")
	}
	if o.Leading == nil {
		o.Leading = func(time.Time) (time.Time, bool) { return time.Time{}, false }
	}
	p := &Participant{
		options: o,
		tracker: &tracker.Tracker{
			Host:        o.Host.Name,
			Incarnation: o.Host.Incarnation,
			DataCentre:  o.Host.DataCentre,
			Traffic:     o.Traffic,
		},
		inbox:       make(chan func(now time.Time), 256),
		done:        make(chan struct{}),
		wake:        make(chan struct{}, 1),
		news:        make(chan struct{}),
		notifying:   make(map[string]bool),
		directories: make(map[string]delegator.DirectoryMsg),
	}
	p.granter = &granter.Granter{
		DataCentre:  o.Host.DataCentre,
		Host:        o.Host.Name,
		Incarnation: o.Host.Incarnation,
		Known:       p.tracker.Known,
	}
	p.delegator = &delegator.Delegator{
		Config: func() *configurer.Config { return p.config },
	}
	p.transport = remote{p: p}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Register adds the RPC services "Authority" and "Control" to l.
func (p *Participant) Register(l *messenger.Listener) error {
	if err := l.Register("Authority", &Authority{p: p}); err != nil {
		return err
	}
	return l.Register("Control", &Control{p: p})
}

// Handler returns the handler of targets' heartbeats.
func (p *Participant) Handler() http.Handler {
	return tracker.Handler(p.options.Token, p.options.Host.DataCentre, p.heartbeat)
}

// SetTraffic sets the source of traffic before Start. The router needs the routing table first, so the two are joined
// afterwards.
func (p *Participant) SetTraffic(t reporter.Traffic) {
	p.tracker.Traffic = t
}

// Current returns the place where the routing table is published.
func (p *Participant) Current() *locator.Current {
	return p.tracker.Current()
}

// Start runs the loop until Close.
func (p *Participant) Start() {
	statuses.Set(p.options.Host.Name, expvar.Func(func() any { return p.Status() }))
	go p.run()
}

// Close stops the loop and waits for calls in progress.
func (p *Participant) Close() error {
	p.cancel()
	<-p.done
	p.calls.Wait()
	return nil
}

// Done is closed when the loop has stopped.
func (p *Participant) Done() <-chan struct{} {
	return p.done
}

func (p *Participant) run() {
	defer close(p.done)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	changed := p.options.Source.Changed()
	for {
		select {
		case <-p.ctx.Done():
			return
		case f := <-p.inbox:
			f(timekeeper.Now())
		case <-changed:
			changed = p.options.Source.Changed()
			p.tick(timekeeper.Now())
		case <-p.wake:
			p.tick(timekeeper.Now())
		case <-ticker.C:
			p.tick(timekeeper.Now())
		}
	}
}

// tickInterval is a third of the default heartbeat, so that a wait ends at most that much late.
const tickInterval = 50 * time.Millisecond

// post runs f in the loop. It drops f after Close.
func (p *Participant) post(f func(now time.Time)) {
	select {
	case p.inbox <- f:
	case <-p.ctx.Done():
	}
}

// ask runs f in the loop and waits until it has run.
func (p *Participant) ask(ctx context.Context, f func(now time.Time)) error {
	ran := make(chan struct{})
	select {
	case p.inbox <- func(now time.Time) { f(now); close(ran) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "participant is busy")
	case <-p.ctx.Done():
		return ErrClosed
	}
	select {
	case <-ran:
		return nil
	case <-p.done:
		return ErrClosed
	}
}

func (p *Participant) answerTarget(now time.Time, m tracker.HeartbeatMsg) (reply tracker.HeartbeatReply) {
	for _, e := range p.tracker.Update(now, m) {
		if r, ok := e.(tracker.HeartbeatReply); ok {
			reply = r
		}
	}
	return reply
}

// tick runs the parts of this host over the newest state.
func (p *Participant) tick(now time.Time) {
	cfg, st := p.options.Config(), p.options.Source.State()
	if cfg == nil || st == nil {
		return
	}
	if p.config == nil || cfg.Version >= p.config.Version {
		p.config = cfg
	}
	p.tracker.Update(now, tracker.TickMsg{
		State:         st,
		Config:        p.config,
		Directories:   p.directories,
		Connected:     p.connected,
		LeaderContact: p.contact.Valid(now),
	})
	p.lead(now, st)
	p.beat(now, st)
	if !p.pledge.active(now) {
		p.grant(now, granter.TickMsg{
			State:  st,
			Config: p.config,
		})
	}
	p.report(now, st)
	p.notifyHosts()
	p.releaseHeartbeats()
	p.publish(now)
}

// lead runs the delegator while this host is the control leader.
func (p *Participant) lead(now time.Time, st *applier.State) {
	since, ok := p.options.Leading(now)
	if !ok {
		if !p.leadingSince.IsZero() {
			p.delegator.Resign()
			p.leadingSince = time.Time{}
		}
		return
	}
	if !since.Equal(p.leadingSince) {
		p.leadingSince = since
		p.delegator.Lead(since)
	}
	if p.proposing || st.Index < p.proposedIndex {
		return
	}
	commands := p.delegator.Tick(now, st)
	if len(commands) == 0 {
		return
	}
	p.proposing = true
	p.transport.propose(proposeLimit, commands, func(_ time.Time, last applier.Result, _ error) {
		p.proposing = false
		p.proposedIndex = max(p.proposedIndex, last.Index)
	})
}

// proposeLimit bounds one call of the Proposer; the command is proposed again after it.
const proposeLimit = 2 * time.Second
