package journaler

import (
	"fmt"
	"syscall"

	"github.com/pkg/errors"
)

// segmentBytes is the size of a segment from which on Append starts a new one. Only tests change it.
var segmentBytes uint64 = 8 << 20

const (
	// probeName is the file that probe writes to find out whether the disk accepts writes; Open removes a leftover one.
	// Its size is probeBytes, about that of a batch of entries.
	probeName  = "probe" + temporarySuffix
	probeBytes = 16 << 10
)

var (
	// ErrCorrupt reports a record, snapshot or hard state that was durable and is now damaged.
	ErrCorrupt = errors.New("corrupt file")
	// ErrInUse reports a data folder that another process has locked.
	ErrInUse = errors.New("data folder is in use")
	// ErrFailed reports a journal on which an earlier write or sync failed, or which is closed. It is unknown whether the
	// data of the failed operation is durable, so the journal accepts no more writes; the voter must be replaced or, after
	// a check of the disk, restarted.
	ErrFailed = errors.New("journal failed")
	// ErrFull reports a journal that failed because the disk is out of space. Reopen continues it.
	ErrFull = errors.New("disk is full")
)

// Journaler is the write-ahead log of one voter in one folder. It is not safe for concurrent use. Make it with Open.
type Journaler struct {
	fs FileSystem
	// openSegment is the segment to which Append writes; nil if the next Append has to start one.
	openSegment File
	// syncedBytes is the length of the synced part of the segment to which Append wrote last.
	syncedBytes uint64
	// segments are the file names of all segments, the oldest first.
	segments []string
	// lastIndex is the index of the last entry, snapshotIndex that of the newest snapshot.
	lastIndex     uint64
	snapshotIndex uint64
	// failure is the error of every later write, nil while the journal works.
	failure error
	// unsyncedTail reports whether the last segment may end with bytes beyond syncedBytes that were never synced.
	unsyncedTail bool
}

// Recovered is the durable content that Open read.
type Recovered struct {
	HardState HardState
	// Snapshot is the newest snapshot; nil if none was ever written.
	Snapshot *Snapshot
	// Entries are the entries after the snapshot, without a gap.
	Entries []Entry
	// TornBytes is the length of an incomplete last write that Open cut off, zero if there was none.
	TornBytes int
}

// Append writes entries and syncs them. An entry whose index the log already has replaces that entry and all after it.
func (j *Journaler) Append(entries []Entry) error {
	if j.failure != nil {
		return j.failure
	}
	if len(entries) == 0 {
		return nil
	}
	if first := entries[0].Index; first > j.lastIndex+1 {
		return errors.Errorf("gap before entry %d: the last entry is %d", first, j.lastIndex)
	}
	if j.openSegment == nil || j.syncedBytes >= segmentBytes {
		if err := j.startSegment(entries[0].Index); err != nil {
			return j.fail(err)
		}
	}
	var b []byte
	for _, e := range entries {
		b = appendRecord(b, e, j.syncedBytes)
	}
	if _, err := j.openSegment.Write(b); err != nil {
		return j.fail(err)
	}
	if err := j.openSegment.Sync(); err != nil {
		return j.fail(err)
	}
	j.syncedBytes += uint64(len(b))
	j.lastIndex = entries[len(entries)-1].Index
	return nil
}

// SaveHardState makes hs durable.
func (j *Journaler) SaveHardState(hs HardState) error {
	if j.failure != nil {
		return j.failure
	}
	b, err := encodeHardState(hs)
	if err != nil {
		return err
	}
	if err := j.replaceFile(hardStateName, b); err != nil {
		return j.fail(err)
	}
	return nil
}

// Full reports whether err was caused by a disk that is out of space or a disk quota that is used up.
func Full(err error) bool {
	return errors.Is(err, ErrFull) || errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// Reopen returns a journal that continues the durable content of j after the disk was full. It cuts off the bytes of a
// failed write or sync even where they can be read, because only synced bytes survive a crash. While the disk is still
// full, it returns an error for which Full is true, and may be called again.
func (j *Journaler) Reopen() (*Journaler, Recovered, error) {
	if j.openSegment != nil {
		// An error of Close does not matter: bytes that were not synced are cut off below.
		_ = j.openSegment.Close()
		j.openSegment, j.unsyncedTail = nil, true
	}
	if err := j.probe(); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "probe the disk")
	}
	if j.unsyncedTail {
		last := len(j.segments) - 1
		b, err := j.fs.ReadFile(j.segments[last])
		if err != nil {
			return nil, Recovered{}, errors.WithStack(err)
		}
		if uint64(len(b)) > j.syncedBytes {
			if err := j.cutSegment(last, b[:j.syncedBytes]); err != nil {
				return nil, Recovered{}, errors.Wrap(err, "cut off unsynced bytes")
			}
		}
		j.unsyncedTail = false
	}
	// Without this sync, Open could read a file under a new name that is not durable, and a crash could undo the rename.
	if err := j.fs.SyncFolder(); err != nil {
		return nil, Recovered{}, errors.Wrap(err, "sync data folder")
	}
	return Open(j.fs)
}

// probe returns an error if the disk accepts no writes.
func (j *Journaler) probe() error {
	f, err := j.fs.Create(probeName)
	if err != nil {
		return err
	}
	if _, err := f.Write(make([]byte, probeBytes)); err != nil {
		return firstError(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return firstError(err, f.Close())
	}
	return firstError(f.Close(), j.fs.Remove(probeName))
}

// Close closes the open segment. Later writes fail with ErrFailed.
func (j *Journaler) Close() error {
	if j.openSegment == nil {
		return nil
	}
	err := j.openSegment.Close()
	j.openSegment = nil
	if j.failure == nil {
		j.failure = errors.Wrap(ErrFailed, "closed")
	}
	return err
}

// fail makes all later writes fail, and returns their error: after a failed sync the operating system may drop the data
// and report success for the next sync.
func (j *Journaler) fail(err error) error {
	kind := ErrFailed
	if Full(err) {
		kind = ErrFull
	}
	j.failure = errors.Wrap(kind, err.Error())
	return j.failure
}

// startSegment creates a segment whose first entry has index first. The number in its name keeps segments in the order
// in which they were written, which the index alone does not: an entry may replace an older one.
func (j *Journaler) startSegment(first uint64) error {
	if j.openSegment != nil {
		if err := j.openSegment.Close(); err != nil {
			return err
		}
		j.openSegment = nil
	}
	name := segmentName(j.nextSegmentNumber(), first)
	f, err := j.fs.Create(name)
	if err != nil {
		return err
	}
	if err := j.fs.SyncFolder(); err != nil {
		return firstError(err, f.Close())
	}
	j.openSegment = f
	j.syncedBytes = 0
	j.segments = append(j.segments, name)
	return nil
}

func (j *Journaler) nextSegmentNumber() uint64 {
	if len(j.segments) == 0 {
		return 1
	}
	number, _, _ := parseSegmentName(j.segments[len(j.segments)-1])
	return number + 1
}

// replaceFile replaces a file atomically: it writes a temporary file, syncs it, renames it to name and syncs the
// folder.
func (j *Journaler) replaceFile(name string, b []byte) error {
	temporary := name + temporarySuffix
	f, err := j.fs.Create(temporary)
	if err != nil {
		return err
	}
	if _, err := f.Write(b); err != nil {
		return firstError(err, f.Close())
	}
	if err := f.Sync(); err != nil {
		return firstError(err, f.Close())
	}
	if err := f.Close(); err != nil {
		return err
	}
	if err := j.fs.Rename(temporary, name); err != nil {
		return err
	}
	return j.fs.SyncFolder()
}

func segmentName(number, first uint64) string {
	return fmt.Sprintf("log-%016x-%016x", number, first)
}

func parseSegmentName(name string) (number, first uint64, ok bool) {
	n, err := fmt.Sscanf(name, "log-%016x-%016x", &number, &first)
	return number, first, err == nil && n == 2 && name == segmentName(number, first)
}
