package controller

import (
	"compress/flate"

	"bramleyline.example/bramleyline/compressor"
)

// maxUnpacked bounds a snapshot that another host sent.
const maxUnpacked = 256 << 20

// Compress compresses a snapshot for hosts without a log, which may have slow links.
func Compress(b []byte) ([]byte, error) {
	return compressor.Compress(b, flate.BestSpeed)
}

// Decompress returns the snapshot that PullReply.Snapshot holds.
func Decompress(b []byte) ([]byte, error) {
	return compressor.Decompress(b, maxUnpacked)
}
