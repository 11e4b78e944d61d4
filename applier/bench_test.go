package applier_test

import (
	"fmt"
	"runtime"
	"testing"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

var slotCounts = []int{1024, 131072}

// filledState returns a state with n slots, which 20 targets own, and the index of the authority.
func filledState(n int) (*applier.State, uint64) {
	var s *applier.State
	s, _ = s.Apply(1, delegate("dc1", slots(0, n)...))
	s, _ = s.Apply(2, nameAuthority("dc1", "h1"))
	owners := make([]applier.OwnerChange, n)
	for i := range owners {
		owners[i] = owner(keyer.Slot(i), fmt.Sprint("target", i%20), 2, 1)
	}
	s, _ = s.Apply(3, assign("dc1", 2, nil, owners...))
	return s, 2
}

// BenchmarkApplyOneSlot measures a command that changes the owner of one slot.
func BenchmarkApplyOneSlot(b *testing.B) {
	for _, n := range slotCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s, authorityIndex := filledState(n)
			b.ReportAllocs()
			change := uint32(2)
			for i := 0; b.Loop(); i++ {
				cmd := assign("dc1", authorityIndex, nil, applier.OwnerChange{
					Slot:   keyer.Slot(i % n),
					Target: fmt.Sprint("target", i%19),
					Epoch:  fencer.NewEpoch(uint32(authorityIndex), change),
				})
				change++
				var r applier.Result
				if s, r = s.Apply(s.Index+1, cmd); r.Rejection != "" {
					b.Fatal(r.Rejection)
				}
			}
		})
	}
}

// BenchmarkStateBytes measures the memory that a state takes for each slot.
func BenchmarkStateBytes(b *testing.B) {
	for _, n := range slotCounts {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var s *applier.State
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				s, _ = filledState(n)
				runtime.GC()
				runtime.ReadMemStats(&after)
			}
			runtime.KeepAlive(s)
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/slot")
		})
	}
}

func BenchmarkSnapshot(b *testing.B) {
	for _, n := range slotCounts {
		s, _ := filledState(n)
		data, err := applier.EncodeSnapshot(s)
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("encode/", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = applier.EncodeSnapshot(s)
			}
			b.ReportMetric(float64(len(data)), "B")
		})
		b.Run(fmt.Sprint("decode/", n), func(b *testing.B) {
			for b.Loop() {
				_, _ = applier.DecodeSnapshot(data)
			}
		})
	}
}

// BenchmarkRegisterHost measures a command that copies the map of hosts, at the number of hosts that the system is
// designed for.
func BenchmarkRegisterHost(b *testing.B) {
	var s *applier.State
	register := func(i int) {
		index := uint64(1)
		if s != nil {
			index = s.Index + 1
		}
		s, _ = s.Apply(index, applier.Command{
			RegisterHost: &applier.RegisterHostMsg{
				Host: applier.Host{
					Name:        fmt.Sprint("host", i),
					Incarnation: index,
				},
			},
		})
	}
	const hosts = 6500
	for i := range hosts {
		register(i)
	}
	for i := 0; b.Loop(); i++ {
		register(i % hosts)
	}
}

// BenchmarkRegisterAllHosts measures the registration of all hosts after a restart, in batches as large as the
// controller's.
func BenchmarkRegisterAllHosts(b *testing.B) {
	const hosts, batchSize = 6500, 512
	for b.Loop() {
		s := &applier.State{}
		for first := 0; first < hosts; first += batchSize {
			batch := applier.NewBatch(s)
			for i := first; i < min(hosts, first+batchSize); i++ {
				batch.Apply(uint64(i+1), applier.Command{
					RegisterHost: &applier.RegisterHostMsg{
						Host: applier.Host{
							Name: fmt.Sprint("host", i),
						},
					},
				})
			}
			s = batch.State()
		}
	}
}
