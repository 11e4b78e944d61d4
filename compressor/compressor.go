// Package compressor compresses data with DEFLATE that hosts send to each other over slow links: traffic tables and
// snapshots.
package compressor

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// ErrTooLong reports that data decompresses to more bytes than the limit.
var ErrTooLong = errors.New("decompressed data is too long")

// Compress compresses b at a level of package compress/flate.
func Compress(b []byte, level int) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, level)
	if err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress")
	}
	return out.Bytes(), nil
}

// Decompress returns the data that Compress compressed to b. The error is ErrTooLong if that is more than limit bytes.
func Decompress(b []byte, limit int64) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), limit+1))
	if err != nil {
		return nil, errors.Wrap(err, "decompress")
	}
	if int64(len(out)) > limit {
		return nil, errors.Wrapf(ErrTooLong, "over %d bytes", limit)
	}
	return out, nil
}
