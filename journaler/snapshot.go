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

// SaveSnapshot makes s durable and removes the segments that it replaces. keepsLog says whether the log has the entry
// with s.Index and s.Term, so that the entries after it stay valid; otherwise s replaces the whole log.
func (j *Journaler) SaveSnapshot(s Snapshot, keepsLog bool) error {
	if j.failure != nil {
		return j.failure
	}
	if s.Index < j.snapshotIndex {
		return errors.Errorf("snapshot %d is older than snapshot %d", s.Index, j.snapshotIndex)
	}
	body, err := encodeSnapshot(s)
	if err != nil {
		return errors.Wrap(err, "encode snapshot")
	}
	if err := j.replaceFile(snapshotName(s.Index), withChecksum(body)); err != nil {
		return j.fail(err)
	}
	oldSnapshot := j.snapshotIndex
	j.snapshotIndex = s.Index
	if !keepsLog {
		j.lastIndex = s.Index
		if err := j.dropSegments(); err != nil {
			return j.fail(err)
		}
	}
	if err := j.removeObsolete(oldSnapshot); err != nil {
		return j.fail(err)
	}
	return nil
}

// dropSegments removes all segments, the newest first, so that a crash in between leaves a log that still does not
// reach or match the snapshot. It syncs the folder after each removal, because removals may otherwise become durable in
// any order.
func (j *Journaler) dropSegments() error {
	if j.openSegment != nil {
		if err := j.openSegment.Close(); err != nil {
			return err
		}
		j.openSegment = nil
	}
	for n := len(j.segments); n > 0; n-- {
		if err := j.removeFile(j.segments[n-1]); err != nil {
			return err
		}
		j.segments = j.segments[:n-1]
	}
	return nil
}

// removeObsolete removes the segments whose entries are all within the newest snapshot, the oldest first, so that a
// crash in between leaves no gap, and then the snapshot with index oldSnapshot, zero for none.
func (j *Journaler) removeObsolete(oldSnapshot uint64) error {
	for len(j.segments) > 1 {
		if _, nextFirst, _ := parseSegmentName(j.segments[1]); nextFirst > j.snapshotIndex+1 {
			break
		}
		if err := j.removeFile(j.segments[0]); err != nil {
			return err
		}
		j.segments = j.segments[1:]
	}
	if oldSnapshot != 0 && oldSnapshot != j.snapshotIndex {
		return j.removeFile(snapshotName(oldSnapshot))
	}
	return nil
}

// removeFile removes a file and makes the removal durable.
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

// withChecksum returns body after its CRC-32C.
func withChecksum(body []byte) []byte {
	b := binary.LittleEndian.AppendUint32(nil, crc32.Checksum(body, castagnoli))
	return append(b, body...)
}

// verifyChecksum returns the body of what withChecksum made, and false if the checksum is wrong.
func verifyChecksum(b []byte) ([]byte, bool) {
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
	body, ok := verifyChecksum(b)
	if !ok {
		return HardState{}, errors.Wrapf(ErrCorrupt, "%s: checksum at offset 0", hardStateName)
	}
	var w hardStateWire
	if err := cbor.Unmarshal(body, &w); err != nil {
		return HardState{}, errors.Wrapf(ErrCorrupt, "%s: %v", hardStateName, err)
	}
	return HardState(w), nil
}
