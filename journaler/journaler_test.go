package journaler_test

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/diskfaulter"
	"bramleyline.example/bramleyline/journaler"
)

// model is the content of a journal, in a form that can be compared. entries are as describe returns them.
type model struct {
	hardState journaler.HardState
	snapshot  uint64
	entries   []string
}

// describe returns the index, the term and the length of the data of e.
func describe(e journaler.Entry) string {
	return fmt.Sprintf("%d/%d/%d", e.Index, e.Term, len(e.Data))
}

// modelOf returns the content that Open read, for comparison with the expected one.
func modelOf(r journaler.Recovered) model {
	m := model{
		hardState: r.HardState,
	}
	if r.Snapshot != nil {
		m.snapshot = r.Snapshot.Index
	}
	for _, e := range r.Entries {
		m.entries = append(m.entries, describe(e))
	}
	return m
}

// workload makes random changes to j until one fails because the file system crashed. m is the content of j, and base
// holds its entries. It returns the model before the failed change, and the one after it as if it was carried out.
// pieces are the entries of a failed append, of which any number may have become durable.
//
// firstTerm is above all terms of earlier workloads, because an index and a term must identify an entry.
func workload(rng *rand.Rand, j *journaler.Journaler, m model, base []journaler.Entry, firstTerm uint64) (before, after model, pieces []string) {
	term := firstTerm
	log := base
	last := func() uint64 {
		if len(log) > 0 {
			return log[len(log)-1].Index
		}
		return m.snapshot
	}
	for {
		before, after, pieces = m, m, nil
		var err error
		switch k := rng.IntN(10); {
		case k == 0:
			term++
			after.hardState = journaler.HardState{
				Term: term,
				Vote: "host",
			}
			err = j.SaveHardState(after.hardState)
		case k == 1 && last() > m.snapshot:
			n := 1 + rng.IntN(len(log))
			s := journaler.Snapshot{
				Index: log[n-1].Index,
				Term:  log[n-1].Term,
			}
			log = log[n:]
			after.snapshot = s.Index
			after.entries = describeAll(log)
			err = j.SaveSnapshot(s, true)
		case k == 2 && rng.IntN(4) == 0:
			term++
			s := journaler.Snapshot{
				Index: m.snapshot + 1 + uint64(rng.IntN(int(last()-m.snapshot)+5)),
				Term:  term,
			}
			log = nil
			after.snapshot, after.entries = s.Index, nil
			err = j.SaveSnapshot(s, false)
		default:
			first := last() + 1
			if len(log) > 0 && rng.IntN(4) == 0 {
				// A new leader replaces entries.
				term++
				n := rng.IntN(len(log))
				first = log[n].Index
				log = log[:n:n]
			}
			var batch []journaler.Entry
			for i := range 1 + rng.IntN(4) {
				batch = append(batch, journaler.Entry{
					Index: first + uint64(i),
					Term:  term,
					Data:  []byte(strings.Repeat("x", rng.IntN(900))),
				})
			}
			err = j.Append(batch)
			pieces = describeAll(batch)
			log = append(log, batch...)
			after.entries = describeAll(log)
		}
		if err != nil {
			return before, after, pieces
		}
		m = after
	}
}

func describeAll(entries []journaler.Entry) []string {
	var s []string
	for _, e := range entries {
		s = append(s, describe(e))
	}
	return s
}

// Guards against a crash at any file operation that loses acknowledged data or leaves half of a change. After the
// restart, the change in progress must be there wholly, not at all or, for an append, up to some entry.
func TestCrashAtEveryOperation(t *testing.T) {
	for _, size := range []uint64{500, 3000, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			defer journaler.SetSegmentBytes(size)()
			checkCrashes(t)
		})
	}
}

// checkCrashes crashes the file system after 0 to 99 operations of the workload, and again while Open repairs the log.
func checkCrashes(t *testing.T) {
	for crash := range 400 {
		rng := rand.New(rand.NewPCG(1, uint64(crash)))
		fs := diskfaulter.New()
		var m model
		var base []journaler.Entry
		for round := range 3 {
			j, r, err := journaler.Open(fs)
			if err != nil {
				t.Fatalf("crash %d, round %d: %v", crash, round, err)
			}
			m, base = modelOf(r), r.Entries
			fs.CrashAfter(crash % 100)
			before, after, pieces := workload(rng, j, m, base, uint64(1000*round))
			if !fs.Crashed() {
				t.Fatalf("crash %d, round %d: an operation failed without a crash", crash, round)
			}
			fs.Restart(rng)
			// Opening may crash too, while it cuts off a torn write.
			fs.CrashAfter(rng.IntN(8))
			if _, _, err := journaler.Open(fs); err != nil && !fs.Crashed() {
				t.Fatalf("crash %d, round %d: %v", crash, round, err)
			}
			fs.Restart(rng)
			_, r, err = journaler.Open(fs)
			if err != nil {
				t.Fatalf("crash %d, round %d: %v", crash, round, err)
			}
			if got := modelOf(r); !allowed(got, before, after, pieces) {
				t.Fatalf("crash %d, round %d:\ngot    %v\nbefore %v\nafter  %v", crash, round, got, before, after)
			}
		}
	}
}

// Guards against a log that takes what a killed process wrote but did not sync for durable: a loss of power after that takes
// entries from its middle, so that it cannot be opened any more, or an acknowledged entry or vote is lost.
func TestWhatAKilledProcessWroteSurvivesALossOfPower(t *testing.T) {
	for _, size := range []uint64{500, 8 << 20} {
		t.Run(fmt.Sprint(size), func(t *testing.T) {
			defer journaler.SetSegmentBytes(size)()
			for kill := range 400 {
				rng := rand.New(rand.NewPCG(2, uint64(kill)))
				fs := diskfaulter.New()
				for round := range 3 {
					j, r, err := journaler.Open(fs)
					if err != nil {
						t.Fatalf("kill %d, round %d: %v", kill, round, err)
					}
					fs.CrashAfter(kill % 100)
					workload(rng, j, modelOf(r), r.Entries, uint64(1000*round))
					fs.Kill()
				}
				j, r, err := journaler.Open(fs)
				if err != nil {
					t.Fatalf("kill %d: %v", kill, err)
				}
				want := modelOf(r)
				if rng.IntN(2) == 0 {
					e := journaler.Entry{
						Index: want.snapshot + uint64(len(want.entries)) + 1,
						Term:  5000,
					}
					if err := j.Append([]journaler.Entry{e}); err != nil {
						t.Fatalf("kill %d: %v", kill, err)
					}
					want.entries = append(want.entries, describe(e))
				}
				fs.Kill()
				fs.Restart(rng)
				_, r, err = journaler.Open(fs)
				if err != nil {
					t.Fatalf("kill %d: after the loss of power: %v", kill, err)
				}
				if got := modelOf(r); !equal(got, want) {
					t.Fatalf("kill %d:\ngot  %v\nwant %v", kill, got, want)
				}
			}
		})
	}
}

// allowed reports whether got may be the content after a crash between before and after.
func allowed(got, before, after model, pieces []string) bool {
	if equal(got, after) || equal(got, before) {
		return true
	}
	kept := after.entries[:len(after.entries)-len(pieces)]
	for n := range pieces {
		partial := after
		partial.entries = append(kept[:len(kept):len(kept)], pieces[:n+1]...)
		if equal(got, partial) {
			return true
		}
	}
	return false
}

func equal(a, b model) bool {
	return fmt.Sprint(a) == fmt.Sprint(b)
}

// fiveEntries returns a journal with five entries, the name of its segment, and the offsets of its records and of its
// end.
func fiveEntries(c *qt.C) (*diskfaulter.Faulter, string, []int) {
	fs := diskfaulter.New()
	j, _, err := journaler.Open(fs)
	c.Assert(err, qt.IsNil)
	var name string
	offsets := []int{0}
	for i := range 5 {
		c.Assert(j.Append([]journaler.Entry{{
			Index: uint64(i + 1),
			Term:  1,
			Data:  []byte("some command"),
		}}), qt.IsNil)
		names, err := fs.List()
		c.Assert(err, qt.IsNil)
		name = names[0]
		b, err := fs.ReadFile(name)
		c.Assert(err, qt.IsNil)
		offsets = append(offsets, len(b))
	}
	return fs, name, offsets
}

// Guards against a log that cannot be opened after a torn write of the last record: it was never acknowledged, so the
// log continues without it.
func TestTornLastRecordIsCutOff(t *testing.T) {
	c := qt.New(t)
	_, _, offsets := fiveEntries(c)
	for size := offsets[4]; size < offsets[5]; size++ {
		fs, name, _ := fiveEntries(c)
		fs.Truncate(name, size)
		j, r, err := journaler.Open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Entries, qt.HasLen, 4)
		c.Assert(r.TornBytes, qt.Equals, size-offsets[4])
		c.Assert(j.Append([]journaler.Entry{{
			Index: 5,
			Term:  2,
		}}), qt.IsNil)
		_, r, err = journaler.Open(fs)
		c.Assert(err, qt.IsNil)
		c.Assert(r.Entries[4].Term, qt.Equals, uint64(2))
	}
}

// Guards against a corrupted record that is taken for the end of the log, which would lose acknowledged entries.
func TestCorruptionInTheMiddleIsAnError(t *testing.T) {
	c := qt.New(t)
	_, _, offsets := fiveEntries(c)
	for record := range 4 {
		for offset := offsets[record]; offset < offsets[record+1]; offset++ {
			fs, name, _ := fiveEntries(c)
			fs.Corrupt(name, offset)
			_, _, err := journaler.Open(fs)
			c.Assert(errors.Is(err, journaler.ErrCorrupt), qt.IsTrue, qt.Commentf("offset %d: %v", offset, err))
			c.Assert(err, qt.ErrorMatches, fmt.Sprintf("%s: record at offset %d: .*", name, offsets[record]))
		}
	}
}

// Guards against a damaged snapshot or hard state that is used or ignored. They are replaced atomically, so any damage
// to them is corruption and never a torn write.
func TestCorruptSnapshotAndHardStateAreErrors(t *testing.T) {
	c := qt.New(t)
	fs := diskfaulter.New()
	j, _, err := journaler.Open(fs)
	c.Assert(err, qt.IsNil)
	c.Assert(j.SaveHardState(journaler.HardState{
		Term: 3,
	}), qt.IsNil)
	c.Assert(j.SaveSnapshot(journaler.Snapshot{
		Index: 7,
		Term:  3,
	}, false), qt.IsNil)
	names, err := fs.List()
	c.Assert(err, qt.IsNil)
	c.Assert(names, qt.HasLen, 2)
	for _, name := range names {
		fs.Corrupt(name, 5)
		_, _, err := journaler.Open(fs)
		c.Assert(err, qt.ErrorMatches, name+": checksum at offset 0: .*")
		fs.Corrupt(name, 5)
	}
}

// Guards against a journal that continues after a failed sync: the data may be lost although the next sync reports
// success, so the journal must stay failed.
func TestFailedSyncIsFinal(t *testing.T) {
	c := qt.New(t)
	fs := diskfaulter.New()
	j, _, err := journaler.Open(fs)
	c.Assert(err, qt.IsNil)
	entry := []journaler.Entry{{
		Index: 1,
		Term:  1,
	}}
	fs.FailSyncAfter(0)
	c.Assert(errors.Is(j.Append(entry), journaler.ErrFailed), qt.IsTrue)
	c.Assert(errors.Is(j.Append(entry), journaler.ErrFailed), qt.IsTrue)
	c.Assert(errors.Is(j.SaveHardState(journaler.HardState{}), journaler.ErrFailed), qt.IsTrue)
	c.Assert(errors.Is(j.SaveSnapshot(journaler.Snapshot{
		Index: 1,
	}, false), journaler.ErrFailed), qt.IsTrue)
}
