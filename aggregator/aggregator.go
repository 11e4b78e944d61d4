// Package aggregator is a load aggregation tree with delta updates. Entry hosts report their requests in flight at each target
// to a control host, which adds them up, exchanges the sums with the other control hosts and answers with what changed.
package aggregator

import (
	"expvar"
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// hostTimeout is the time after which a host without a report, or a control host without an exchange, is dropped.
	hostTimeout = 2 * time.Second
	// demandTime is the time constant of the average of the demand of one host.
	demandTime = time.Second
	// maxElapsed bounds the time that one report may cover.
	maxElapsed = 10 * time.Second
	// refreshInterval is the least time between two computations of the sums of the demand. Reports of 92 hosts arrive 300 times
	// a second if there is one control host.
	refreshInterval = 50 * time.Millisecond
)

var counters = expvar.NewMap("aggregator")

// Aggregator adds up the loads that the hosts of one control host report and those of the other control hosts. The zero value
// is ready to use. It is safe for concurrent use. Times that are passed to its methods must not go back.
type Aggregator struct {
	mu sync.Mutex
	// own holds the sums over the hosts that report here, which other control hosts read, total those over all hosts.
	own, total table
	hosts      map[string]*host
	peers      map[string]*peer

	refreshedAt   time.Time
	ownServices   []ServiceMsg
	totalServices []ServiceMsg
}

// host is what an entry host reported.
type host struct {
	counts     map[uint32]int
	demand     map[string]map[int]*rate
	reportedAt time.Time
}

// peer is what another control host passed on.
type peer struct {
	reader Reader
	counts map[uint32]int
}

// rate is a moving average of busy slots.
type rate struct {
	mean     float64
	observed time.Duration
}

func (r *rate) update(busySlots float64, elapsed time.Duration) {
	elapsed = min(max(elapsed, time.Millisecond), maxElapsed)
	r.observed += elapsed
	// The first reports have the weight of their share of the time observed so far, since there is nothing to average with.
	weight := max(1-math.Exp(-elapsed.Seconds()/demandTime.Seconds()), elapsed.Seconds()/r.observed.Seconds())
	r.mean += weight * (busySlots - r.mean)
}

// Demand is the arriving work of one priority of a service.
type Demand struct {
	// Priority is that of routes; zero is the most urgent.
	Priority int
	// BusySlots is the number of slots that the work keeps busy at usual slowness.
	BusySlots float64
}

// Report takes the report of an entry host and returns what changed for it. An error says that the report is malformed.
func (a *Aggregator) Report(now time.Time, m *ReportMsg) (*UpdateMsg, error) {
	observations, err := decodeReport(now, m.Targets)
	if err != nil {
		counters.Add("malformed", 1)
		return nil, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.hosts == nil {
		a.hosts = make(map[string]*host)
	}
	h, ok := a.hosts[m.Host]
	if !ok {
		h = &host{}
		a.hosts[m.Host] = h
		a.refreshedAt = time.Time{}
	}
	counts := make(map[uint32]int, len(observations))
	for _, o := range observations {
		if o.InFlight > 0 {
			counts[o.Target] += o.InFlight
		}
		a.own.setLoad(o.Target, o.Load)
		a.total.setLoad(o.Target, o.Load)
	}
	a.replace(h.counts, counts, true)
	h.counts, h.reportedAt = counts, now
	h.observe(m)
	a.refresh(now)
	u := a.total.update(now, m.Known)
	u.Services, u.Hosts, u.Age = a.totalServices, a.hostCount(), a.age(now)
	counters.Add("reports", 1)
	counters.Add("reportBytes", int64(len(m.Targets)))
	counters.Add("updateBytes", int64(len(u.Targets)))
	return u, nil
}

// observe updates the demand of the host.
func (h *host) observe(m *ReportMsg) {
	demand := make(map[string]map[int]*rate, len(m.Services))
	for _, s := range m.Services {
		rates := h.demand[s.Service]
		if rates == nil {
			rates = make(map[int]*rate)
		}
		demand[s.Service] = rates
		arrived := make(map[int]float64, len(s.Demand))
		for _, d := range s.Demand {
			arrived[d.Priority] += float64(d.BusySlots)
			if rates[d.Priority] == nil {
				rates[d.Priority] = &rate{}
			}
		}
		for priority, r := range rates {
			r.update(arrived[priority], m.Elapsed)
		}
	}
	h.demand = demand
}

// Exchange returns what changed in the sums over the hosts that report here, for another control host.
func (a *Aggregator) Exchange(now time.Time, known Position) *UpdateMsg {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	u := a.own.update(now, known)
	u.Services, u.Hosts, u.Age = a.ownServices, len(a.hosts), a.ownAge(now)
	counters.Add("exchangeBytes", int64(len(u.Targets)))
	return u
}

// Known returns what this host has read from another control host, for the next exchange.
func (a *Aggregator) Known(name string) Position {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p, ok := a.peers[name]; ok {
		return p.reader.Position()
	}
	return Position{}
}

// Learn takes the answer of another control host to an exchange. An error says that the answer is malformed.
func (a *Aggregator) Learn(now time.Time, name string, m *UpdateMsg) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.peers == nil {
		a.peers = make(map[string]*peer)
	}
	p, ok := a.peers[name]
	if !ok {
		p = &peer{}
		a.peers[name] = p
	}
	if err := p.reader.Apply(now, m); err != nil {
		counters.Add("malformed", 1)
		return err
	}
	counts := make(map[uint32]int)
	for _, o := range p.reader.Observations() {
		if o.InFlight > 0 {
			counts[o.Target] += o.InFlight
		}
		a.total.setLoad(o.Target, o.Load)
	}
	a.replace(p.counts, counts, false)
	p.counts = counts
	return nil
}

// Status describes an Aggregator.
type Status struct {
	// OwnHosts is the number of hosts that report here, Hosts that of all hosts.
	OwnHosts int
	Hosts    int
	// Targets is the number of targets that were reported.
	Targets int
	// Age is the mean age of the reports of all hosts.
	Age time.Duration
}

// Status returns the status at now.
func (a *Aggregator) Status(now time.Time) Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.refresh(now)
	return Status{
		OwnHosts: len(a.hosts),
		Hosts:    a.hostCount(),
		Targets:  len(a.total.entries),
		Age:      a.age(now),
	}
}

// replace replaces the counts of one host or peer in the sums.
func (a *Aggregator) replace(old, latest map[uint32]int, own bool) {
	change := func(id uint32, delta int) {
		if own {
			a.own.add(id, delta)
		}
		a.total.add(id, delta)
	}
	for id, n := range latest {
		change(id, n-old[id])
	}
	for id, n := range old {
		if _, ok := latest[id]; !ok {
			change(id, -n)
		}
	}
}

// refresh drops hosts and peers that stopped and adds up the demand.
func (a *Aggregator) refresh(now time.Time) {
	if !a.refreshedAt.IsZero() && now.Sub(a.refreshedAt) < refreshInterval {
		return
	}
	a.refreshedAt = now
	for name, h := range a.hosts {
		if now.Sub(h.reportedAt) > hostTimeout {
			a.replace(h.counts, nil, true)
			delete(a.hosts, name)
			counters.Add("droppedHosts", 1)
		}
	}
	for name, p := range a.peers {
		if now.Sub(p.reader.ReceivedAt()) > hostTimeout {
			a.replace(p.counts, nil, false)
			delete(a.peers, name)
		}
	}
	sums := make(serviceSums)
	for _, h := range a.hosts {
		for service, rates := range h.demand {
			sums.addHosts(service, 1)
			for priority, r := range rates {
				sums.add(service, priority, r.mean)
			}
		}
	}
	a.ownServices = sums.messages()
	for _, p := range a.peers {
		for _, s := range p.reader.Services() {
			sums.addHosts(s.Service, s.Hosts)
			for _, d := range s.Demand {
				sums.add(s.Service, d.Priority, float64(d.BusySlots))
			}
		}
	}
	a.totalServices = sums.messages()
}

func (a *Aggregator) hostCount() int {
	n := len(a.hosts)
	for _, p := range a.peers {
		n += p.reader.Hosts()
	}
	return n
}

// ownAge returns the mean age of the reports of the hosts that report here.
func (a *Aggregator) ownAge(now time.Time) time.Duration {
	var sum time.Duration
	for _, h := range a.hosts {
		sum += now.Sub(h.reportedAt)
	}
	return sum / time.Duration(max(1, len(a.hosts)))
}

// age returns the mean age of the reports of all hosts.
func (a *Aggregator) age(now time.Time) time.Duration {
	sum, n := a.ownAge(now)*time.Duration(len(a.hosts)), len(a.hosts)
	for _, p := range a.peers {
		sum += p.reader.Age(now) * time.Duration(p.reader.Hosts())
		n += p.reader.Hosts()
	}
	return sum / time.Duration(max(1, n))
}

// serviceSums are the sums of the demand by service.
type serviceSums map[string]*serviceSum

type serviceSum struct {
	hosts  int
	demand map[int]float64
}

func (s serviceSums) service(name string) *serviceSum {
	sum, ok := s[name]
	if !ok {
		sum = &serviceSum{
			demand: make(map[int]float64),
		}
		s[name] = sum
	}
	return sum
}

func (s serviceSums) addHosts(service string, n int) {
	s.service(service).hosts += n
}

func (s serviceSums) add(service string, priority int, busySlots float64) {
	s.service(service).demand[priority] += busySlots
}

func (s serviceSums) messages() []ServiceMsg {
	var messages []ServiceMsg
	for _, name := range slices.Sorted(maps.Keys(s)) {
		m := ServiceMsg{
			Service: name,
			Hosts:   s[name].hosts,
		}
		for _, priority := range slices.Sorted(maps.Keys(s[name].demand)) {
			m.Demand = append(m.Demand, DemandMsg{
				Priority:  priority,
				BusySlots: float32(s[name].demand[priority]),
			})
		}
		messages = append(messages, m)
	}
	return messages
}
