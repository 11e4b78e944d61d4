package compressor

import (
	"bytes"
	"compress/flate"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against output that is truncated without an error because the input is damaged or the output is too long.
func TestDecompressReturnsAllOrAnError(t *testing.T) {
	c := qt.New(t)
	text := bytes.Repeat([]byte("route "), 1000)
	b, err := Compress(text, flate.BestSpeed)
	c.Assert(err, qt.IsNil)
	c.Assert(len(b) < len(text)/10, qt.IsTrue)
	got, err := Decompress(b, int64(len(text)))
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.DeepEquals, text)
	_, err = Decompress(b, int64(len(text))-1)
	c.Assert(errors.Is(err, ErrTooLong), qt.IsTrue)
	_, err = Decompress(b[:len(b)/2], int64(len(text)))
	c.Assert(err, qt.IsNotNil)
}
