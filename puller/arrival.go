package puller

import "time"

// Arrival describes how a state reached this host.
type Arrival struct {
	// At is when its changes had been received.
	At time.Time
	// Held is how long the source had the first of them before it sent them, and Lag how far the source was behind the log at most.
	Held time.Duration
	Lag  time.Duration
	// Transit is the time that the call and its answer took on their way, without the wait at the source.
	Transit time.Duration
	// Before is the log index of the state before, and BeforeAsOf the latest time up to which that one was known to have every
	// committed command.
	Before     uint64
	BeforeAsOf time.Time
}
