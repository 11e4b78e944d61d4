// Package participant is the event loop of slot ownership on one host. It runs the host's tracker, the granter while
// the host is the authority of its data centre, and the delegator while it is the control leader, and carries their
// messages to other hosts.
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

// Participant runs the ownership protocol of one host. One goroutine, the loop, owns all control state; calls to other
// hosts run in goroutines of their own and post their results to the loop. Make it with New.
type Participant struct {
	options   Options
	tracker   *tracker.Tracker
	granter   *granter.Granter
	delegator *delegator.Delegator

	transport transport

	// inbox holds the functions to run in the loop.
	inbox  chan func(now time.Time)
	ctx    context.Context
	cancel context.CancelFunc
	calls  sync.WaitGroup
	done   chan struct{}

	status atomic.Pointer[Status]

	// Only the loop uses the fields below.

	// leadingSince is the time since which this host is the control leader, zero if it is not.
	leadingSince time.Time
	// proposalInFlight is true while commands of the delegator are being proposed, and lastProposedIndex the log index
	// of the newest result. The delegator runs again only when the state includes that index.
	proposalInFlight  bool
	lastProposedIndex uint64
	// leader is the control host that answered as leader last, empty if the leader is unknown.
	leader            string
	heartbeatInFlight bool
	// heartbeatSentAt and reportSentAt are zero if a heartbeat or a report is due at once.
	heartbeatSentAt time.Time
	reportInFlight  bool
	reportSentAt    time.Time
	// leaderContact is valid while the last answer of the control leader is not older than the authority lease.
	leaderContact leaser.Holder
	// directories maps each other data centre to its target directory.
	directories map[string]delegator.DirectoryMsg
	// leaderDirectoryVersion is the version that the leader has of the directory of this data centre.
	leaderDirectoryVersion uint64
	// connected lists the hosts from which the leader gets heartbeats.
	connected         []string
	promise           authorityPromise
	config            *configurer.Config
	statusPublishedAt time.Time
	// wake makes the loop tick at once. tableChanged is closed, and replaced, when the table of this host differs from
	// signalledVersion.
	wake             chan struct{}
	tableChanged     chan struct{}
	signalledVersion uint64
	// notifiedVersion is the version of this authority's table of which the other hosts were notified last.
	notifiedVersion uint64
	// notifyInFlight holds the hosts to which a TableChangedMsg is being sent.
	notifyInFlight map[string]bool
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
		inbox:          make(chan func(now time.Time), 256),
		done:           make(chan struct{}),
		wake:           make(chan struct{}, 1),
		tableChanged:   make(chan struct{}),
		notifyInFlight: make(map[string]bool),
		directories:    make(map[string]delegator.DirectoryMsg),
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
	p.transport = messengerTransport{p: p}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return p, nil
}

// Register registers the RPC services "Authority" and "Control" with l.
func (p *Participant) Register(l *messenger.Listener) error {
	if err := l.Register("Authority", &Authority{p: p}); err != nil {
		return err
	}
	return l.Register("Control", &Control{p: p})
}

// Handler returns the HTTP handler of heartbeats from targets.
func (p *Participant) Handler() http.Handler {
	return tracker.Handler(p.options.Token, p.options.Host.DataCentre, p.serveTargetHeartbeat)
}

// SetTraffic sets the source of traffic. Call it before Start. The source need not be in the Options, because the
// router that provides it is made with the routing table of the Participant.
func (p *Participant) SetTraffic(t reporter.Traffic) {
	p.tracker.Traffic = t
}

// Current returns the holder of the current routing table.
func (p *Participant) Current() *locator.Current {
	return p.tracker.Current()
}

// Start starts the loop, which runs until Close.
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

// tickInterval is a third of the default heartbeat interval; timed work is at most that much late.
const tickInterval = 50 * time.Millisecond

// post has f run in the loop and returns without waiting for it. After Close, f is dropped.
func (p *Participant) post(f func(now time.Time)) {
	select {
	case p.inbox <- f:
	case <-p.ctx.Done():
	}
}

// postAndWait has f run in the loop and waits until it has run. The context ends only the wait for a place in the inbox.
func (p *Participant) postAndWait(ctx context.Context, f func(now time.Time)) error {
	finished := make(chan struct{})
	select {
	case p.inbox <- func(now time.Time) { f(now); close(finished) }:
	case <-ctx.Done():
		return errors.Wrap(ctx.Err(), "participant is busy")
	case <-p.ctx.Done():
		return ErrClosed
	}
	select {
	case <-finished:
		return nil
	case <-p.done:
		return ErrClosed
	}
}

func (p *Participant) answerTargetHeartbeat(now time.Time, m tracker.HeartbeatMsg) (reply tracker.HeartbeatReply) {
	for _, e := range p.tracker.Update(now, m) {
		if r, ok := e.(tracker.HeartbeatReply); ok {
			reply = r
		}
	}
	return reply
}

// tick does the periodic work of this host with the newest state: it runs the tracker, the delegator and the granter,
// and sends the heartbeats and reports that are due.
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
		LeaderContact: p.leaderContact.Valid(now),
	})
	p.runDelegator(now, st)
	p.sendHeartbeat(now, st)
	if !p.promise.active(now) {
		p.updateGranter(now, granter.TickMsg{
			State:  st,
			Config: p.config,
		})
	}
	p.sendReport(now, st)
	p.notifyHosts()
	p.wakeHeartbeats()
	p.publishStatus(now)
}

// runDelegator runs the delegator while this host is the control leader, and proposes its commands.
func (p *Participant) runDelegator(now time.Time, st *applier.State) {
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
	if p.proposalInFlight || st.Index < p.lastProposedIndex {
		return
	}
	commands := p.delegator.Tick(now, st)
	if len(commands) == 0 {
		return
	}
	p.proposalInFlight = true
	p.transport.propose(proposeTimeout, commands, func(_ time.Time, last applier.Result, _ error) {
		p.proposalInFlight = false
		p.lastProposedIndex = max(p.lastProposedIndex, last.Index)
	})
}

// proposeTimeout bounds one proposal of commands; a command without a result is proposed again afterwards.
const proposeTimeout = 2 * time.Second
