package controller

import (
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
)

// A host that is further behind than the recent commands reach must get a snapshot from which they go on, and no host
// may get commands with a gap.
func TestFeedGivesSnapshotOrAllCommands(t *testing.T) {
	c := qt.New(t)
	f := newFeed(&applier.State{})
	for i := range uint64(feedCommands + 1000) {
		state, _ := f.current().Apply(i+1, applier.Command{})
		f.publish(state, []appliedCommand{{
			index: i + 1,
			data:  []byte("x"),
		}})
	}
	last := f.current().Index
	_, _, ok := f.since(999, 1<<20)
	c.Assert(ok, qt.IsFalse)
	commands, to, ok := f.since(1000, 1<<20)
	c.Assert(ok, qt.IsTrue)
	c.Assert(commands, qt.HasLen, feedCommands)
	c.Assert(commands[0].index, qt.Equals, uint64(1001))
	c.Assert(to, qt.Equals, last)
	commands, to, _ = f.since(1000, 10)
	c.Assert(commands, qt.HasLen, 10)
	c.Assert(to, qt.Equals, uint64(1010))
	b, index, err := f.snapshot()
	c.Assert(err, qt.IsNil)
	encoded, err := Unpack(b)
	c.Assert(err, qt.IsNil)
	state, err := applier.DecodeSnapshot(encoded)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Index, qt.Equals, index)
	_, _, ok = f.since(index, 1<<20)
	c.Assert(ok, qt.IsTrue)
	// A host that is ahead, because this one restarted, has to wait.
	commands, to, ok = f.since(last+5, 1<<20)
	c.Assert(ok, qt.IsTrue)
	c.Assert(commands, qt.HasLen, 0)
	c.Assert(to, qt.Equals, last)
	f.reset(&applier.State{
		Index: last + 100,
	})
	_, _, ok = f.since(last, 1<<20)
	c.Assert(ok, qt.IsFalse)
}
