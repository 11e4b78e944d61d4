package controller_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"

	qt "github.com/frankban/quicktest"
)

// BenchmarkCommit measures a commit in a group over loopback, with one proposal at a time and with 64 at a time.
func BenchmarkCommit(b *testing.B) {
	for _, n := range []int{1, 3, 5} {
		c := qt.New(b)
		g := startGroup(c, n)
		g.takeOut("first", "dc1")
		leader := g.hosts[g.leader()]
		ctx := context.Background()
		var id atomic.Int64
		b.Run(fmt.Sprintf("%dvoters/1", n), func(b *testing.B) {
			for b.Loop() {
				if _, err := leader.Propose(ctx, takeOut(fmt.Sprint(id.Add(1)), "dc1")); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("%dvoters/64", n), func(b *testing.B) {
			b.SetParallelism(7)
			b.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					if _, err := leader.Propose(ctx, takeOut(fmt.Sprint(id.Add(1)), "dc1")); err != nil {
						b.Error(err)
						return
					}
				}
			})
		})
	}
}
