// Package fencer implements epochs, the fencing tokens of slots, and the rejection of grants and requests that carry an
// older epoch.
package fencer

import (
	"strconv"

	"github.com/pkg/errors"
)

// Epoch is the fencing token of an assignment of a slot: a later assignment of the same slot has a higher one. The
// upper 32 bits are the log index of the slot's delegation or that of the command that named its authority, whichever
// is greater; the lower 32 bits are the authority's change counter. Zero means that the slot was never assigned.
type Epoch uint64

// NewEpoch returns the epoch of a log index and an authority's change counter.
func NewEpoch(index, change uint32) Epoch {
	return Epoch(uint64(index)<<32 | uint64(change))
}

// Index returns the log index in the epoch.
func (e Epoch) Index() uint32 {
	return uint32(e >> 32)
}

// Change returns the authority's change counter in the epoch.
func (e Epoch) Change() uint32 {
	return uint32(e)
}

// String formats the epoch as index and change counter, joined by a dot.
func (e Epoch) String() string {
	return strconv.FormatUint(uint64(e.Index()), 10) + "." + strconv.FormatUint(uint64(e.Change()), 10)
}

// ErrStaleEpoch reports an epoch older than one that was accepted before.
var ErrStaleEpoch = errors.New("stale epoch")
