package reserver

import (
	"sync"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a part that takes more than its limit, or leaves bytes reserved in one of the two bounds when the other refuses.
func TestPartsStayWithinBothLimits(t *testing.T) {
	c := qt.New(t)
	root := Reserver{
		Limit: 100,
	}
	a := Reserver{
		Limit:  60,
		Parent: &root,
	}
	b := Reserver{
		Limit:  60,
		Parent: &root,
	}
	c.Assert(a.Reserve(60), qt.IsTrue)
	c.Assert(a.Reserve(1), qt.IsFalse)
	c.Assert(b.Fits(41), qt.IsFalse)
	c.Assert(b.Reserve(41), qt.IsFalse)
	c.Assert(b.Reserve(40), qt.IsTrue)
	c.Assert(root.Held(), qt.Equals, int64(100))
	a.Release(60)
	c.Assert(b.Reserve(20), qt.IsTrue)
	b.Release(60)
	c.Assert(root.Held()+a.Held()+b.Held(), qt.Equals, int64(0))

	var none *Reserver
	var free Reserver
	c.Assert(none.Reserve(1<<60) && free.Reserve(1<<60), qt.IsTrue)
}

// Guards against bytes that are lost or counted twice when many reserve at the same time.
func TestReservationsAtTheSameTime(t *testing.T) {
	c := qt.New(t)
	root := Reserver{
		Limit: 1000,
	}
	var wg sync.WaitGroup
	for range 8 {
		wg.Go(func() {
			part := Reserver{
				Limit:  400,
				Parent: &root,
			}
			for range 10_000 {
				if part.Reserve(300) {
					part.Release(300)
				}
			}
		})
	}
	wg.Wait()
	c.Assert(root.Held(), qt.Equals, int64(0))
}

// BenchmarkReserve measures a reservation that succeeds, which must not allocate.
func BenchmarkReserve(b *testing.B) {
	root := Reserver{
		Limit: 1 << 30,
	}
	part := Reserver{
		Limit:  1 << 20,
		Parent: &root,
	}
	b.ReportAllocs()
	for b.Loop() {
		part.Reserve(4096)
		part.Release(4096)
	}
}
