// Package diskfaulter is a file system in memory that fails and loses data like a disk, for tests of what is stored.
package diskfaulter

import (
	"io/fs"
	"maps"
	"math/rand/v2"
	"slices"
	"syscall"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/journaler"
)

// sectorBytes is the part of a write that is durable as a whole or not at all.
const sectorBytes = 512

var (
	// ErrCrashed is returned by every operation after the injected crash.
	ErrCrashed = errors.New("injected crash")
	// ErrSync is returned by a Sync that was told to fail.
	ErrSync = errors.New("injected failure of sync")
)

// Faulter is a journaler.FileSystem whose content is durable only where it was synced. Make it with New.
type Faulter struct {
	files   map[string]*file
	durable map[string]*file
	// changes are the changes of names since the folder was synced.
	changes []change

	operations int
	crashAt    int
	failSyncAt int
	fullAt     int
	generation int
	crashed    bool
}

type file struct {
	content []byte
	// synced is the durable content, a part of content from its start.
	synced int
}

type change struct {
	name    string
	file    *file
	removed string
}

// New returns an empty file system.
func New() *Faulter {
	return &Faulter{
		files:   make(map[string]*file),
		durable: make(map[string]*file),
	}
}

// CrashAfter makes the operation after the next n fail and every later one too, until Restart.
func (f *Faulter) CrashAfter(n int) {
	f.crashAt = f.operations + n + 1
}

// FailSyncAfter makes the sync fail that comes first after the next n operations.
func (f *Faulter) FailSyncAfter(n int) {
	f.failSyncAt = f.operations + n + 1
}

// FillAfter makes every write, sync, creation and renaming after the next n operations fail for lack of room, until Empty.
func (f *Faulter) FillAfter(n int) {
	f.fullAt = f.operations + n + 1
}

// Empty makes room again.
func (f *Faulter) Empty() {
	f.fullAt = 0
}

func (f *Faulter) full() error {
	if f.fullAt != 0 && f.operations >= f.fullAt {
		return syscall.ENOSPC
	}
	return nil
}

// Operations returns the number of operations so far.
func (f *Faulter) Operations() int {
	return f.operations
}

// Crashed reports whether the injected crash has happened.
func (f *Faulter) Crashed() bool {
	return f.crashed
}

// Restart loses what was not durable: each change of a name since the folder was synced, and each sector written since
// its file was synced, is kept or lost at random. A lost sector before a kept one reads as zeros.
func (f *Faulter) Restart(rng *rand.Rand) {
	for _, c := range f.changes {
		if rng.IntN(2) == 0 {
			continue
		}
		if c.removed != "" {
			delete(f.durable, c.removed)
		}
		if c.file != nil {
			f.durable[c.name] = c.file
		}
	}
	f.changes = nil
	for _, file := range f.durable {
		file.lose(rng)
	}
	f.files = maps.Clone(f.durable)
	f.crashAt, f.failSyncAt = 0, 0
	f.crashed = false
	f.generation++
}

func (f *file) lose(rng *rand.Rand) {
	length := f.synced + rng.IntN(len(f.content)-f.synced+1)
	content := slices.Clone(f.content[:length])
	for start := f.synced; start < length; start = (start/sectorBytes + 1) * sectorBytes {
		if rng.IntN(3) == 0 {
			clear(content[start:min(length, (start/sectorBytes+1)*sectorBytes)])
		}
	}
	f.content, f.synced = content, length
}

// Corrupt inverts one byte of a file.
func (f *Faulter) Corrupt(name string, offset int) {
	f.files[name].content[offset] ^= 0xff
}

// Truncate cuts a file to size bytes.
func (f *Faulter) Truncate(name string, size int) {
	file := f.files[name]
	file.content = file.content[:size]
	file.synced = min(file.synced, size)
}

func (f *Faulter) operate() error {
	if f.crashed {
		return ErrCrashed
	}
	f.operations++
	if f.operations == f.crashAt {
		f.crashed = true
		return ErrCrashed
	}
	return nil
}

// Create makes an empty file.
func (f *Faulter) Create(name string) (journaler.File, error) {
	if err := f.operate(); err != nil {
		return nil, err
	}
	if err := f.full(); err != nil {
		return nil, err
	}
	created := &file{}
	f.files[name] = created
	f.changes = append(f.changes, change{
		name: name,
		file: created,
	})
	return &handle{
		f:          f,
		file:       created,
		generation: f.generation,
	}, nil
}

// ReadFile returns the content of a file.
func (f *Faulter) ReadFile(name string) ([]byte, error) {
	file, ok := f.files[name]
	if !ok {
		return nil, errors.Wrap(fs.ErrNotExist, name)
	}
	return slices.Clone(file.content), nil
}

// Rename replaces newName by oldName.
func (f *Faulter) Rename(oldName, newName string) error {
	if err := f.operate(); err != nil {
		return err
	}
	if err := f.full(); err != nil {
		return err
	}
	file, ok := f.files[oldName]
	if !ok {
		return errors.Wrap(fs.ErrNotExist, oldName)
	}
	delete(f.files, oldName)
	f.files[newName] = file
	f.changes = append(f.changes, change{
		name:    newName,
		file:    file,
		removed: oldName,
	})
	return nil
}

// Remove deletes a file.
func (f *Faulter) Remove(name string) error {
	if err := f.operate(); err != nil {
		return err
	}
	delete(f.files, name)
	f.changes = append(f.changes, change{
		removed: name,
	})
	return nil
}

// List returns the names of the files in ascending order.
func (f *Faulter) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncFolder makes changes of names durable.
func (f *Faulter) SyncFolder() error {
	if err := f.sync(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	f.changes = nil
	return nil
}

func (f *Faulter) sync() error {
	if err := f.operate(); err != nil {
		return err
	}
	if err := f.full(); err != nil {
		return err
	}
	if f.failSyncAt != 0 && f.operations >= f.failSyncAt {
		f.failSyncAt = 0
		return ErrSync
	}
	return nil
}

// handle is an open file. It is of no use after a restart.
type handle struct {
	f          *Faulter
	file       *file
	generation int
}

func (h *handle) Write(b []byte) (int, error) {
	if h.generation != h.f.generation {
		return 0, ErrCrashed
	}
	err := h.f.operate()
	if full := h.f.full(); err == nil && full != nil {
		// A part of the data still finds room.
		n := len(b) / 2
		h.file.content = append(h.file.content, b[:n]...)
		return n, full
	}
	// What was written before a crash may reach the disk.
	h.file.content = append(h.file.content, b...)
	if err != nil {
		return 0, err
	}
	return len(b), nil
}

func (h *handle) Sync() error {
	if h.generation != h.f.generation {
		return ErrCrashed
	}
	if err := h.f.sync(); err != nil {
		return err
	}
	h.file.synced = len(h.file.content)
	return nil
}

func (h *handle) Close() error {
	return nil
}
