package loadgenerator

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// keySource draws the keys of one service.
type keySource struct {
	traffic Traffic
	zipf    *rand.Zipf
	rng     *rand.Rand
}

func newKeySource(t Traffic, rng *rand.Rand) *keySource {
	k := &keySource{
		traffic: t,
		rng:     rng,
	}
	if t.Zipf > 1 {
		k.zipf = rand.NewZipf(rng, t.Zipf, 1, uint64(t.Keys-1))
	}
	return k
}

// draw returns the key of a request that arrives at the given offset from the start of the run.
func (k *keySource) draw(offset time.Duration) string {
	n := 0
	switch {
	case k.traffic.HotKeys > 0 && k.rng.Float64() < k.traffic.HotShare:
		generation := 0
		if k.traffic.HotMove > 0 {
			generation = int(offset / k.traffic.HotMove)
		}
		n = (generation*k.traffic.HotKeys + k.rng.IntN(k.traffic.HotKeys)) % k.traffic.Keys
	case k.zipf != nil:
		n = int(k.zipf.Uint64())
	default:
		n = k.rng.IntN(k.traffic.Keys)
	}
	return "key" + strconv.Itoa(n)
}
