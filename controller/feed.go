package controller

import (
	"context"
	"sort"
	"sync"

	"bramleyline.example/bramleyline/applier"
)

const (
	// feedCommands and feedBytes bound the recent commands that hosts without a log can pull; a host that is further
	// behind gets a snapshot.
	feedCommands = 8192
	feedBytes    = 16 << 20
	// deltaBytes is the size of commands from which a snapshot is sent in their place if it is smaller. Each host has to
	// catch up within the 2 s after which a table is in force, and 64 KB take 0.26 s on a link of 2 Mbit/s.
	deltaBytes = 64 << 10
)

type appliedCommand struct {
	index uint64
	data  []byte
}

// feed publishes the state and the recent commands. It is safe for concurrent use.
type feed struct {
	mu    sync.Mutex
	state *applier.State
	// base is the index after which commands has all commands.
	base     uint64
	commands []appliedCommand
	bytes    int
	notify   chan struct{}
	// encoded is the last snapshot made for a host that was far behind; further ones get it too while the commands after
	// it are there.
	encoded      []byte
	encodedIndex uint64
	// encoding is held while a snapshot is made, so that many hosts that start at once wait for the same one.
	encoding sync.Mutex
}

func newFeed(state *applier.State) *feed {
	return &feed{
		state:  state,
		base:   state.Index,
		notify: make(chan struct{}),
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

func (f *feed) publish(state *applier.State, commands []appliedCommand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.state = state
	for _, c := range commands {
		f.commands = append(f.commands, c)
		f.bytes += len(c.data)
	}
	drop := 0
	for drop < len(f.commands) && (len(f.commands)-drop > feedCommands || f.bytes > feedBytes) {
		f.bytes -= len(f.commands[drop].data)
		f.base = f.commands[drop].index
		drop++
	}
	if drop > 0 {
		clear(f.commands[:drop])
		f.commands = f.commands[drop:]
	}
	close(f.notify)
	f.notify = make(chan struct{})
}

func (f *feed) reset(state *applier.State) {
	f.mu.Lock()
	f.commands, f.bytes, f.base = nil, 0, state.Index
	f.mu.Unlock()
	f.publish(state, nil)
}

// wait returns when the state is newer than index, or when ctx ends.
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

// since returns the commands after index, of at most maxBytes but at least one, and the index that they lead to. It
// returns false if they are no longer there, or if a snapshot is smaller.
func (f *feed) since(index uint64, maxBytes int) (commands []appliedCommand, to uint64, ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if index < f.base {
		return nil, 0, false
	}
	to = f.state.Index
	first := f.first(index)
	if size := f.sizeFrom(first); size > deltaBytes && size > len(f.encoded) {
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

// first returns the place of the first command after index. The caller holds the lock.
func (f *feed) first(index uint64) int {
	return sort.Search(len(f.commands), func(i int) bool { return f.commands[i].index > index })
}

// sizeFrom returns the size of the commands from place first on. The caller holds the lock.
func (f *feed) sizeFrom(first int) int {
	size := 0
	for _, c := range f.commands[first:] {
		size += len(c.data)
	}
	return size
}

// snapshot returns an encoded state from which the few commands to the present state are there.
func (f *feed) snapshot() ([]byte, uint64, error) {
	f.encoding.Lock()
	defer f.encoding.Unlock()
	f.mu.Lock()
	state := f.state
	if f.encoded != nil && f.encodedIndex >= f.base && f.sizeFrom(f.first(f.encodedIndex)) <= deltaBytes/2 {
		defer f.mu.Unlock()
		return f.encoded, f.encodedIndex, nil
	}
	f.mu.Unlock()
	encoded, err := applier.EncodeSnapshot(state)
	if err != nil {
		return nil, 0, err
	}
	b, err := Compress(encoded)
	if err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.encoded, f.encodedIndex = b, state.Index
	return b, state.Index, nil
}
