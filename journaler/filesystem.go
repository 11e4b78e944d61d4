package journaler

import (
	"io"
	"os"
	"path/filepath"
	"slices"
	"syscall"

	"github.com/pkg/errors"
)

// FileSystem is the set of file operations that a Journaler needs, within one folder. File names have no path.
type FileSystem interface {
	// Create creates an empty file, or truncates an existing one.
	Create(name string) (File, error)
	ReadFile(name string) ([]byte, error)
	Rename(oldName, newName string) error
	Remove(name string) error
	// List returns the names of the files in ascending order.
	List() ([]string, error)
	// SyncFile makes the content of a file durable, also what an earlier process wrote and did not sync.
	SyncFile(name string) error
	// SyncFolder makes earlier creations, renames and removals of files durable.
	SyncFolder() error
}

// File is a file open for appending. Its content is durable once Sync returned without error.
type File interface {
	io.WriteCloser
	Sync() error
}

// Disk is the FileSystem of one folder on disk.
type Disk struct {
	// Folder is the path of the folder. List and Lock create it if it does not exist.
	Folder string
}

// Create creates an empty file, or truncates an existing one.
func (d Disk) Create(name string) (File, error) {
	return os.OpenFile(filepath.Join(d.Folder, name), os.O_CREATE|os.O_TRUNC|os.O_WRONLY|os.O_APPEND, 0o600)
}

// ReadFile returns the content of a file.
func (d Disk) ReadFile(name string) ([]byte, error) {
	return os.ReadFile(filepath.Join(d.Folder, name))
}

// Rename renames oldName to newName and replaces an existing newName.
func (d Disk) Rename(oldName, newName string) error {
	return os.Rename(filepath.Join(d.Folder, oldName), filepath.Join(d.Folder, newName))
}

// Remove deletes a file.
func (d Disk) Remove(name string) error {
	return os.Remove(filepath.Join(d.Folder, name))
}

// List returns the names of the files in ascending order.
func (d Disk) List() ([]string, error) {
	if err := os.MkdirAll(d.Folder, 0o700); err != nil {
		return nil, err
	}
	entries, err := os.ReadDir(d.Folder)
	if err != nil {
		return nil, err
	}
	var names []string
	for _, e := range entries {
		if e.Type().IsRegular() {
			names = append(names, e.Name())
		}
	}
	slices.Sort(names)
	return names, nil
}

// SyncFile syncs a file, whichever process wrote it.
func (d Disk) SyncFile(name string) error {
	f, err := os.OpenFile(filepath.Join(d.Folder, name), os.O_WRONLY, 0)
	if err != nil {
		return err
	}
	return firstError(f.Sync(), f.Close())
}

// SyncFolder syncs the folder itself, which makes creations, renames and removals of files durable.
func (d Disk) SyncFolder() error {
	f, err := os.Open(d.Folder)
	if err != nil {
		return err
	}
	return firstError(f.Sync(), f.Close())
}

// Lock takes an exclusive lock on the folder, which lasts until the result is closed or the process ends. It returns
// ErrInUse if another process holds the lock. Two processes that write one log would destroy it: a paused process may
// resume after a new one was started.
func (d Disk) Lock() (io.Closer, error) {
	if err := os.MkdirAll(d.Folder, 0o700); err != nil {
		return nil, errors.WithStack(err)
	}
	f, err := os.OpenFile(filepath.Join(d.Folder, "lock"), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, errors.WithStack(err)
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		return nil, firstError(errors.Wrapf(ErrInUse, "%s: %v", d.Folder, err), f.Close())
	}
	return f, nil
}

// firstError returns the first error that is not nil.
func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}
