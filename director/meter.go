package director

import (
	"math"
	"sync"
	"time"

	"bramleyline.example/bramleyline/coordinator"
)

// meter collects the load of keys and the slowness of targets for the next report to the control leader. It implements
// forwarder.Meter.
type meter struct {
	mu       sync.Mutex
	services map[string]*serviceMeter
}

// serviceMeter holds the measurements of one service.
type serviceMeter struct {
	// keys holds the key of each request, and serviceTimes its expected service time in milliseconds.
	keys         []uint16
	serviceTimes []uint16
	// slowness holds the average slowness of each target, by target ID.
	slowness map[string]*slownessAverage
}

type slownessAverage struct {
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
			slowness: make(map[string]*slownessAverage),
		}
		m.services[name] = s
	}
	return s
}

// RecordDemand records the key and the expected service time of a request. A report has only the first
// maxReportedRequests requests of a service, as a sample.
func (m *meter) RecordDemand(service string, key uint16, expected time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	if len(s.keys) >= maxReportedRequests {
		return
	}
	s.keys = append(s.keys, key)
	s.serviceTimes = append(s.serviceTimes, uint16(min(math.MaxUint16, expected.Milliseconds())))
}

// ObserveSlowness records the slowness of a target that answered a request: the time that it took as a multiple of the
// expected one.
func (m *meter) ObserveSlowness(service, target string, took, expected time.Duration) {
	if expected <= 0 {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	s := m.service(service)
	average, ok := s.slowness[target]
	if !ok {
		average = &slownessAverage{}
		s.slowness[target] = average
	}
	if average.count < math.MaxUint16 {
		average.count++
		average.sum += float64(took) / float64(expected)
	}
}

// take returns the collected measurements and clears them.
func (m *meter) take() []coordinator.ServiceLoadMsg {
	m.mu.Lock()
	services := m.services
	m.services = nil
	m.mu.Unlock()
	var observations []coordinator.ServiceLoadMsg
	for name, s := range services {
		w := coordinator.ServiceLoadMsg{
			Service: name,
			Keys:    s.keys,
			Work:    s.serviceTimes,
		}
		for id, average := range s.slowness {
			w.Paces = append(w.Paces, coordinator.SlownessMsg{
				Target:   id,
				Count:    average.count,
				Slowness: float32(average.sum / float64(average.count)),
			})
		}
		observations = append(observations, w)
	}
	return observations
}
