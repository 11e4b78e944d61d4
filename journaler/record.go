package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

// A record has a header and a body, with all numbers little-endian. The header is: length of the body (4 bytes),
// CRC-32C of the body (4). The body is: index (8), term (8), offset in the file at which the batch of the record starts
// (8), kind (1), data. A batch is the entries of one Append.
//
// The batch offset tells a torn write from corruption: a batch is written only after the one before it was synced, so a
// valid record of a later batch proves that a broken record before it had been acknowledged.
const (
	headerBytes  = 8
	minBodyBytes = 25
	// maxBodyBytes bounds the length field, so that a corrupted length is not taken for a very long record.
	maxBodyBytes = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// appendRecord appends the record of e to b. batchStart is the offset in the file at which the batch of e starts.
func appendRecord(b []byte, e Entry, batchStart uint64) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(minBodyBytes+len(e.Data)))
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = binary.LittleEndian.AppendUint64(b, batchStart)
	b = append(b, byte(e.Kind))
	b = append(b, e.Data...)
	sum := crc32.Checksum(b[start+headerBytes:], castagnoli)
	binary.LittleEndian.PutUint32(b[start+4:], sum)
	return b
}

// readRecord reads the record at the start of b. It returns the size of the record, and false if it is not valid.
func readRecord(b []byte) (e Entry, batchStart uint64, size int, ok bool) {
	if len(b) < headerBytes+minBodyBytes {
		return Entry{}, 0, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length < minBodyBytes || length > maxBodyBytes || length > len(b)-headerBytes {
		return Entry{}, 0, 0, false
	}
	body := b[headerBytes : headerBytes+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return Entry{}, 0, 0, false
	}
	e = Entry{
		Index: binary.LittleEndian.Uint64(body),
		Term:  binary.LittleEndian.Uint64(body[8:]),
		Kind:  Kind(body[24]),
	}
	if length > minBodyBytes {
		e.Data = append([]byte(nil), body[minBodyBytes:]...)
	}
	return e, binary.LittleEndian.Uint64(body[16:]), headerBytes + length, true
}

// hasLaterBatch reports whether b, which starts at offset base of its file, has a valid record of a batch that starts
// after the offset brokenAt of a broken record.
func hasLaterBatch(b []byte, base, brokenAt uint64) bool {
	for i := 0; i+headerBytes+minBodyBytes <= len(b); i++ {
		start := binary.LittleEndian.Uint64(b[i+headerBytes+16:])
		if start <= brokenAt || start > base+uint64(i) {
			continue
		}
		if _, _, _, ok := readRecord(b[i:]); ok {
			return true
		}
	}
	return false
}
