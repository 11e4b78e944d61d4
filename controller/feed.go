package controller

import (
	"context"
	"sort"
	"sync"
	"time"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/timekeeper"
)

const (
	// maxFeedCommands and maxFeedBytes bound the recent commands that hosts without a log can pull; a host that is
	// further behind gets a snapshot.
	maxFeedCommands = 8192
	maxFeedBytes    = 16 << 20
	// deltaBytes is the total size of commands above which a snapshot is sent instead if it is smaller. Each host has
	// to catch up within the 2 s after which a table is in force, and 64 KB take 0.26 s on a link of 2 Mbit/s.
	deltaBytes = 64 << 10
)

type appliedCommand struct {
	index uint64
	data  []byte
	// at is when this host applied the command.
	at time.Time
}

// feed is a change feed: it publishes the newest state and the recent commands that led to it. It is safe for
// concurrent use.
type feed struct {
	mu    sync.Mutex
	state *applier.State
	// baseIndex is the log index after which commands holds every command, and baseAt a time by which this host had applied the log
	// up to there; totalBytes is the size of commands.
	baseIndex  uint64
	baseAt     time.Time
	commands   []appliedCommand
	totalBytes int
	// takeouts maps each data centre that is out of service to a log index by which it was. An order that is repeated is a new command,
	// and changes nothing here.
	takeouts map[string]uint64
	// notify is closed and replaced when a state is published.
	notify chan struct{}
	// cached is the compressed snapshot last made for a host that was far behind, at log index cachedIndex. Other hosts
	// get it too as long as few commands follow it and the feed holds all of them.
	cached      []byte
	cachedIndex uint64
	// encodeMu is held while a snapshot is made, so that many hosts that start at once wait for the same one.
	encodeMu sync.Mutex
}

func newFeed(state *applier.State) *feed {
	return &feed{
		state:     state,
		takeouts:  updateTakeouts(nil, &applier.State{}, state),
		baseIndex: state.Index,
		baseAt:    timekeeper.Now(),
		notify:    make(chan struct{}),
	}
}

func (f *feed) current() *applier.State {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.state
}

func (f *feed) changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.notify
}

// publish sets the state, adds the commands that led to it, and wakes up all callers of wait.
func (f *feed) publish(state *applier.State, commands []appliedCommand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.takeouts = updateTakeouts(f.takeouts, f.state, state)
	f.state = state
	for _, c := range commands {
		f.commands = append(f.commands, c)
		f.totalBytes += len(c.data)
	}
	dropped := 0
	for dropped < len(f.commands) && (len(f.commands)-dropped > maxFeedCommands || f.totalBytes > maxFeedBytes) {
		f.totalBytes -= len(f.commands[dropped].data)
		f.baseIndex, f.baseAt = f.commands[dropped].index, f.commands[dropped].at
		dropped++
	}
	if dropped > 0 {
		clear(f.commands[:dropped])
		f.commands = f.commands[dropped:]
	}
	close(f.notify)
	f.notify = make(chan struct{})
}

// updateTakeouts returns the takeouts at next, a state that follows old.
func updateTakeouts(takeouts map[string]uint64, old, next *applier.State) map[string]uint64 {
	var updated map[string]uint64
	for name, dc := range next.DataCentres {
		if !dc.Out {
			continue
		}
		before := old.DataCentres[name]
		index, ok := takeouts[name]
		// Between two states, a data centre may have been restored and taken out again.
		if !ok || !before.Out || !before.Changed.At.Equal(dc.Changed.At) {
			index = next.Index
		}
		if updated == nil {
			updated = make(map[string]uint64)
		}
		updated[name] = index
	}
	return updated
}

// takeoutIndex returns a log index by which a data centre was out of service, zero if it is in service.
func (f *feed) takeoutIndex(dataCentre string) uint64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.takeouts[dataCentre]
}

// reset sets a state to which the commands of the feed do not lead, and drops them.
func (f *feed) reset(state *applier.State) {
	f.mu.Lock()
	f.commands, f.totalBytes, f.baseIndex, f.baseAt = nil, 0, state.Index, timekeeper.Now()
	f.mu.Unlock()
	f.publish(state, nil)
}

// wait blocks until the state is newer than index or ctx ends.
func (f *feed) wait(ctx context.Context, index uint64) {
	for {
		f.mu.Lock()
		newer, notify := f.state.Index > index, f.notify
		f.mu.Unlock()
		if newer {
			return
		}
		select {
		case <-notify:
		case <-ctx.Done():
			return
		}
	}
}

// since returns the commands after index, and the index of the state to which they lead. They are cut off at a total of
// maxBytes, but the first one is always returned. ok is false if the feed no longer holds all of them, or if a snapshot
// is smaller.
func (f *feed) since(index uint64, maxBytes int) (commands []appliedCommand, to uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index < f.baseIndex {
		return nil, 0, false
	}
	to = f.state.Index
	first := f.firstAfter(index)
	if size := f.sizeFrom(first); size > deltaBytes && size > len(f.cached) {
		return nil, 0, false
	}
	size := 0
	for _, c := range f.commands[first:] {
		if size += len(c.data); size > maxBytes && len(commands) > 0 {
			return commands, commands[len(commands)-1].index, true
		}
		commands = append(commands, c)
	}
	return commands, to, true
}

// appliedAt returns a time by which this host had applied the command at index, or the present time if it is yet to come. For a
// command that came with a snapshot, that is the time of the snapshot: when the command was committed is not known.
func (f *feed) appliedAt(index uint64) time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := sort.Search(len(f.commands), func(i int) bool { return f.commands[i].index >= index })
	switch {
	case index > f.state.Index:
		return timekeeper.Now()
	case index <= f.baseIndex || i == len(f.commands):
		return f.baseAt
	}
	return f.commands[i].at
}

// firstAfter returns the position in commands of the first command after index. The caller holds mu.
func (f *feed) firstAfter(index uint64) int {
	return sort.Search(len(f.commands), func(i int) bool { return f.commands[i].index > index })
}

// sizeFrom returns the total size of the commands from position first on. The caller holds mu.
func (f *feed) sizeFrom(first int) int {
	size := 0
	for _, c := range f.commands[first:] {
		size += len(c.data)
	}
	return size
}

// snapshot returns a compressed snapshot and its log index. The commands from there to the newest state are few, and
// the feed holds all of them.
func (f *feed) snapshot() ([]byte, uint64, error) {
	f.encodeMu.Lock()
	defer f.encodeMu.Unlock()
	f.mu.Lock()
	state := f.state
	if f.cached != nil && f.cachedIndex >= f.baseIndex && f.sizeFrom(f.firstAfter(f.cachedIndex)) <= deltaBytes/2 {
		defer f.mu.Unlock()
		return f.cached, f.cachedIndex, nil
	}
	f.mu.Unlock()
	encoded, err := applier.EncodeSnapshot(state)
	if err != nil {
		return nil, 0, err
	}
	compressed, err := CompressSnapshot(encoded)
	if err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cached, f.cachedIndex = compressed, state.Index
	return compressed, state.Index, nil
}
