package loadgenerator

import (
	"math/rand/v2"
	"strconv"
	"time"
)

// keySource draws the keys of one service.
type keySource struct {
	t    Traffic
	zipf *rand.Zipf
	rng  *rand.Rand
}

func newKeySource(t Traffic, rng *rand.Rand) *keySource {
	k := &keySource{
		t:   t,
		rng: rng,
	}
	if t.Zipf > 1 {
		k.zipf = rand.NewZipf(rng, t.Zipf, 1, uint64(t.Keys-1))
	}
	return k
}

// draw returns the key of a request that arrives at the given time after the start.
func (k *keySource) draw(at time.Duration) string {
	n := 0
	switch {
	case k.t.HotKeys > 0 && k.rng.Float64() < k.t.HotShare:
		generation := 0
		if k.t.HotMove > 0 {
			generation = int(at / k.t.HotMove)
		}
		n = (generation*k.t.HotKeys + k.rng.IntN(k.t.HotKeys)) % k.t.Keys
	case k.zipf != nil:
		n = int(k.zipf.Uint64())
	default:
		n = k.rng.IntN(k.t.Keys)
	}
	return "key" + strconv.Itoa(n)
}
