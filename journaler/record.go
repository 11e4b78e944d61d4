package journaler

import (
	"encoding/binary"
	"hash/crc32"
)

// A record is: length of the rest after the checksum (4 bytes), CRC-32C of that rest (4), index (8), term (8), offset
// in the file at which the batch of the record starts (8), kind (1), data. All numbers are little-endian.
//
// The batch offset tells a torn write from corruption: a batch is written only after the one before it was synced, so a
// valid record of a later batch proves that a broken record before it had been acknowledged.
const (
	recordPrefix = 8
	recordFixed  = 25
	// maxRecord bounds the length field, so that a corrupted length is not taken for a very long record.
	maxRecord = 256 << 20
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func appendRecord(b []byte, e Entry, batch uint64) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(recordFixed+len(e.Data)))
	b = append(b, 0, 0, 0, 0)
	b = binary.LittleEndian.AppendUint64(b, e.Index)
	b = binary.LittleEndian.AppendUint64(b, e.Term)
	b = binary.LittleEndian.AppendUint64(b, batch)
	b = append(b, byte(e.Kind))
	b = append(b, e.Data...)
	sum := crc32.Checksum(b[start+recordPrefix:], castagnoli)
	binary.LittleEndian.PutUint32(b[start+4:], sum)
	return b
}

// readRecord reads the record at the start of b. It returns the size of the record, and false if it is not valid.
func readRecord(b []byte) (e Entry, batch uint64, size int, ok bool) {
	if len(b) < recordPrefix+recordFixed {
		return Entry{}, 0, 0, false
	}
	length := int(binary.LittleEndian.Uint32(b))
	if length < recordFixed || length > maxRecord || length > len(b)-recordPrefix {
		return Entry{}, 0, 0, false
	}
	body := b[recordPrefix : recordPrefix+length]
	if crc32.Checksum(body, castagnoli) != binary.LittleEndian.Uint32(b[4:]) {
		return Entry{}, 0, 0, false
	}
	e = Entry{
		Index: binary.LittleEndian.Uint64(body),
		Term:  binary.LittleEndian.Uint64(body[8:]),
		Kind:  Kind(body[24]),
	}
	if length > recordFixed {
		e.Data = append([]byte(nil), body[recordFixed:]...)
	}
	return e, binary.LittleEndian.Uint64(body[16:]), recordPrefix + length, true
}

// laterBatch reports whether b, which starts at offset base of its file, has a valid record of a batch that starts after
// offset broken.
func laterBatch(b []byte, base, broken uint64) bool {
	for i := 0; i+recordPrefix+recordFixed <= len(b); i++ {
		start := binary.LittleEndian.Uint64(b[i+recordPrefix+16:])
		if start <= broken || start > base+uint64(i) {
			continue
		}
		if _, _, _, ok := readRecord(b[i:]); ok {
			return true
		}
	}
	return false
}
