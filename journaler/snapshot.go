package journaler

import (
	"encoding/binary"
	"fmt"
	"hash/crc32"

	"github.com/fxamacker/cbor/v2"
	"github.com/pkg/errors"
)

const (
	hardStateName   = "hard-state"
	temporarySuffix = ".tmp"
)

// SaveSnapshot makes s durable and removes the segments that it replaces. keepsLog says that the log has s.Index in
// s.Term; else the whole log is replaced.
func (j *Journaler) SaveSnapshot(s Snapshot, keepsLog bool) error {
	if j.failed != nil {
		return j.failed
	}
	if s.Index < j.snapshot {
		return errors.Errorf("snapshot %d after snapshot %d", s.Index, j.snapshot)
	}
	body, err := encodeSnapshot(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if err := j.replaceFile(snapshotName(s.Index), withChecksum(body)); err != nil {
		return j.fail(err)
	}
	old := j.snapshot
	j.snapshot = s.Index
	if !keepsLog {
		j.last = s.Index
		if err := j.dropSegments(); err != nil {
			return j.fail(err)
		}
	}
	if err := j.removeOld(old); err != nil {
		return j.fail(err)
	}
	return nil
}

// dropSegments removes all segments, the newest first: what a crash in between leaves is still a log that does not
// reach or match the snapshot. The folder is synced each time, because removals may otherwise become durable in any
// order.
func (j *Journaler) dropSegments() error {
	if j.segment != nil {
		if err := j.segment.Close(); err != nil {
			return err
		}
		j.segment = nil
	}
	for n := len(j.segments); n > 0; n-- {
		if err := j.removeFile(j.segments[n-1]); err != nil {
			return err
		}
		j.segments = j.segments[:n-1]
	}
	return nil
}

// removeOld removes the older snapshot and the segments whose entries are all within the new one, the oldest first, so
// that a crash in between leaves no gap.
func (j *Journaler) removeOld(old uint64) error {
	for len(j.segments) > 1 {
		if _, next, _ := parseSegmentName(j.segments[1]); next > j.snapshot+1 {
			break
		}
		if err := j.removeFile(j.segments[0]); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	if old != 0 && old != j.snapshot {
		return j.removeFile(snapshotName(old))
	}
	return nil
}

func (j *Journaler) removeFile(name string) error {
	if err := j.fs.Remove(name); err != nil {
		return err
	}
	return j.fs.SyncFolder()
}

func snapshotName(index uint64) string {
	return fmt.Sprintf("snapshot-%016x", index)
}

func parseSnapshotName(name string) (index uint64, ok bool) {
	n, err := fmt.Sscanf(name, "snapshot-%016x", &index)
	return index, err == nil && n == 1 && name == snapshotName(index)
}

func withChecksum(body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

func checked(b []byte) ([]byte, bool) {
	if len(b) < 4 || crc32.Checksum(b[4:], castagnoli) != binary.LittleEndian.Uint32(b) {
		return nil, false
	}
	return b[4:], true
}

func encodeHardState(hs HardState) ([]byte, error) {
	b, err := cbor.Marshal(hardStateWire(hs))
	if err != nil {
		return nil, errors.Wrap(err, "encode hard state")
	}
	return withChecksum(b), nil
}

func decodeHardState(b []byte) (HardState, error) {
	body, ok := checked(b)
	if !ok {
		return HardState{}, errors.Wrapf(ErrCorrupt, "%s: checksum at offset 0", hardStateName)
	}
	var w hardStateWire
	if err := cbor.Unmarshal(body, &w); err != nil {
		return HardState{}, errors.Wrapf(ErrCorrupt, "%s: %v", hardStateName, err)
	}
	return HardState(w), nil
}
