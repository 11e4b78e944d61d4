// Package diskfaulter is an in-memory file system with fault injection, for tests of code that stores data. Its
// operations fail as those of a failing or full disk do, and a simulated crash loses data that was not synced.
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

// sectorBytes is the unit of atomic writes: after a crash, a sector that was written is durable as a whole or not at
// all.
const sectorBytes = 512

var (
	// ErrCrashed is returned by the operation that crashes, by later ones until Restart, and by files that were opened
	// before Restart.
	ErrCrashed = errors.New("injected crash")
	// ErrSync is returned by a sync whose failure was requested by FailSyncAfter.
	ErrSync = errors.New("injected failure of sync")
)

// Faulter is a journaler.FileSystem whose content is durable only where it was synced. Make it with New.
type Faulter struct {
	// files holds the files by name, durable the files by the names that survive a crash.
	files   map[string]*file
	durable map[string]*file
	// unsyncedNames are the creations, renames and removals since the folder was synced.
	unsyncedNames []nameChange

	// operations is the number of operations so far. Faults begin at the operations with the numbers crashAt,
	// failSyncAt and fullAt, zero for never.
	operations int
	crashAt    int
	failSyncAt int
	fullAt     int
	// generation is the number of restarts.
	generation int
	crashed    bool
}

type file struct {
	content []byte
	// synced is the length of the durable content in bytes, counted from the start of the file.
	synced int
}

// nameChange gives file the name name, unless file is nil, and removes the name removed, if it is not empty.
type nameChange struct {
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

// CrashAfter injects a crash after the next n operations: all operations after them fail until Restart.
func (f *Faulter) CrashAfter(n int) {
	f.crashAt = f.operations + n + 1
}

// FailSyncAfter makes the first sync after the next n operations fail.
func (f *Faulter) FailSyncAfter(n int) {
	f.failSyncAt = f.operations + n + 1
}

// FillAfter makes every write, sync, creation and renaming after the next n operations fail with ENOSPC until Empty.
func (f *Faulter) FillAfter(n int) {
	f.fullAt = f.operations + n + 1
}

// Empty frees space, so that a full disk takes writes again.
func (f *Faulter) Empty() {
	f.fullAt = 0
}

// checkSpace fails while the disk is full.
func (f *Faulter) checkSpace() error {
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

// Kill simulates the end of the process, whether a crash was injected or not: nothing is lost yet, but what was not synced can
// still be lost at the next Restart. Open files fail from now on.
func (f *Faulter) Kill() {
	f.crashAt, f.failSyncAt = 0, 0
	f.crashed = false
	f.generation++
}

// Restart simulates the restart after a crash. It loses a random part of what is not durable: each change of a name
// since the folder was synced, and each sector written since its file was synced, is kept or lost. A lost sector before
// a kept one reads as zeros.
func (f *Faulter) Restart(rng *rand.Rand) {
	for _, c := range f.unsyncedNames {
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
	f.unsyncedNames = nil
	for _, file := range f.durable {
		file.loseUnsynced(rng)
	}
	f.files = maps.Clone(f.durable)
	f.crashAt, f.failSyncAt = 0, 0
	f.crashed = false
	f.generation++
}

// loseUnsynced keeps a random part of the unsynced content and makes it durable.
func (f *file) loseUnsynced(rng *rand.Rand) {
	length := f.synced + rng.IntN(len(f.content)-f.synced+1)
	content := slices.Clone(f.content[:length])
	for start := f.synced; start < length; start = (start/sectorBytes + 1) * sectorBytes {
		if rng.IntN(3) == 0 {
			clear(content[start:min(length, (start/sectorBytes+1)*sectorBytes)])
		}
	}
	f.content, f.synced = content, length
}

// Corrupt inverts all bits of one byte of a file.
func (f *Faulter) Corrupt(name string, offset int) {
	f.files[name].content[offset] ^= 0xff
}

// Truncate shortens a file to size bytes.
func (f *Faulter) Truncate(name string, size int) {
	file := f.files[name]
	file.content = file.content[:size]
	file.synced = min(file.synced, size)
}

// countOperation counts an operation. It fails at and after the injected crash.
func (f *Faulter) countOperation() error {
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

// Create makes an empty file, or replaces an existing one by an empty one.
func (f *Faulter) Create(name string) (journaler.File, error) {
	if err := f.countOperation(); err != nil {
		return nil, err
	}
	if err := f.checkSpace(); err != nil {
		return nil, err
	}
	created := &file{}
	f.files[name] = created
	f.unsyncedNames = append(f.unsyncedNames, nameChange{
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

// Rename renames a file, and replaces an existing file with the new name.
func (f *Faulter) Rename(oldName, newName string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	if err := f.checkSpace(); err != nil {
		return err
	}
	file, ok := f.files[oldName]
	if !ok {
		return errors.Wrap(fs.ErrNotExist, oldName)
	}
	delete(f.files, oldName)
	f.files[newName] = file
	f.unsyncedNames = append(f.unsyncedNames, nameChange{
		name:    newName,
		file:    file,
		removed: oldName,
	})
	return nil
}

// Remove deletes a file.
func (f *Faulter) Remove(name string) error {
	if err := f.countOperation(); err != nil {
		return err
	}
	delete(f.files, name)
	f.unsyncedNames = append(f.unsyncedNames, nameChange{
		removed: name,
	})
	return nil
}

// List returns the names of the files in ascending order.
func (f *Faulter) List() ([]string, error) {
	return slices.Sorted(maps.Keys(f.files)), nil
}

// SyncFile makes the content of a file durable.
func (f *Faulter) SyncFile(name string) error {
	file, ok := f.files[name]
	if !ok {
		return errors.Wrap(fs.ErrNotExist, name)
	}
	if err := f.sync(); err != nil {
		return err
	}
	file.synced = len(file.content)
	return nil
}

// SyncFolder makes created, renamed and removed names durable.
func (f *Faulter) SyncFolder() error {
	if err := f.sync(); err != nil {
		return err
	}
	f.durable = maps.Clone(f.files)
	f.unsyncedNames = nil
	return nil
}

// sync counts a sync, and fails if a fault is due.
func (f *Faulter) sync() error {
	if err := f.countOperation(); err != nil {
		return err
	}
	if err := f.checkSpace(); err != nil {
		return err
	}
	if f.failSyncAt != 0 && f.operations >= f.failSyncAt {
		f.failSyncAt = 0
		return ErrSync
	}
	return nil
}

// handle is an open file. Write and Sync fail after a restart.
type handle struct {
	f          *Faulter
	file       *file
	generation int
}

func (h *handle) Write(b []byte) (int, error) {
	if h.generation != h.f.generation {
		return 0, ErrCrashed
	}
	err := h.f.countOperation()
	if full := h.f.checkSpace(); err == nil && full != nil {
		// Half of the data still fits.
		n := len(b) / 2
		h.file.content = append(h.file.content, b[:n]...)
		return n, full
	}
	// The data of a write that crashes may still reach the disk.
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
