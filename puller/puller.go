// Package puller is a read replica of the control group's state, for a host without a log: it pulls the state from
// control hosts by long polling. The state never goes back to an older log index, and Contact returns the time since
// the last known contact with the control leader.
package puller

import (
	"context"
	"expvar"
	"net/netip"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// pullWait is how long a source holds an answer back while it has no newer state, and so the interval at which
	// contact with the leader is confirmed.
	pullWait = 100 * time.Millisecond
	// stallTimeout is how long, beyond the wait at the source, nothing may arrive before another source is tried. A snapshot
	// may take longer as a whole: one of 300 KB takes a second on a link of 2.4 Mbit/s.
	stallTimeout = 500 * time.Millisecond
	// unlimitedBytes is a total size of commands up to which sources of older versions cut no answer off.
	unlimitedBytes = 512 << 10
	// leaveTimeout bounds the last call of a host that stops.
	leaveTimeout = 50 * time.Millisecond
	// callTimeout bounds one call as a whole.
	callTimeout = 20 * time.Second
	// retryDelay is the pause after all sources were tried. It keeps a host from calling unreachable sources in a tight
	// loop.
	retryDelay = 50 * time.Millisecond
	// maxSourceAge is the age of a source's contact with the leader, or of its state, above which another source is
	// tried.
	maxSourceAge = time.Second
	// avoidDuration is how long a source that stopped answering is not preferred, although it is in the preferred data
	// centre.
	avoidDuration = 3 * time.Second
	// pullIntervalPerHost, times the number of hosts in the deployment, is the shortest time between the starts of two
	// pulls, the first of which returned a newer state. maxPullInterval bounds it: updates have to be in force
	// everywhere within 2 s.
	pullIntervalPerHost = 350 * time.Microsecond
	maxPullInterval     = 100 * time.Millisecond
)

var counters = expvar.NewMap("follower")

var (
	errLate       = errors.New("answer is late")
	errLateAnswer = errors.New("another source has answered a late call")
)

// Source is a control host that serves State.Pull.
type Source struct {
	Name string
	Addr netip.AddrPort
}

// Puller pulls the state from the first source that answers. Make it with New.
type Puller struct {
	messenger *messenger.Messenger
	sources   []Source
	log       *log.Logger
	// name is the name of this host. Hosts with different names prefer different sources of their data centre.
	name string
	// dataCentre is the data centre whose control hosts are preferred, empty for no preference. wait is how long a
	// source may hold an answer back.
	dataCentre string
	wait       time.Duration
	// inForce returns the log index up to which the state is in force on this host, nil if it does not confirm that.
	inForce func() uint64

	mu    sync.Mutex
	state *applier.State
	// notify is closed and replaced when the state or confirmed changes.
	notify chan struct{}
	leader string
	// contactAt is when the leader was last known to be in contact with a majority and with the source of this host.
	contactAt time.Time
	// currentAt is the latest time up to which state is known to have every committed command.
	currentAt time.Time
	arrival   Arrival
	// answeredAt is when a source last answered a pull.
	answeredAt time.Time
	// failed is the number of calls that have failed since answeredAt.
	failed int
	// confirmed is what Confirmed returns.
	confirmed bool

	// source is the address of the source in use. avoidedUntil tells until when sources that failed are not preferred.
	// answered is the source that answered last, in use or not.
	source       netip.AddrPort
	answered     netip.AddrPort
	avoidedUntil map[netip.AddrPort]time.Time
	// late holds the functions that cancel the late calls.
	late map[netip.AddrPort]context.CancelFunc

	// lateAnswer receives a value when a late call was answered. calls are the calls in progress.
	lateAnswer chan struct{}
	calls      sync.WaitGroup
	// probed receives the result of the probe in progress. Only the pulling goroutine uses probing, which is true until it has read that.
	probed  chan bool
	probing bool

	ctx       context.Context
	cancel    context.CancelFunc
	startOnce sync.Once
	done      chan struct{}
}

// Option is a setting of a Puller.
type Option func(*Puller)

// WithDataCentre prefers control hosts of a data centre as sources.
func WithDataCentre(name string) Option {
	return func(p *Puller) { p.dataCentre = name }
}

// WithName names this host. Hosts with different names prefer different sources of the same data centre.
func WithName(name string) Option {
	return func(p *Puller) { p.name = name }
}

// WithWait sets how long a source may hold an answer back while it has no newer state; the default is 100 ms.
func WithWait(d time.Duration) Option {
	return func(p *Puller) { p.wait = d }
}

// WithInForce makes the puller tell its sources up to which log index the state is in force on this host, under the name of WithName.
func WithInForce(index func() uint64) Option {
	return func(p *Puller) { p.inForce = index }
}

// New returns a Puller that pulls from sources, and before them from the control hosts of the preferred data centre.
// If l is nil, nothing is logged.
func New(m *messenger.Messenger, sources []Source, l *log.Logger, options ...Option) *Puller {
	p := Puller{
		messenger: m,
		sources:   sources,
		log:       l,
		wait:      pullWait,
		state:     &applier.State{},
		notify:    make(chan struct{}),
		done:      make(chan struct{}),

		lateAnswer: make(chan struct{}, 1),
		probed:     make(chan bool, 1),
	}
	for _, o := range options {
		o(&p)
	}
	p.ctx, p.cancel = context.WithCancel(context.Background())
	return &p
}

// Start starts pulling.
func (p *Puller) Start() {
	p.startOnce.Do(func() { go p.run() })
}

// SetSources replaces the sources that were passed to New, after the settings have changed.
func (p *Puller) SetSources(sources []Source) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sources = sources
}

// State returns the newest state, which is immutable. It is empty until the first answer.
func (p *Puller) State() *applier.State {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state
}

// Changed returns a channel that is closed when a newer state than the present one arrives or Confirmed becomes true. A
// caller that must not miss a change gets the channel before it reads State.
func (p *Puller) Changed() <-chan struct{} {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.notify
}

// Contact returns the name of the control leader and the time since the leader was last known to be in contact with a
// majority and with the source of this host. The name is empty before the first answer.
func (p *Puller) Contact() (leader string, age time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leader, timekeeper.Since(p.contactAt)
}

// Current returns the newest state and the latest time, of timekeeper, up to which it is known to have every committed command.
// Unlike the age of Contact, that time is not that of an answer which lacks the last commands.
func (p *Puller) Current() (*applier.State, time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.state, p.currentAt
}

// Arrival returns how the newest state reached this host.
func (p *Puller) Arrival() Arrival {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.arrival
}

// Silence returns the time since a source last answered a pull. Unlike the age of the contact, it does not grow while there is no
// leader.
func (p *Puller) Silence() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return timekeeper.Since(p.answeredAt)
}

// Confirmed reports whether the state has been the newest, or at most maxSourceAge old, at some time since the start.
// Before that, it may come from a source that has not caught up yet.
func (p *Puller) Confirmed() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.confirmed
}

// Source returns the address of the source in use. It is not valid while no source answers.
func (p *Puller) Source() netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.source
}

// Done returns a channel that is closed when the puller has stopped.
func (p *Puller) Done() <-chan struct{} {
	return p.done
}

// Close stops the puller and tells the source that this host serves no more.
func (p *Puller) Close() error {
	p.cancel()
	p.startOnce.Do(func() { close(p.done) })
	<-p.done
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	p.mu.Lock()
	// The call that was in progress has failed, so no source is in use any more.
	source := p.answered
	p.mu.Unlock()
	p.leave(ctx, source)
	return nil
}

// run tries the candidates in order, and pulls from one until it fails or a nearer one is known.
func (p *Puller) run() {
	defer close(p.done)
	defer p.calls.Wait()
	for p.ctx.Err() == nil {
		for _, s := range p.candidates() {
			if err := p.follow(s); errors.Is(err, errLateAnswer) {
				break
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-p.ctx.Done():
		}
	}
}

// follow pulls from s until that fails, a nearer source answers, or another source answers a call that was late.
func (p *Puller) follow(s Source) error {
	for p.ctx.Err() == nil {
		started, before := timekeeper.Now(), p.State().Index
		if err := p.call(s); err != nil {
			if !errors.Is(err, errLateAnswer) {
				counters.Add("failedPulls", 1)
				p.sourceFailed(s, err)
			}
			return err
		}
		p.sourceAnswered(s)
		if p.nearerAnswers(s) {
			return nil
		}
		if p.State().Index > before {
			p.throttle(started)
		}
	}
	return p.ctx.Err()
}

// throttle delays the next pull after one that began at started and returned a newer state. In a deployment with many
// hosts the state changes all the time, and a source that answers each host for each change has no time for anything
// else.
func (p *Puller) throttle(started time.Time) {
	interval := min(maxPullInterval, time.Duration(len(p.State().Hosts))*pullIntervalPerHost)
	select {
	case <-time.After(interval - timekeeper.Since(started)):
	case <-p.ctx.Done():
	}
}

// pull makes one call to s and applies the answer. It calls stalled once if the answer is late. After an error another source should
// be tried; the state may be newer even then.
func (p *Puller) pull(ctx context.Context, s Source, stalled func()) error {
	old := p.State()
	started := timekeeper.Now()
	args := controller.PullArgs{
		Since: old.Index,
		Wait:  p.wait,
	}
	if p.inForce != nil {
		args.Reader, args.InForce = p.name, p.inForce()
	}
	var reply controller.PullReply
	if err := p.messenger.CallLarge(ctx, s.Addr, p.wait+stallTimeout, stalled, "State.Pull", &args, &reply); err != nil {
		return err
	}
	arrived := timekeeper.Now()
	next, err := applyReply(old, &reply)
	if err != nil {
		if p.log != nil {
			p.log.Error("cannot apply pulled state", "source", s.Name, "err", err)
		}
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if next.Index > p.state.Index {
		p.arrival = Arrival{
			At:         arrived,
			Held:       reply.Held,
			Lag:        reply.Lag,
			Transit:    arrived.Sub(started) - reply.Waited,
			Before:     p.state.Index,
			BeforeAsOf: p.currentAt,
		}
		p.state = next
		p.notifyWaiters()
	}
	// The source sent the answer no earlier than Waited after the call started.
	whole := complete(&reply)
	if asOf := started.Add(reply.Waited - reply.Lag); whole && asOf.After(p.currentAt) {
		p.currentAt = asOf
	}
	if contactAt := started.Add(reply.Waited - reply.ContactAge); reply.Leader != "" && contactAt.After(p.contactAt) {
		p.leader, p.contactAt = reply.Leader, contactAt
	}
	if !inContact(&reply) || reply.Index < old.Index {
		return errors.Errorf("source %s has no contact with the leader, or is behind: contact %s ago, lag %s, index %d", s.Name,
			reply.ContactAge.Round(time.Millisecond), reply.Lag.Round(time.Millisecond), reply.Index)
	}
	if !p.confirmed && whole {
		p.confirmed = true
		p.notifyWaiters()
	}
	return nil
}

// complete reports whether a reply, together with the state before, has everything that its source had. Sources of older versions
// do not tell.
func complete(r *controller.PullReply) bool {
	if r.Newest > 0 {
		return r.Index >= r.Newest
	}
	size := 0
	for _, c := range r.Commands {
		size += len(c)
	}
	return r.Snapshot == nil && size < unlimitedBytes
}

// notifyWaiters closes the channel that Changed returned. The caller holds mu.
func (p *Puller) notifyWaiters() {
	close(p.notify)
	p.notify = make(chan struct{})
}

// applyReply returns the state after reply was applied to old, or old if the source has none that is newer.
func applyReply(old *applier.State, reply *controller.PullReply) (*applier.State, error) {
	if reply.Index <= old.Index {
		return old, nil
	}
	if reply.Snapshot != nil {
		encoded, err := controller.DecompressSnapshot(reply.Snapshot)
		if err != nil {
			return nil, err
		}
		return applier.DecodeSnapshot(encoded)
	}
	batch := applier.NewBatch(old)
	for i, index := range reply.Indexes {
		cmd := applier.Command{}
		if len(reply.Commands[i]) > 0 {
			var err error
			if cmd, err = applier.DecodeCommand(reply.Commands[i]); err != nil {
				return nil, err
			}
		}
		// Applying a command that the state already includes changes nothing.
		_ = batch.Apply(index, cmd)
	}
	return batch.State(), nil
}
