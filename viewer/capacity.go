package viewer

import "sync"

// Capacity is the capacity of a pool.
type Capacity struct {
	// Warm is the number of slots of usual speed of the targets that are neither cold, draining nor out of service.
	Warm float64
	// Cold is the number of cold targets among the others.
	Cold int
}

// capacityCache holds the capacity of the pools that have the same targets. It is computed when it is first asked for.
type capacityCache struct {
	once  sync.Once
	value Capacity
}

// Capacity returns the capacity of the pool, of a keyed service too.
func (p *Pool) Capacity() Capacity {
	if p.snapshot == nil || p.capacity == nil {
		return Capacity{}
	}
	p.capacity.once.Do(func() { p.capacity.value = p.snapshot.capacity(p.Service.Name) })
	return p.capacity.value
}

func (s *snapshot) capacity(service string) Capacity {
	var c Capacity
	for _, t := range s.registry.Pool(service).All() {
		_, out := s.outSince[t.DataCentre]
		switch {
		case t.Draining || out || !t.Addr.IsValid():
		case t.Cold:
			c.Cold++
		case t.Slowness > 0:
			c.Warm += float64(max(1, t.Slots)) / t.Slowness
		default:
			c.Warm += float64(max(1, t.Slots))
		}
	}
	return c
}
