package journaler

// SetSegmentBytes changes the segment size, so that a test covers many segments with little data. restore undoes it.
func SetSegmentBytes(n uint64) (restore func()) {
	old := segmentBytes
	segmentBytes = n
	return func() { segmentBytes = old }
}
