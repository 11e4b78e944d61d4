package loadgenerator

import (
	"math/rand/v2"
	"net/http"
	"time"
)

// request is a request to send: its record and the part of the traffic that it belongs to.
type request struct {
	record  Record
	traffic *Traffic
}

// mixer draws requests from the parts of the traffic in proportion to their shares.
type mixer struct {
	rng        *rand.Rand
	mix        []Traffic
	keys       []*keySource
	writes     []int
	totalShare float64
}

func newMixer(mix []Traffic, rng *rand.Rand) *mixer {
	m := &mixer{
		rng:    rng,
		mix:    mix,
		writes: make([]int, len(mix)),
	}
	for _, t := range mix {
		m.keys = append(m.keys, newKeySource(t, rng))
		m.totalShare += t.Share
	}
	return m
}

func (m *mixer) draw(offset time.Duration) request {
	x := m.rng.Float64() * m.totalShare
	i := 0
	for i < len(m.mix)-1 && x >= m.mix[i].Share {
		x -= m.mix[i].Share
		i++
	}
	t := &m.mix[i]
	r := Record{
		Service:    t.Service,
		Method:     http.MethodGet,
		Idempotent: true,
	}
	if t.Key != "" {
		r.Key = m.keys[i].draw(offset)
	}
	if m.rng.Float64() < t.WriteShare {
		r.Method = http.MethodPost
		r.Idempotent = false
		m.writes[i]++
		r.Poison = t.PoisonEvery > 0 && m.writes[i]%t.PoisonEvery == 0
	}
	return request{
		record:  r,
		traffic: t,
	}
}
