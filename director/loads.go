package director

import (
	"expvar"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/aggregator"
	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/prioritizer"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// classifiedArrivals is the number of the latest arrivals by which a service is classified.
	classifiedArrivals = 50
	// maxDemandAge is the age from which demand counts as unknown.
	maxDemandAge = 2 * time.Second
	// minReporting is the share of the hosts that have to report, so that sums over them are used. Old builds do not report.
	minReporting = 0.5
	// earlyReportInterval is the least time between two reports if the later one is early, as a target became slow.
	earlyReportInterval = 150 * time.Millisecond
	// loadLogInterval is the time between two log lines on learned loads.
	loadLogInterval = 30 * time.Second
)

var loadCounters = expvar.NewMap("loads")

// loads reports the loads of targets and the arriving work that this host observes, and passes on to the selector what it
// learns from the control host. It implements forwarder.ArrivalMeter. Times are those of the selector.
type loads struct {
	name     string
	selector *selector.Selector
	view     func() *viewer.View
	log      *log.Logger

	mu       sync.Mutex
	services map[string]*arrivals
	reader   aggregator.Reader
	targets  map[string]*targetIndex
	// reportedAt is the time of the last report, and acknowledgedAt that of the last one with an answer.
	reportedAt     time.Time
	acknowledgedAt time.Time
	loggedAt       time.Time
}

// arrivals is the work that arrived for one service.
type arrivals struct {
	// class tells whether requests are so long that loads are exchanged.
	class classifier.Classifier
	// work is the work that arrived since the last report, by priority.
	work map[int]time.Duration
}

// targetIndex maps the hashes of the targets of a service to their incarnations.
type targetIndex struct {
	pool    registrar.Pool
	targets map[uint32]registrar.Incarnation
}

// pendingReport is a report that is being sent.
type pendingReport struct {
	msg    *aggregator.ReportMsg
	sentAt time.Time
	// counts are the requests in flight in the report.
	counts map[uint32]int
}

// RecordArrival records the expected service time of a request.
func (l *loads) RecordArrival(service string, priority int, serviceTime time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.services == nil {
		l.services = make(map[string]*arrivals)
	}
	a, ok := l.services[service]
	if !ok {
		a = &arrivals{
			class: classifier.Classifier{
				MaxSamples: classifiedArrivals,
			},
			work: make(map[int]time.Duration),
		}
		l.services[service] = a
	}
	if a.class.Observe(serviceTime) {
		l.log.Info("exchange of loads", "service", service, "active", a.class.Long(), "serviceTime", a.class.Mean())
	}
	a.work[priority] += serviceTime
}

// report returns the next report, whose message is nil while no service meets the condition.
func (l *loads) report(now time.Time) pendingReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	p := pendingReport{
		sentAt: now,
		counts: make(map[uint32]int),
	}
	if l.reportedAt.IsZero() {
		l.reportedAt = now.Add(-reportInterval)
	}
	m := aggregator.ReportMsg{
		Host:    l.name,
		Elapsed: now.Sub(l.reportedAt),
		Known:   l.reader.Position(),
	}
	v := l.view()
	for name, a := range l.services {
		if _, ok := v.Pool(name); !ok {
			// The service is no longer in the traffic table.
			delete(l.services, name)
			delete(l.targets, name)
			continue
		}
		if a.class.Long() {
			m.Services = append(m.Services, a.message(name, m.Elapsed))
		}
		clear(a.work)
	}
	l.reportedAt = now
	if len(m.Services) == 0 {
		l.reader = aggregator.Reader{}
		return p
	}
	members := l.members(m.Services)
	var observations []aggregator.Observation
	for _, o := range l.selector.Observations(l.acknowledgedAt) {
		id := aggregator.ID(o.Target)
		if _, ok := members.find(id); !ok {
			continue
		}
		p.counts[id] = o.InFlight
		observation := aggregator.Observation{
			Target:   id,
			InFlight: o.InFlight,
		}
		if o.ReceivedAt.After(l.acknowledgedAt) {
			observation.Load = aggregator.Load{
				Busy:     o.Load.Running + o.Load.Waiting,
				Slowness: o.Load.Slowness,
				At:       o.ReceivedAt,
			}
		}
		observations = append(observations, observation)
	}
	m.Targets = aggregator.EncodeReport(now, observations)
	p.msg = &m
	loadCounters.Add("reports", 1)
	loadCounters.Add("bytesReported", int64(len(m.Targets)))
	return p
}

func (a *arrivals) message(service string, elapsed time.Duration) aggregator.ServiceMsg {
	m := aggregator.ServiceMsg{
		Service: service,
		Hosts:   1,
	}
	for priority, work := range a.work {
		m.Demand = append(m.Demand, aggregator.DemandMsg{
			Priority:  priority,
			BusySlots: float32(work.Seconds() / max(elapsed, time.Millisecond).Seconds()),
		})
	}
	return m
}

// index returns the incarnations of the targets of a service by their hashes.
func (l *loads) index(service string) map[uint32]registrar.Incarnation {
	p, ok := l.view().Pool(service)
	if !ok {
		return nil
	}
	pool := p.Registered()
	if old, ok := l.targets[service]; ok && old.pool.Same(pool) {
		return old.targets
	}
	x := &targetIndex{
		pool:    pool,
		targets: make(map[uint32]registrar.Incarnation, pool.Len()),
	}
	for _, t := range pool.All() {
		x.targets[aggregator.ID(t.Incarnation)] = t.Incarnation
	}
	if l.targets == nil {
		l.targets = make(map[string]*targetIndex)
	}
	l.targets[service] = x
	return x.targets
}

// learn takes the answer to a report, nil if there was none or an old host answered.
func (l *loads) learn(p pendingReport, m *aggregator.UpdateMsg) {
	if p.msg == nil || m == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	// The answer counts as old as the report, which makes it look older than it is rather than newer.
	if err := l.reader.Apply(p.sentAt, m); err != nil {
		loadCounters.Add("malformed", 1)
		l.log.Warn("answer with loads cannot be read", "err", err)
		return
	}
	l.acknowledgedAt = p.sentAt
	learned := l.learned(p)
	l.selector.Learn(learned)
	loadCounters.Add("answers", 1)
	loadCounters.Add("bytesLearned", int64(len(m.Targets)))
	loadCounters.Add("learned", int64(len(learned)))
	loadCounters.Add("learnedAgeMs", m.Age.Milliseconds())
	if p.sentAt.Sub(l.loggedAt) >= loadLogInterval {
		l.loggedAt = p.sentAt
		l.log.Info("loads learned", "targets", len(learned), "hosts", m.Hosts, "age", m.Age, "bytes", len(m.Targets),
			"bytesReported", len(p.msg.Targets))
	}
}

// learned returns what the reader knows of the targets of services that meet the condition.
func (l *loads) learned(p pendingReport) []selector.Learned {
	members := l.members(l.reader.Services())
	for _, list := range members {
		if list.scale == 0 {
			loadCounters.Add("ignoredSums", 1)
		}
	}
	observedAt := p.sentAt.Add(-l.reader.Age(p.sentAt))
	learned := make([]selector.Learned, 0, len(l.reader.Observations()))
	for _, o := range l.reader.Observations() {
		m, ok := members.find(o.Target)
		if !ok {
			continue
		}
		n := selector.Learned{
			Target: m.incarnation,
			Load: selector.Load{
				Running:  o.Load.Busy,
				Slowness: o.Load.Slowness,
			},
			ReportedAt: o.Load.At,
		}
		if m.scale > 0 {
			n.Others, n.OthersAt = m.scale*float64(max(0, o.InFlight-p.counts[o.Target])), observedAt
		}
		learned = append(learned, n)
	}
	return learned
}

// memberLists are the targets of the services that meet the condition.
type memberLists []memberList

type memberList struct {
	targets map[uint32]registrar.Incarnation
	// scale is what hostScale returns.
	scale float64
}

type member struct {
	incarnation registrar.Incarnation
	scale       float64
}

// members returns the targets of those of services that meet the condition.
func (l *loads) members(services []aggregator.ServiceMsg) memberLists {
	v := l.view()
	if v == nil {
		return nil
	}
	var lists memberLists
	for _, s := range services {
		if a, ok := l.services[s.Service]; ok && a.class.Long() {
			lists = append(lists, memberList{
				targets: l.index(s.Service),
				scale:   hostScale(v.Hosts, s.Hosts),
			})
		}
	}
	return lists
}

func (m memberLists) find(id uint32) (member, bool) {
	for _, list := range m {
		if inc, ok := list.targets[id]; ok {
			return member{
				incarnation: inc,
				scale:       list.scale,
			}, true
		}
	}
	return member{}, false
}

// hostScale returns the factor for sums over the reporting hosts, zero if fewer than minReporting of all hosts report. A host
// that changed its control host may be counted twice for two seconds. Sums of too few hosts are not scaled up: registered hosts
// may have ended for good, and loads that look too high would refuse requests.
func hostScale(hosts, reporting int) float64 {
	switch {
	case float64(reporting) < minReporting*float64(hosts):
		return 0
	case reporting > hosts:
		return float64(hosts) / float64(reporting)
	}
	return 1
}

// earlyWait returns the time until the report that tells that a target became slow, false if no service meets the condition.
func (l *loads) earlyWait(now time.Time) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, a := range l.services {
		if a.class.Long() {
			return max(0, earlyReportInterval-now.Sub(l.reportedAt)), true
		}
	}
	return 0, false
}

// demand returns the arriving work of all hosts for a service by priority, and its age. It is false if that is not known.
func (l *loads) demand(now time.Time, service string) (byPriority []aggregator.Demand, age time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	age = l.reader.Age(now)
	v := l.view()
	if v == nil || l.reader.ReceivedAt().IsZero() || age > maxDemandAge {
		return nil, 0, false
	}
	for _, s := range l.reader.Services() {
		scale := hostScale(v.Hosts, s.Hosts)
		if s.Service != service || scale == 0 {
			continue
		}
		for _, d := range s.Demand {
			byPriority = append(byPriority, aggregator.Demand{
				Priority:  d.Priority,
				BusySlots: scale * float64(d.BusySlots),
			})
		}
		return byPriority, age, true
	}
	return nil, 0, false
}

// Demand is demand at the present time.
func (l *loads) Demand(service string) (byPriority []aggregator.Demand, age time.Duration, ok bool) {
	return l.demand(time.Now(), service)
}

// prioritized returns the demand of all hosts for a service in the form that forwarder.Options.Demand has.
func (l *loads) prioritized(service string) (byPriority []prioritizer.Demand, age time.Duration, ok bool) {
	demands, age, ok := l.Demand(service)
	for _, d := range demands {
		byPriority = append(byPriority, prioritizer.Demand{
			Priority: d.Priority,
			Work:     d.BusySlots,
		})
	}
	return byPriority, age, ok
}
