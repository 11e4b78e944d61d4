package journaler

import (
	"slices"
	"strings"

	"github.com/pkg/errors"
)

// Open makes the content of the folder of fs durable, reads it, and returns a journal that continues it. It cuts off an incomplete last write;
// any other damage is an ErrCorrupt that names the file and, for a record, the offset.
func Open(fs FileSystem) (*Journaler, Recovered, error) {
	j := Journaler{
		fs: fs,
	}
	var r Recovered
	names, err := fs.List()
	if err != nil {
		return nil, r, errors.Wrap(err, "list data folder")
	}
	var snapshots []string
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			if err := fs.Remove(name); err != nil {
				return nil, r, errors.WithStack(err)
			}
			continue
		}
		if _, _, ok := parseSegmentName(name); ok {
			j.segments = append(j.segments, name)
		}
		if _, ok := parseSnapshotName(name); ok {
			snapshots = append(snapshots, name)
		}
	}
	if err := j.syncAll(len(names) > 0); err != nil {
		return nil, r, err
	}
	if slices.Contains(names, hardStateName) {
		b, err := fs.ReadFile(hardStateName)
		if err != nil {
			return nil, r, errors.WithStack(err)
		}
		if r.HardState, err = decodeHardState(b); err != nil {
			return nil, r, err
		}
	}
	if err := j.readSnapshot(snapshots, &r); err != nil {
		return nil, r, err
	}
	entries, err := j.readSegments(&r)
	if err != nil {
		return nil, r, err
	}
	if err := j.alignWithSnapshot(entries, &r); err != nil {
		return nil, r, err
	}
	return &j, r, nil
}

// syncAll makes what Open reads durable. An earlier process may have ended between a write and its sync: the bytes can be read
// then, and would be acknowledged as part of the log, but a loss of power could still undo them. All other files were synced
// before they got their names.
func (j *Journaler) syncAll(used bool) error {
	if !used {
		return nil
	}
	for _, name := range j.segments {
		if err := j.fs.SyncFile(name); err != nil {
			return errors.Wrapf(err, "sync %s", name)
		}
	}
	return errors.Wrap(j.fs.SyncFolder(), "sync data folder")
}

// readSnapshot reads the newest snapshot and removes older ones, which a crash before their removal left over.
func (j *Journaler) readSnapshot(names []string, r *Recovered) error {
	if len(names) == 0 {
		return nil
	}
	name := names[len(names)-1]
	b, err := j.fs.ReadFile(name)
	if err != nil {
		return errors.WithStack(err)
	}
	body, ok := verifyChecksum(b)
	if !ok {
		return errors.Wrapf(ErrCorrupt, "%s: checksum at offset 0", name)
	}
	s, err := decodeSnapshot(body)
	if err != nil {
		return errors.Wrapf(ErrCorrupt, "%s: %v", name, err)
	}
	r.Snapshot = &s
	j.snapshotIndex = s.Index
	for _, old := range names[:len(names)-1] {
		if err := j.fs.Remove(old); err != nil {
			return errors.WithStack(err)
		}
	}
	return nil
}

// readSegments replays all segments and returns the entries of the log: a record replaces earlier ones from its index
// on. It cuts off an incomplete write at the end of the last segment.
func (j *Journaler) readSegments(r *Recovered) ([]Entry, error) {
	var entries []Entry
	for i, name := range j.segments {
		b, err := j.fs.ReadFile(name)
		if err != nil {
			return nil, errors.WithStack(err)
		}
		if len(b) == 0 && i < len(j.segments)-1 {
			return nil, errors.Wrapf(ErrCorrupt, "%s: empty, but not the last segment", name)
		}
		offset := 0
		for offset < len(b) {
			e, _, size, ok := readRecord(b[offset:])
			if !ok {
				if i < len(j.segments)-1 || hasLaterBatch(b[offset:], uint64(offset), uint64(offset)) {
					return nil, errors.Wrapf(ErrCorrupt, "%s: record at offset %d", name, offset)
				}
				r.TornBytes = len(b) - offset
				break
			}
			if entries, ok = splice(entries, e); !ok {
				return nil, errors.Wrapf(ErrCorrupt, "%s: gap before entry %d at offset %d", name, e.Index, offset)
			}
			offset += size
		}
		if offset == len(b) && offset > 0 {
			continue
		}
		if err := j.cutSegment(i, b[:offset]); err != nil {
			return nil, j.fail(err)
		}
	}
	return entries, nil
}

// cutSegment replaces segment i, which is the last one, by its valid part. If that is empty, it removes the segment:
// the index in its name says which entries it replaces, but these are still only in the segment before, which
// removeObsolete would remove.
func (j *Journaler) cutSegment(i int, valid []byte) error {
	if len(valid) > 0 {
		return j.replaceFile(j.segments[i], valid)
	}
	if err := j.removeFile(j.segments[i]); err != nil {
		return err
	}
	j.segments = j.segments[:i]
	return nil
}

// splice appends e to entries after cutting off those that it replaces. It returns false if e leaves a gap.
func splice(entries []Entry, e Entry) ([]Entry, bool) {
	if len(entries) == 0 || e.Index < entries[0].Index {
		return append(entries[:0], e), true
	}
	n := e.Index - entries[0].Index
	if n > uint64(len(entries)) {
		return entries, false
	}
	return append(entries[:n], e), true
}

// alignWithSnapshot keeps the entries after the snapshot. If the snapshot was received and replaced the whole log, but
// a crash came before the removal of the segments, it removes them now.
func (j *Journaler) alignWithSnapshot(entries []Entry, r *Recovered) error {
	replaced := false
	if s := r.Snapshot; s != nil {
		n := 0
		for n < len(entries) && entries[n].Index <= s.Index {
			n++
		}
		matches := n > 0 && entries[n-1].Index == s.Index && entries[n-1].Term == s.Term
		continues := n == 0 && len(entries) > 0 && entries[0].Index == s.Index+1
		switch {
		case matches, continues:
			entries = entries[n:]
		case len(entries) > 0 && n == 0:
			return errors.Wrapf(ErrCorrupt, "%s: entry %d does not follow snapshot %d", j.segments[0], entries[0].Index, s.Index)
		default:
			replaced = true
			entries = nil
		}
		j.lastIndex = s.Index
	} else if len(entries) > 0 && entries[0].Index != 1 {
		return errors.Wrapf(ErrCorrupt, "%s: first entry is %d, without a snapshot", j.segments[0], entries[0].Index)
	}
	r.Entries = entries
	if len(entries) > 0 {
		j.lastIndex = entries[len(entries)-1].Index
	}
	if replaced {
		return j.dropSegments()
	}
	return nil
}
