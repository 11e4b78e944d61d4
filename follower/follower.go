// Package follower is a read replica of the control group's state, for a host without a log: it pulls the state from
// control hosts by long polling. The state never goes back to an older log index, and Contact returns the time since
// the last known contact with the control leader.
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
	// pullWait is how long a source holds an answer back while it has no newer state, and so the interval at which
	// contact with the leader is confirmed.
	pullWait = 100 * time.Millisecond
	// stallTimeout is how long, beyond the wait at the source, nothing may arrive before a call fails. A snapshot may
	// take longer as a whole: one of 300 KB takes a second on a link of 2.4 Mbit/s.
	stallTimeout = 500 * time.Millisecond
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

// Source is a control host that serves State.Pull.
type Source struct {
	Name string
	Addr netip.AddrPort
}

// Follower pulls the state from the first source that answers. Make it with New.
type Follower struct {
	messenger *messenger.Messenger
	sources   []Source
	log       *log.Logger
	// name is the name of this host. Hosts with different names prefer different sources of their data centre.
	name string
	// dataCentre is the data centre whose control hosts are preferred, empty for no preference. wait is how long a
	// source may hold an answer back.
	dataCentre string
	wait       time.Duration

	mu    sync.Mutex
	state *applier.State
	// notify is closed and replaced when the state or confirmed changes.
	notify chan struct{}
	leader string
	// contactAt is when the leader was last known to be in contact with a majority and with the source of this host.
	contactAt time.Time
	// confirmed is what Confirmed returns.
	confirmed bool

	// source is the address of the source in use, guarded by mu. avoided is the source that failed last while in use;
	// it is not preferred until avoidedUntil.
	source       netip.AddrPort
	avoided      netip.AddrPort
	avoidedUntil time.Time

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

// WithWait sets how long a source may hold an answer back while it has no newer state; the default is 100 ms.
func WithWait(d time.Duration) Option {
	return func(f *Follower) { f.wait = d }
}

// New returns a follower that pulls from sources, and before them from the control hosts of the preferred data centre.
// If l is nil, nothing is logged.
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

// Start starts pulling.
func (f *Follower) Start() {
	f.startOnce.Do(func() { go f.run() })
}

// Configure replaces the sources that were passed to New, after the settings have changed.
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

// Changed returns a channel that is closed when a newer state than the present one arrives or Confirmed becomes true. A
// caller that must not miss a change gets the channel before it reads State.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notify
}

// Contact returns the name of the control leader and the time since the leader was last known to be in contact with a
// majority and with the source of this host. The name is empty before the first answer.
func (f *Follower) Contact() (leader string, age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.leader, timekeeper.Since(f.contactAt)
}

// Confirmed reports whether the state has been the newest, or at most maxSourceAge old, at some time since the start.
// Before that, it may come from a source that has not caught up yet.
func (f *Follower) Confirmed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.confirmed
}

// Source returns the address of the source in use. It is not valid while no source answers.
func (f *Follower) Source() netip.AddrPort {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.source
}

// swapSource sets the source in use and returns the previous one.
func (f *Follower) swapSource(addr netip.AddrPort) (old netip.AddrPort) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old, f.source = f.source, addr
	return old
}

// Done returns a channel that is closed when the follower has stopped.
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

// run tries the candidates in order, and pulls from one until it fails or a nearer one is known.
func (f *Follower) run() {
	defer close(f.done)
	for f.ctx.Err() == nil {
		for _, s := range f.candidates() {
			for f.ctx.Err() == nil {
				started, before := timekeeper.Now(), f.State().Index
				if err := f.pull(s); err != nil {
					counters.Add("failedPulls", 1)
					f.sourceFailed(s, err)
					break
				}
				f.sourceAnswered(s)
				if f.hasNearer(s) {
					break
				}
				if f.State().Index > before {
					f.throttle(started)
				}
			}
		}
		select {
		case <-time.After(retryDelay):
		case <-f.ctx.Done():
		}
	}
}

// sourceFailed logs that the source in use failed and avoids it for avoidDuration. It does nothing for another source.
func (f *Follower) sourceFailed(s Source, err error) {
	if f.Source() != s.Addr {
		return
	}
	if f.log != nil {
		f.log.Warn("lost the source of state", "source", s.Addr, "index", f.State().Index, "err", err)
	}
	f.swapSource(netip.AddrPort{})
	f.avoided, f.avoidedUntil = s.Addr, timekeeper.Now().Add(avoidDuration)
}

// sourceAnswered makes s the source in use and logs a change.
func (f *Follower) sourceAnswered(s Source) {
	if f.swapSource(s.Addr) != s.Addr && f.log != nil {
		f.log.Info("state comes from", "source", s.Addr, "index", f.State().Index)
	}
}

// throttle delays the next pull after one that began at started and returned a newer state. In a deployment with many
// hosts the state changes all the time, and a source that answers each host for each change has no time for anything
// else.
func (f *Follower) throttle(started time.Time) {
	interval := min(maxPullInterval, time.Duration(len(f.State().Hosts))*pullIntervalPerHost)
	select {
	case <-time.After(interval - timekeeper.Since(started)):
	case <-f.ctx.Done():
	}
}

// hasNearer reports whether there are sources in the preferred data centre and s is not one of them.
func (f *Follower) hasNearer(s Source) bool {
	near := f.nearSources()
	return len(near) > 0 && !slices.ContainsFunc(near, func(n Source) bool { return n.Addr == s.Addr })
}

// nearSources returns the control hosts in the preferred data centre in the order of rank, without one that failed
// lately.
func (f *Follower) nearSources() []Source {
	st := f.State()
	var sources []Source
	for _, name := range st.Members() {
		h := st.Hosts[name]
		failed := h.RPC == f.avoided && timekeeper.Now().Before(f.avoidedUntil)
		if f.dataCentre != "" && h.DataCentre == f.dataCentre && h.RPC.IsValid() && !failed {
			sources = append(sources, Source{
				Name: name,
				Addr: h.RPC,
			})
		}
	}
	slices.SortStableFunc(sources, func(a, b Source) int { return cmp.Compare(f.rank(a), f.rank(b)) })
	return sources
}

// rank returns a hash by which each host orders the sources of its data centre differently. Without a name all sources
// are equal.
func (f *Follower) rank(s Source) uint64 {
	if f.name == "" {
		return 0
	}
	return xxhash.Sum64String(f.name + s.Name)
}

// candidates returns the control hosts of the preferred data centre, then the configured sources, and then the control
// hosts in the state that are not configured: after replacements none of the configured sources may be left.
func (f *Follower) candidates() []Source {
	f.mu.Lock()
	configured := f.sources
	f.mu.Unlock()
	sources := append(f.nearSources(), configured...)
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

// pull makes one call to s and applies the answer. After an error another source should be tried; the state may be
// newer even then.
func (f *Follower) pull(s Source) error {
	old := f.State()
	ctx, cancel := context.WithTimeout(f.ctx, callTimeout)
	defer cancel()
	started := timekeeper.Now()
	var reply controller.PullReply
	if err := f.messenger.CallLarge(ctx, s.Addr, f.wait+stallTimeout, "State.Pull", &controller.PullArgs{
		Since: old.Index,
		Wait:  f.wait,
	}, &reply); err != nil {
		return err
	}
	next, err := applyReply(old, &reply)
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
		f.notifyWaiters()
	}
	// The source sent the answer no earlier than Waited after the call started.
	if contactAt := started.Add(reply.Waited - reply.ContactAge); reply.Leader != "" && contactAt.After(f.contactAt) {
		f.leader, f.contactAt = reply.Leader, contactAt
	}
	if reply.Leader == "" || reply.ContactAge > maxSourceAge || reply.Lag > maxSourceAge || reply.Index < old.Index {
		return errors.Errorf("source %s has no contact with the leader, or is behind: contact %s ago, lag %s, index %d", s.Name,
			reply.ContactAge.Round(time.Millisecond), reply.Lag.Round(time.Millisecond), reply.Index)
	}
	if !f.confirmed {
		f.confirmed = true
		f.notifyWaiters()
	}
	return nil
}

// notifyWaiters closes the channel that Changed returned. The caller holds mu.
func (f *Follower) notifyWaiters() {
	close(f.notify)
	f.notify = make(chan struct{})
}

// applyReply returns the state after reply was applied to old, or old if the source has none that is newer.
func applyReply(old *applier.State, reply *controller.PullReply) (*applier.State, error) {
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
		// Applying a command that the state already includes changes nothing.
		_ = batch.Apply(index, cmd)
	}
	return batch.State(), nil
}
