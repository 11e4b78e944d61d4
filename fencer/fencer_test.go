package fencer

import (
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"
)

// Guards against a grant of an earlier authority that is accepted because its change counter is higher.
func TestFencerRejectsOlderEpoch(t *testing.T) {
	c := qt.New(t)
	var f Fencer
	c.Assert(f.Accept(NewEpoch(7, 900)), qt.IsNil)
	c.Assert(f.Accept(NewEpoch(8, 1)), qt.IsNil)
	c.Assert(f.Accept(NewEpoch(8, 1)), qt.IsNil)
	err := f.Accept(NewEpoch(7, 901))
	c.Assert(errors.Is(err, ErrStaleEpoch), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, "epoch 7.901 after 8.1: stale epoch")
	c.Assert(f.Highest(), qt.Equals, NewEpoch(8, 1))
}
