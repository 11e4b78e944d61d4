package journaler

// SetSegmentBytes lets tests start segments often.
func SetSegmentBytes(n uint64) (restore func()) {
	old := segmentBytes
	segmentBytes = n
	return func() { segmentBytes = old }
}
