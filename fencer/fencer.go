package fencer

import "github.com/pkg/errors"

// Fencer rejects epochs below the highest one that it has accepted. The zero value accepts any epoch first.
//
// It is not safe for concurrent use.
type Fencer struct {
	highest Epoch
}

// Accept records e, or returns ErrStaleEpoch if a higher epoch was accepted before.
func (f *Fencer) Accept(e Epoch) error {
	if e < f.highest {
		return errors.Wrapf(ErrStaleEpoch, "epoch %s after %s", e, f.highest)
	}
	f.highest = e
	return nil
}

// Highest returns the highest epoch accepted.
func (f *Fencer) Highest() Epoch {
	return f.highest
}
