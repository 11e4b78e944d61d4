package controller

import (
	"compress/flate"

	"bramleyline.example/bramleyline/packer"
)

// maxUnpacked bounds a snapshot that another host sent.
const maxUnpacked = 256 << 20

// Pack compresses a snapshot for hosts without a log, which may have slow links.
func Pack(b []byte) ([]byte, error) {
	return packer.Pack(b, flate.BestSpeed)
}

// Unpack returns the snapshot that PullReply.Snapshot holds.
func Unpack(b []byte) ([]byte, error) {
	return packer.Unpack(b, maxUnpacked)
}
