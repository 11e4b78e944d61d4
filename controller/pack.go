package controller

import (
	"compress/flate"

	"bramleyline.example/bramleyline/compressor"
)

// maxSnapshotBytes bounds the decompressed size of a snapshot from another host.
const maxSnapshotBytes = 256 << 20

// Compress compresses a snapshot for hosts without a log, which may have slow links.
func Compress(b []byte) ([]byte, error) {
	return compressor.Compress(b, flate.BestSpeed)
}

// Decompress returns the encoded state in PullReply.Snapshot, which Compress compressed.
func Decompress(b []byte) ([]byte, error) {
	return compressor.Decompress(b, maxSnapshotBytes)
}
