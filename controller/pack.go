package controller

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/pkg/errors"
)

// maxUnpacked bounds a snapshot that another host sent.
const maxUnpacked = 256 << 20

// Pack compresses a snapshot for hosts without a log, which may have slow links.
func Pack(b []byte) ([]byte, error) {
	var out bytes.Buffer
	w, err := flate.NewWriter(&out, flate.BestSpeed)
	if err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if _, err := w.Write(b); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	if err := w.Close(); err != nil {
		return nil, errors.Wrap(err, "compress snapshot")
	}
	return out.Bytes(), nil
}

// Unpack returns the snapshot that PullReply.Snapshot holds.
func Unpack(b []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(b)), maxUnpacked))
	return out, errors.Wrap(err, "snapshot")
}
