// Package follower keeps the replicated state on a host without a log.
package follower

import (
	"cmp"
	"context"
	"expvar"
	"maps"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/charmbracelet/log"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/controller"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// pullWait is how long a source holds an answer back when nothing is new, and so the interval at which contact with
	// the leader is confirmed.
	pullWait = 100 * time.Millisecond
	// pullTimeout is how long beyond that nothing may arrive. A snapshot may take longer in all: one of 300 KB takes a
	// second on a link of 2.4 Mbit/s.
	pullTimeout = 500 * time.Millisecond
	// largeTimeout bounds one call in all.
	largeTimeout = 20 * time.Second
	// retryWait keeps a host from calling unreachable sources in a tight loop.
	retryWait = 50 * time.Millisecond
	// staleContact is the age of a source's contact with the leader from which another source is tried.
	staleContact = time.Second
	// avoidTime is how long a source that stopped answering is not preferred for being near.
	avoidTime = 3 * time.Second
	// hostPace is how much longer each host of the deployment makes the least time between two pulls that bring news, and
	// maxPace bounds that time: news has to be in force everywhere within 2 s.
	hostPace = 350 * time.Microsecond
	maxPace  = 100 * time.Millisecond
)

var counters = expvar.NewMap("follower")

// Source is a host that serves State.Pull.
type Source struct {
	Name string
	Addr netip.AddrPort
}

// Follower pulls the state from the first source that answers. Make it with New.
type Follower struct {
	messenger *messenger.Messenger
	sources   []Source
	log       *log.Logger
	// name spreads hosts over the sources of their data centre.
	name string
	// dataCentre is where control hosts are preferred, empty for no preference; wait is how long a source may hold an
	// answer back.
	dataCentre string
	wait       time.Duration

	mu      sync.Mutex
	state   *applier.State
	notify  chan struct{}
	leader  string
	contact time.Time
	// confirmed says that the state was once known to be the newest.
	confirmed bool

	// source is where the state comes from, guarded by mu; avoid is the source that was lost last.
	source     netip.AddrPort
	avoid      netip.AddrPort
	avoidUntil time.Time

	ctx       context.Context
	cancel    context.CancelFunc
	startOnce sync.Once
	done      chan struct{}
}

// Option is a setting of a Follower.
type Option func(*Follower)

// WithDataCentre prefers control hosts of a data centre as sources.
func WithDataCentre(name string) Option {
	return func(f *Follower) { f.dataCentre = name }
}

// WithName names this host. Hosts with different names prefer different sources of the same data centre.
func WithName(name string) Option {
	return func(f *Follower) { f.name = name }
}

// WithWait sets how long a source may hold an answer back while nothing is new; the default is 100 ms.
func WithWait(d time.Duration) Option {
	return func(f *Follower) { f.wait = d }
}

// New returns a follower that pulls from sources, the nearest first. l may be nil.
func New(m *messenger.Messenger, sources []Source, l *log.Logger, options ...Option) *Follower {
	f := Follower{
		messenger: m,
		sources:   sources,
		log:       l,
		wait:      pullWait,
		state:     &applier.State{},
		notify:    make(chan struct{}),
		done:      make(chan struct{}),
	}
	for _, o := range options {
		o(&f)
	}
	f.ctx, f.cancel = context.WithCancel(context.Background())
	return &f
}

// Start starts to pull.
func (f *Follower) Start() {
	f.startOnce.Do(func() { go f.run() })
}

// Configure replaces the configured sources, after the settings have changed.
func (f *Follower) Configure(sources []Source) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.sources = sources
}

// State returns the newest state, which is immutable. It is empty until the first answer.
func (f *Follower) State() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

// Changed returns a channel that is closed when a newer state than the present one is there. A caller that must not
// miss a change gets the channel before it reads State.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notify
}

// Contact returns the control leader and how long ago it is known that the leader had contact with a majority and with
// the source of this host. The name is empty before the first answer.
func (f *Follower) Contact() (leader string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, timekeeper.Since(f.contact)
}

// Confirmed reports whether the state has been the newest at some time since the start. A state from before may be one
// that a source had not caught up with yet.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Source returns the address from which the state comes. It is not valid while none answers.
func (f *Follower) Source() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// swapSource sets the source and returns the one before.
func (f *Follower) swapSource(addr netip.AddrPort) (old netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, f.source = f.source, addr
	return old
}

// Done is closed when the follower has stopped.
func (f *Follower) Done() <-chan struct{} {
	return f.done
}

// Close stops the follower.
func (f *Follower) Close() error {
	f.cancel()
	f.startOnce.Do(func() { close(f.done) })
	<-f.done
	return nil
}

func (f *Follower) run() {
	defer close(f.done)
	for f.ctx.Err() == nil {
		for _, s := range f.candidates() {
			for f.ctx.Err() == nil {
				asked, before := timekeeper.Now(), f.State().Index
				if err := f.pull(s); err != nil {
					counters.Add("failedPulls", 1)
					f.lost(s, err)
					break
				}
				f.regained(s)
				if f.nearer(s) {
					break
				}
				if f.State().Index > before {
					f.rest(asked)
				}
			}
		}
		select {
		case <-time.After(retryWait):
		case <-f.ctx.Done():
		}
	}
}

// lost logs that the source in use no longer answers.
func (f *Follower) lost(s Source, err error) {
	if f.Source() != s.Addr {
		return
	}
	if f.log != nil {
		f.log.Warn("lost the source of state", "source", s.Addr, "index", f.State().Index, "err", err)
	}
	f.swapSource(netip.AddrPort{})
	f.avoid, f.avoidUntil = s.Addr, timekeeper.Now().Add(avoidTime)
}

func (f *Follower) regained(s Source) {
	if f.swapSource(s.Addr) != s.Addr && f.log != nil {
		f.log.Info("state comes from", "source", s.Addr, "index", f.State().Index)
	}
}

// rest waits after a pull that began at asked and brought news. Where there are many hosts, news comes all the time, and
// a source that has to answer each of them for each piece of news has no time for anything else.
func (f *Follower) rest(asked time.Time) {
	pace := min(maxPace, time.Duration(len(f.State().Hosts))*hostPace)
	select {
	case <-time.After(pace - timekeeper.Since(asked)):
	case <-f.ctx.Done():
	}
}

// nearer reports whether there is a source in the preferred data centre and s is not one.
func (f *Follower) nearer(s Source) bool {
	near := f.near()
	return len(near) > 0 && !slices.ContainsFunc(near, func(n Source) bool { return n.Addr == s.Addr })
}

// near returns the control hosts in the preferred data centre, without one that failed lately.
func (f *Follower) near() []Source {
	st := f.State()
	var sources []Source
	for _, name := range st.Members() {
		h := st.Hosts[name]
		failed := h.RPC == f.avoid && timekeeper.Now().Before(f.avoidUntil)
		if f.dataCentre != "" && h.DataCentre == f.dataCentre && h.RPC.IsValid() && !failed {
			sources = append(sources, Source{
				Name: name,
				Addr: h.RPC,
			})
		}
	}
	slices.SortStableFunc(sources, func(a, b Source) int { return cmp.Compare(f.distance(a), f.distance(b)) })
	return sources
}

// distance orders the sources of the data centre differently for each host.
func (f *Follower) distance(s Source) uint64 {
	if f.name == "" {
		return 0
	}
	return xxhash.Sum64String(f.name + s.Name)
}

// candidates returns the control hosts of the preferred data centre, the configured sources, and then the control hosts
// of the state that are not among them: after replacements none of the configured ones may be left.
func (f *Follower) candidates() []Source {
	f.mu.Lock()
	configured := f.sources
	f.mu.Unlock()
	sources := append(f.near(), configured...)
	hosts := f.State().Hosts
	for _, name := range slices.Sorted(maps.Keys(hosts)) {
		h := hosts[name]
		known := slices.ContainsFunc(configured, func(s Source) bool { return s.Name == name && s.Addr == h.RPC })
		if h.Control && h.RPC.IsValid() && !known {
			sources = append(sources, Source{
				Name: name,
				Addr: h.RPC,
			})
		}
	}
	return sources
}

// pull makes one call. Its error says that another source should be tried.
func (f *Follower) pull(s Source) error {
	old := f.State()
	ctx, cancel := context.WithTimeout(f.ctx, largeTimeout)
	defer cancel()
	asked := timekeeper.Now()
	var reply controller.PullReply
	if err := f.messenger.CallLarge(ctx, s.Addr, f.wait+pullTimeout, "State.Pull", &controller.PullArgs{
		Since: old.Index,
		Wait:  f.wait,
	}, &reply); err != nil {
		return err
	}
	next, err := advance(old, &reply)
	if err != nil {
		if f.log != nil {
			f.log.Error("cannot apply pulled state", "source", s.Name, "err", err)
		}
		return err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if next.Index > f.state.Index {
		f.state = next
		f.announce()
	}
	// The answer left the source at Waited after the question at the earliest.
	if at := asked.Add(reply.Waited - reply.ContactAge); reply.Leader != "" && at.After(f.contact) {
		f.leader, f.contact = reply.Leader, at
	}
	if reply.Leader == "" || reply.ContactAge > staleContact || reply.Lag > staleContact || reply.Index < old.Index {
		return errors.Errorf("source %s has no contact with the leader, or is behind: contact %s ago, lag %s, index %d", s.Name,
			reply.ContactAge.Round(time.Millisecond), reply.Lag.Round(time.Millisecond), reply.Index)
	}
	if !f.confirmed {
		f.confirmed = true
		f.announce()
	}
	return nil
}

// announce wakes up whoever waits for news. The caller holds the lock.
func (f *Follower) announce() {
	close(f.notify)
	f.notify = make(chan struct{})
}

// advance returns the state that the answer leads to, or old if the source has nothing newer.
func advance(old *applier.State, reply *controller.PullReply) (*applier.State, error) {
	if reply.Index <= old.Index {
		return old, nil
	}
	if reply.Snapshot != nil {
		encoded, err := controller.Decompress(reply.Snapshot)
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
		// A command that the state has already changes nothing.
		_ = batch.Apply(index, cmd)
	}
	return batch.State(), nil
}
