package director

import (
	"math"
	"sync"
	"time"

	"bramleyline.example/bramleyline/coordinator"
)

// meter collects what the next report tells the control leader. It implements forwarder.Meter.
type meter struct {
	mu       sync.Mutex
	services map[string]*serviceMeter
}

type serviceMeter struct {
	keys  []uint16
	work  []uint16
	paces map[string]*paceMeter
}

type paceMeter struct {
	count uint16
	sum   float64
}

func (m *meter) service(name string) *serviceMeter {
	if m.services == nil {
		m.services = make(map[string]*serviceMeter)
	}
	s, ok := m.services[name]
	if !ok {
		s = &serviceMeter{
			paces: make(map[string]*paceMeter),
		}
		m.services[name] = s
	}
	return s
}

// Demand counts a request. Beyond maxReport the requests of one report are a sample.
func (m *meter) Demand(service string, key uint16, work time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	if len(s.keys) >= maxReport {
		return
	}
	s.keys = append(s.keys, key)
	s.work = append(s.work, uint16(min(math.MaxUint16, work.Milliseconds())))
}

// Pace counts an answer.
func (m *meter) Pace(service, target string, took, work time.Duration) {
	if work <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	p, ok := s.paces[target]
	if !ok {
		p = &paceMeter{}
		s.paces[target] = p
	}
	if p.count < math.MaxUint16 {
		p.count++
		p.sum += float64(took) / float64(work)
	}
}

// take returns what was collected and begins anew.
func (m *meter) take() []coordinator.WorkMsg {
	m.mu.Lock()
	services := m.services
	m.services = nil
	m.mu.Unlock()
	var work []coordinator.WorkMsg
	for name, s := range services {
		w := coordinator.WorkMsg{
			Service: name,
			Keys:    s.keys,
			Work:    s.work,
		}
		for id, p := range s.paces {
			w.Paces = append(w.Paces, coordinator.SlownessMsg{
				Target:   id,
				Count:    p.count,
				Slowness: float32(p.sum / float64(p.count)),
			})
		}
		work = append(work, w)
	}
	return work
}
