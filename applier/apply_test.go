package applier_test

import (
	"fmt"
	"os"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

func TestMain(m *testing.M) {
	asserter.SetFatal(true)
	os.Exit(m.Run())
}

// stateMachine applies commands at consecutive log indexes.
type stateMachine struct {
	c     *qt.C
	state *applier.State
}

func (m *stateMachine) apply(cmd applier.Command) applier.Result {
	index := uint64(1)
	if m.state != nil {
		index = m.state.Index + 1
	}
	var r applier.Result
	m.state, r = m.state.Apply(index, cmd)
	m.c.Assert(m.state.Index, qt.Equals, index)
	return r
}

func (m *stateMachine) ok(cmd applier.Command) uint64 {
	m.c.Helper()
	r := m.apply(cmd)
	m.c.Assert(r.Rejection, qt.Equals, "")
	return r.Index
}

func (m *stateMachine) rejected(cmd applier.Command, reason string) {
	m.c.Helper()
	m.c.Assert(m.apply(cmd).Rejection, qt.Matches, reason)
}

func putConfig(id string, expect uint64, digest string) applier.Command {
	return applier.Command{
		RequestID: id,
		PutConfig: &applier.PutConfigMsg{
			Expect:   expect,
			Digest:   digest,
			Operator: "operator of " + digest,
			At:       time.Unix(5, 0).UTC(),
			Base:     "text of " + digest,
			Overlays: map[string]string{"dc1": "overlay"},
		},
	}
}

func slots(first, n int) []keyer.Slot {
	s := make([]keyer.Slot, n)
	for i := range s {
		s[i] = keyer.Slot(first + i)
	}
	return s
}

func delegate(dc string, s ...keyer.Slot) applier.Command {
	return applier.Command{
		Delegate: &applier.DelegateMsg{
			Service:    "tally",
			Slots:      s,
			DataCentre: dc,
		},
	}
}

func nameAuthority(dc, host string) applier.Command {
	return applier.Command{
		NameAuthority: &applier.NameAuthorityMsg{
			DataCentre:  dc,
			Host:        host,
			Incarnation: 1,
		},
	}
}

func assign(dc string, index uint64, hot map[string]applier.OwnerChange, owners ...applier.OwnerChange) applier.Command {
	return applier.Command{
		Assign: &applier.AssignMsg{
			DataCentre:     dc,
			AuthorityIndex: index,
			Service:        "tally",
			Owners:         owners,
			HotKeys:        hot,
		},
	}
}

func owner(slot keyer.Slot, target string, index uint64, change uint32) applier.OwnerChange {
	return applier.OwnerChange{
		Slot:   slot,
		Target: target,
		Epoch:  fencer.NewEpoch(uint32(index), change),
	}
}

// Guards against lost updates when two operators change the same version: one must win, and the other must get a
// rejection that names the winner. A repeated command must get its first result again.
func TestPutConfigIsCompareAndSet(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	first := m.ok(putConfig("r1", 0, "a"))
	r := m.apply(putConfig("r2", 0, "b"))
	c.Assert(r.Rejection, qt.Not(qt.Equals), "")
	c.Assert(*r.Winner, qt.DeepEquals, applier.StoredConfig{
		Version:  1,
		Index:    first,
		Digest:   "a",
		Operator: "operator of a",
		At:       time.Unix(5, 0).UTC(),
	})
	c.Assert(m.ok(putConfig("r1", 0, "a")), qt.Equals, first)
	m.ok(putConfig("r3", 1, "c"))
	c.Assert(m.ok(putConfig("other", 0, "a")), qt.Equals, first)
	c.Assert(m.apply(putConfig("r2", 0, "b")).Winner.Digest, qt.Equals, "a")
	m.rejected(putConfig("r4", 7, "d"), "version 2 is in force, not 7")
	c.Assert(m.state.Config.Version, qt.Equals, uint64(2))
	c.Assert(m.state.Config.Base, qt.Equals, "text of c")
}

// Guards against memory that grows with each command: the history and the remembered results must stay bounded.
func TestMemoryIsBounded(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	for i := range 20000 {
		m.ok(putConfig(fmt.Sprint("r", i), uint64(i), fmt.Sprint(i)))
	}
	c.Assert(m.state.History, qt.HasLen, 200)
	c.Assert(m.state.History[199].Version, qt.Equals, uint64(20000))
	remembered := 0
	for i := range 20000 {
		if _, ok := m.state.ResultOf(fmt.Sprint("r", i)); ok {
			remembered++
		}
	}
	c.Assert(remembered >= 4096 && remembered <= 8192, qt.IsTrue, qt.Commentf("%d", remembered))
	_, ok := m.state.ResultOf("r15904")
	c.Assert(ok, qt.IsTrue)
}

// Guards against changes by a replaced authority, to slots of another data centre, or under an old epoch: such a
// command must change nothing, not even a slot for which it is valid.
func TestAssignIsRejected(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	m.ok(delegate("dc1", slots(0, 10)...))
	m.ok(delegate("dc2", slots(10, 10)...))
	old := m.ok(nameAuthority("dc1", "h1"))
	index := m.ok(nameAuthority("dc1", "h2"))
	m.ok(assign("dc1", index, nil, owner(3, "t1", index, 1)))
	m.ok(assign("dc1", index, nil, owner(3, "t1", index, 1)))
	m.rejected(assign("dc1", old, nil, owner(3, "t2", index, 2)), "authority index of dc1 is .*")
	m.rejected(assign("dc1", index, nil, owner(4, "t2", index, 2), owner(12, "t2", index, 2)), "slot 12 is not delegated to dc1")
	m.rejected(assign("dc1", index, nil, owner(25, "t2", index, 2)), "slot 25 is not delegated to dc1")
	m.rejected(assign("dc1", index, nil, owner(3, "t2", index, 1)), "epoch .* of slot 3 is not above .*")
	m.rejected(assign("dc1", index, nil, owner(3, "t2", index, 0)), "epoch .* of slot 3 is not above .*")
	m.rejected(assign("dc1", index, nil, owner(5, "t2", old, 9)), "epoch .* of slot 5 is below index .*")
	m.rejected(assign("dc1", 0, nil), "authority index of dc1 is .*")
	e, _ := m.state.Slots["tally"].Entry(4)
	c.Assert(e.Target, qt.Equals, "")
	e, _ = m.state.Slots["tally"].Entry(3)
	c.Assert(e.Target, qt.Equals, "t1")
}

// Guards against two owners under one epoch after a slot has moved between data centres: a slot that goes to another
// data centre must lose its owner and its hot keys, and its epoch must never decrease, also when the slot comes back.
func TestDelegationKeepsEpochsRising(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	m.ok(delegate("dc1", slots(0, 300)...))
	a1, a2 := m.ok(nameAuthority("dc1", "h1")), m.ok(nameAuthority("dc2", "h2"))
	hot := map[string]applier.OwnerChange{
		"key": owner(7, "t9", a1, 3),
		"far": owner(280, "t9", a1, 3),
	}
	m.ok(assign("dc1", a1, hot, owner(7, "t1", a1, 2)))
	published := m.state
	moved := m.ok(delegate("dc2", 7))
	// The new authority has not released the slot, so a repeated delegation changes nothing.
	m.ok(delegate("dc2", 7))
	e, _ := m.state.Slots["tally"].Entry(7)
	c.Assert(e, qt.Equals, applier.SlotEntry{
		Slot:        7,
		DataCentre:  "dc2",
		DelegatedAt: moved,
		Epoch:       fencer.NewEpoch(uint32(a1), 2),
	})
	_, ok := m.state.Slots["tally"].HotKey("key")
	c.Assert(ok, qt.IsFalse)
	_, ok = m.state.Slots["tally"].HotKey("far")
	c.Assert(ok, qt.IsTrue)
	m.rejected(assign("dc2", a2, nil, owner(7, "t2", a2, 5)), "epoch .* is below index .*")
	m.ok(assign("dc2", a2, nil, owner(7, "t2", moved, 1)))
	m.rejected(assign("dc1", a1, nil, owner(7, "t1", moved, 3)), "slot 7 is not delegated to dc1")
	back := m.ok(delegate("dc1", 7))
	m.rejected(assign("dc1", a1, nil, owner(7, "t1", a1, 90)), "epoch .*")
	m.ok(assign("dc1", a1, nil, owner(7, "t1", back, 1)))
	// A released slot is delegated anew, and may be assigned again only under the index of the new delegation.
	m.ok(assign("dc1", a1, nil, owner(7, "", back, 2)))
	again := m.ok(delegate("dc1", 7))
	c.Assert(again > back, qt.IsTrue)
	m.rejected(assign("dc1", a1, nil, owner(7, "t1", back, 3)), "epoch .* is below index .*")
	m.ok(assign("dc1", a1, nil, owner(7, "t1", again, 1)))
	// The state that was published before must not have changed.
	e, _ = published.Slots["tally"].Entry(7)
	c.Assert(e.Target, qt.Equals, "t1")
	_, ok = published.Slots["tally"].HotKey("key")
	c.Assert(ok, qt.IsTrue)
}

// Guards against an in-sync set that a former authority writes, or that does not contain the present authority.
func TestInSyncSetBelongsToTheAuthority(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	index := m.ok(nameAuthority("dc1", "h1"))
	c.Assert(m.state.DataCentres["dc1"].InSync, qt.DeepEquals, map[string]uint64{"h1": 1})
	set := func(index uint64, hosts map[string]uint64) applier.Command {
		return applier.Command{
			SetInSync: &applier.SetInSyncMsg{
				DataCentre:     "dc1",
				AuthorityIndex: index,
				InSync:         hosts,
			},
		}
	}
	m.ok(set(index, map[string]uint64{"h1": 1, "h2": 5}))
	m.rejected(set(index, map[string]uint64{"h2": 5}), "the in-sync set lacks the authority h1")
	m.rejected(set(index, map[string]uint64{"h1": 2}), "the in-sync set lacks the authority h1")
	m.rejected(set(index-1, map[string]uint64{"h1": 1}), "authority index .*")
	c.Assert(m.state.DataCentres["dc1"].InSync, qt.HasLen, 2)
}

// Guards against a table that grows with each target that ever owned a slot: names without an entry must be dropped,
// and that must not change any entry.
func TestUnusedTargetNamesAreDropped(t *testing.T) {
	c := qt.New(t)
	m := &stateMachine{
		c: c,
	}
	m.ok(delegate("dc1", slots(0, 300)...))
	a := m.ok(nameAuthority("dc1", "h1"))
	m.ok(assign("dc1", a, nil, owner(299, "stays", a, 1)))
	for i := range uint32(3000) {
		m.ok(assign("dc1", a, nil, owner(5, fmt.Sprint("target", i), a, i+1)))
	}
	b, err := applier.EncodeSnapshot(m.state)
	c.Assert(err, qt.IsNil)
	c.Assert(len(b) < 300*18+2000, qt.IsTrue, qt.Commentf("%d bytes", len(b)))
	e, _ := m.state.Slots["tally"].Entry(299)
	c.Assert(e.Target, qt.Equals, "stays")
	e, _ = m.state.Slots["tally"].Entry(5)
	c.Assert(e.Target, qt.Equals, "target2999")
}
