package controller

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/timekeeper"
)

// Guards against a gap in the commands that a host gets. A host that is further behind than the retained commands must
// get a snapshot that these commands continue.
func TestFeedGivesSnapshotOrAllCommands(t *testing.T) {
	c := qt.New(t)
	f := newFeed(&applier.State{})
	for i := range uint64(maxFeedCommands + 1000) {
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
	c.Assert(commands, qt.HasLen, maxFeedCommands)
	c.Assert(commands[0].index, qt.Equals, uint64(1001))
	c.Assert(to, qt.Equals, last)
	commands, to, _ = f.since(1000, 10)
	c.Assert(commands, qt.HasLen, 10)
	c.Assert(to, qt.Equals, uint64(1010))
	b, index, err := f.snapshot()
	c.Assert(err, qt.IsNil)
	encoded, err := DecompressSnapshot(b)
	c.Assert(err, qt.IsNil)
	state, err := applier.DecodeSnapshot(encoded)
	c.Assert(err, qt.IsNil)
	c.Assert(state.Index, qt.Equals, index)
	_, _, ok = f.since(index, 1<<20)
	c.Assert(ok, qt.IsTrue)
	// A host that is ahead, because this control host restarted, gets no commands until the state is newer than its
	// own.
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

// Guards against sending a host that starts hundreds of commands that are larger than a snapshot: after a restart of
// the control hosts all entry hosts pull at once, over links of 2 Mbit/s.
func TestFeedGivesSnapshotInPlaceOfLargerCommands(t *testing.T) {
	c := qt.New(t)
	f := newFeed(&applier.State{})
	put := func(n int) {
		for range n {
			index := f.current().Index + 1
			state, _ := f.current().Apply(index, applier.Command{})
			f.publish(state, []appliedCommand{{
				index: index,
				data:  make([]byte, 1<<10),
			}})
		}
	}
	put(500)
	_, _, ok := f.since(0, 1<<20)
	c.Assert(ok, qt.IsFalse)
	_, index, err := f.snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(index, qt.Equals, uint64(500))
	_, _, ok = f.since(index-3, 1<<20)
	c.Assert(ok, qt.IsTrue)

	// The snapshot is reused for other hosts as long as few commands follow it.
	put(10)
	_, index, err = f.snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(index, qt.Equals, uint64(500))
	put(100)
	_, index, err = f.snapshot()
	c.Assert(err, qt.IsNil)
	c.Assert(index, qt.Equals, uint64(610))
}

// Guards against an acknowledgement that does not wait for other hosts because its change came with a snapshot, so that it seems to be
// of long ago.
func TestTimeOfAppliedCommands(t *testing.T) {
	c := qt.New(t)
	before := timekeeper.Now()
	f := newFeed(&applier.State{
		Index: 5,
	})
	c.Check(f.appliedAt(5).Before(before), qt.IsFalse, qt.Commentf("a command in a snapshot"))
	applied := before.Add(-time.Minute)
	f.publish(&applier.State{
		Index: 7,
	}, []appliedCommand{
		{
			index: 6,
			at:    applied,
		},
		{
			index: 7,
			at:    applied.Add(time.Second),
		},
	})
	c.Check(f.appliedAt(6), qt.Equals, applied)
	c.Check(f.appliedAt(7), qt.Equals, applied.Add(time.Second))
	c.Check(f.appliedAt(8).Before(before), qt.IsFalse, qt.Commentf("a command that is yet to come"))
	f.reset(&applier.State{
		Index: 9,
	})
	c.Check(f.appliedAt(7).Before(before), qt.IsFalse, qt.Commentf("a command in a later snapshot"))
}

// Guards against an acknowledgement that waits anew each time an order to take a data centre out is repeated, and against one that
// does not wait after the data centre was in service meanwhile.
func TestIndexOfATakeoutIsThatOfTheFirstOrder(t *testing.T) {
	c := qt.New(t)
	at := time.Unix(100, 0)
	f := newFeed(&applier.State{})
	apply := func(out ...bool) {
		batch := applier.NewBatch(f.current())
		for _, out := range out {
			at = at.Add(time.Second)
			batch.Apply(batch.State().Index+1, applier.Command{
				SetService: &applier.SetServiceMsg{
					DataCentre: "a",
					Out:        out,
					At:         at,
				},
			})
		}
		f.publish(batch.State(), nil)
	}
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(0))
	apply(true)
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(1))
	apply(true)
	apply(true, true)
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(1), qt.Commentf("repeated orders"))
	apply(false, true)
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(6), qt.Commentf("a restoration in between"))
	apply(false)
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(0))
	apply(true)
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(8))
	f.reset(&applier.State{
		Index:       20,
		DataCentres: f.current().DataCentres,
	})
	c.Check(f.takeoutIndex("a"), qt.Equals, uint64(8), qt.Commentf("a snapshot with the same takeout"))
	c.Check(newFeed(f.current()).takeoutIndex("a"), qt.Equals, uint64(20), qt.Commentf("a start from a snapshot"))
}
