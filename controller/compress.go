package controller

import (
	"compress/flate"

	"bramleyline.example/bramleyline/compressor"
)

// maxSnapshotBytes bounds the decompressed size of a snapshot from another host.
const maxSnapshotBytes = 256 << 20

// CompressSnapshot compresses a snapshot for hosts without a log, which may have slow links.
func CompressSnapshot(b []byte) ([]byte, error) {
	return compressor.Compress(b, flate.BestSpeed)
}

// DecompressSnapshot returns the encoded state in PullReply.Snapshot, which CompressSnapshot compressed.
func DecompressSnapshot(b []byte) ([]byte, error) {
	return compressor.Decompress(b, maxSnapshotBytes)
}
