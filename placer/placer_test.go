package placer

import (
	"flag"
	"math"
	"math/rand/v2"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"bramleyline.example/bramleyline/configurer"
)

func equalWeights(n int) Placer {
	p := Placer{Weights: make([]int, n)}
	for i := range p.Weights {
		p.Weights[i] = 1
	}
	return p
}

// applyMoves returns the owners after moves.
func applyMoves(owners []int32, moves []Move) []int32 {
	next := append([]int32(nil), owners...)
	for _, m := range moves {
		next[m.Slot] = m.To
	}
	return next
}

// initialOwners returns the owners after placing slots without an owner.
func initialOwners(p Placer, slots int) []int32 {
	owners := make([]int32, slots)
	for i := range owners {
		owners[i] = NoOwner
	}
	return applyMoves(owners, p.Place(owners))
}

// TestPlace guards against uneven shares, and against moves beyond those that the change of the owners needs.
func TestPlace(t *testing.T) {
	qt.Assert(t, flag.Set("rapid.seed", "20261204"), qt.IsNil)
	qt.Assert(t, flag.Set("rapid.nofailfile", "true"), qt.IsNil)
	rapid.Check(t, func(t *rapid.T) {
		p := Placer{Weights: rapid.SliceOfN(rapid.IntRange(0, 3), 1, 12).Draw(t, "weights")}
		owners := rapid.SliceOfN(rapid.Int32Range(-1, int32(len(p.Weights))), 1, 200).Draw(t, "owners")
		total := 0
		for _, w := range p.Weights {
			total += w
		}
		moves := p.Place(owners)
		if total == 0 {
			if len(moves) > 0 {
				t.Fatalf("%d moves without an owner", len(moves))
			}
			return
		}
		held := make([]int, len(p.Weights))
		for _, o := range applyMoves(owners, moves) {
			held[o]++
		}
		forced := 0
		for _, o := range owners {
			if o < 0 || int(o) >= len(p.Weights) || p.Weights[o] == 0 {
				forced++
			}
		}
		excess := 0
		for i, w := range p.Weights {
			share := float64(len(owners)*w) / float64(total)
			if math.Abs(float64(held[i])-share) >= 1 {
				t.Fatalf("owner %d holds %d of %f", i, held[i], share)
			}
			before := 0
			for _, o := range owners {
				if int(o) == i && w > 0 {
					before++
				}
			}
			excess += max(0, before-held[i])
		}
		if again := p.Place(applyMoves(owners, moves)); len(moves) != forced+excess || len(again) != 0 {
			t.Fatalf("%d moves, %d needed, %d the second time", len(moves), forced+excess, len(again))
		}
	})
}

// TestChurn guards against more moves than the least possible when one of 20 targets is lost and when it is back.
func TestChurn(t *testing.T) {
	c := qt.New(t)
	for _, slots := range []int{1024, 131072} {
		p := equalWeights(20)
		owners := initialOwners(p, slots)
		p.Weights[7] = 0
		lost := p.Place(owners)
		ownersAfterLoss := applyMoves(owners, lost)
		p.Weights[7] = 1
		joined := p.Place(ownersAfterLoss)
		hashModMoves, lostShare := 0, 0
		for s, o := range owners {
			if s%20 != s%19 {
				hashModMoves++
			}
			if o == 7 {
				lostShare++
			}
		}
		c.Check(len(lost), qt.Equals, lostShare)
		c.Check(len(joined), qt.Equals, slots/20)
		c.Logf("%d slots, 20 targets: lost %d moves (least %d, hash mod n %d), joined %d moves (least %d)",
			slots, len(lost), lostShare, hashModMoves, len(joined), slots/20)
	}
}

// TestRebalance guards against moves beyond the budget, moves that do not lower the imbalance, and a hot slot that
// moves from owner to owner.
func TestRebalance(t *testing.T) {
	c := qt.New(t)
	r := configurer.DefaultService("tally").Rebalance
	rnd := rand.New(rand.NewPCG(1, 2))
	p := equalWeights(20)
	owners := initialOwners(p, 1024)
	loads := make([]float64, 1024)
	zipf := rand.NewZipf(rnd, 1.1, 1, 1<<20)
	for range 200000 {
		loads[zipf.Uint64()*2654435761%1024]++
	}
	hottest := 0
	for s := range loads {
		if loads[s] > loads[hottest] {
			hottest = s
		}
	}
	before := p.Imbalance(owners, loads)
	active, rounds, total := false, 0, 0
	for ; rounds < 20; rounds++ {
		moves := p.Rebalance(owners, loads, r, r.MoveBudget, active)
		c.Assert(len(moves) <= r.MoveBudget, qt.IsTrue)
		if len(moves) == 0 {
			break
		}
		for _, m := range moves {
			c.Assert(int(m.Slot), qt.Not(qt.Equals), hottest)
		}
		active = true
		total += len(moves)
		owners = applyMoves(owners, moves)
		if rounds == 0 {
			c.Logf("imbalance %.3f, after one window of %d moves %.3f", before, len(moves), p.Imbalance(owners, loads))
		}
	}
	after := p.Imbalance(owners, loads)
	c.Logf("after %d windows and %d moves %.3f; hottest slot alone %.3f of the mean", rounds, total, after, loads[hottest]*20/200000)
	c.Assert(after < before, qt.IsTrue)
	c.Assert(p.Rebalance(owners, loads, r, 0, true), qt.HasLen, 0)
}
