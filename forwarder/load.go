package forwarder

import (
	"expvar"
	"math/rand/v2"
	"sync"
	"time"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/classifier"
	"bramleyline.example/bramleyline/prioritizer"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// minClassified is the number of answers that the class of a service needs, and maxClassified the number of the latest ones
	// by which it is classified. maxClassified also bounds those of the mean variation.
	minClassified = 20
	maxClassified = 200
	// demandMaxAge is the age from which the demand of all hosts counts as unknown.
	demandMaxAge = 2 * time.Second
	// loadRefresh is the least time between two computations of the shares of a service.
	loadRefresh = 50 * time.Millisecond
	// overloadLogInterval is the least time between two log lines about the capacity of a service.
	overloadLogInterval = time.Second
	// maxVariation bounds a report of how much slower a target is than its rating.
	maxVariation = 5
)

var counters = expvar.NewMap("forwarder")

// serviceLoad is what this host knows of the load of one service as a whole.
type serviceLoad struct {
	prioritizer prioritizer.Prioritizer
	arrivals    prioritizer.Arrivals

	mu sync.Mutex
	// class tells whether requests are long.
	class classifier.Classifier
	// variation is the mean of the slowness that answers report divided by the rated slowness of their target, and
	// variationSamples the number of reports that it covers.
	variation        float64
	variationSamples int
	refreshedAt      time.Time
	// overloaded is the state that was logged last, at loggedAt.
	overloaded bool
	loggedAt   time.Time
}

func (f *Forwarder) serviceLoad(service string) *serviceLoad {
	if l, ok := f.loads.Load(service); ok {
		return l.(*serviceLoad)
	}
	l, _ := f.loads.LoadOrStore(service, &serviceLoad{
		class: classifier.Classifier{
			MinSamples: minClassified,
			MaxSamples: maxClassified,
		},
		prioritizer: prioritizer.Prioritizer{
			Phase: rand.Float64(),
		},
	})
	return l.(*serviceLoad)
}

func (f *Forwarder) timeout(route string) *timeoutEstimate {
	if e, ok := f.timeouts.Load(route); ok {
		return e.(*timeoutEstimate)
	}
	e, _ := f.timeouts.LoadOrStore(route, &timeoutEstimate{})
	return e.(*timeoutEstimate)
}

// observe records the service time of an answer.
func (l *serviceLoad) observe(took time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.class.Observe(took)
}

// observeVariation records the slowness that a target reported.
func (l *serviceLoad) observeVariation(t *viewer.Target, load *selector.Load) {
	if load == nil || load.Slowness <= 0 {
		return
	}
	variation := load.Slowness
	if t.Slowness > 0 {
		variation /= t.Slowness
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.variationSamples = min(l.variationSamples+1, maxClassified)
	l.variation += (min(variation, maxVariation) - l.variation) / float64(l.variationSamples)
}

func (l *serviceLoad) long() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.class.Long()
}

// refresh computes the shares of the service, unless that was done a short time ago.
func (l *serviceLoad) refresh(now time.Time, v *viewer.View, pool *viewer.Pool, o *Options) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.refreshedAt) < loadRefresh {
		return
	}
	l.refreshedAt = now
	c := pool.Capacity()
	svc := pool.Service
	capacity := c.Warm
	if l.variationSamples > 0 {
		capacity /= max(1, l.variation)
	}
	if c.Cold > 0 {
		capacity += float64(c.Cold) * (svc.ColdRate*o.Limits.ColdFactor + o.Limits.ColdSlack) * l.class.Mean().Seconds()
	}
	demand, known := l.demand(now, v, svc.Name, o)
	for i := range demand {
		demand[i].Slack = v.Table.TightestTimeout(svc.Name, demand[i].Priority) - l.class.Mean()
	}
	l.prioritizer.Update(capacity, demand)
	pressure := l.prioritizer.Pressure()
	if pressure > 1 != l.overloaded && now.Sub(l.loggedAt) >= overloadLogInterval {
		l.overloaded, l.loggedAt = pressure > 1, now
		o.Log.Info("capacity", "service", svc.Name, "overloaded", l.overloaded, "pressure", pressure, "slots", capacity,
			"variation", l.variation, "demandKnown", known)
	}
}

// demand returns the demand of all hosts. known is false if it is an estimate from the arrivals at this host.
func (l *serviceLoad) demand(now time.Time, v *viewer.View, service string, o *Options) (d []prioritizer.Demand, known bool) {
	if o.Demand != nil {
		if d, age, ok := o.Demand(service); ok && age < demandMaxAge {
			return d, true
		}
	}
	return l.arrivals.Demand(now, v.Hosts), false
}

// considerLoad learns what the request tells of the load of its service, and refuses it if its priority has no share of the
// capacity left. It is called before the request is sent or waits for anything. Where the service answers fast it does
// nothing.
func (x *exchange) considerLoad(now time.Time, v *viewer.View, pool *viewer.Pool) *acceptor.Answer {
	l := x.f.serviceLoad(x.service.Name)
	if !l.long() {
		return nil
	}
	age := x.f.timeout(x.route.Name).observe(now, x.call.CallerTimeout)
	l.arrivals.Record(now, x.route.Priority, x.f.serviceTime(x.route.Name).expected())
	l.refresh(now, v, pool, &x.f.opts)
	if !l.prioritizer.Contended() {
		return nil
	}
	x.load, x.age = l, age
	x.returning = x.age >= prioritizer.MinRetryAfter
	if x.returning {
		counters.Add("returning", 1)
	}
	if l.prioritizer.Admit(prioritizer.Request{
		Route:     x.route.Name,
		Priority:  x.route.Priority,
		Returning: x.returning,
	}) {
		counters.Add("admitted", 1)
		return nil
	}
	counters.Add("refusedByPriority", 1)
	left := timeout(x.route, x.call) - now.Sub(x.req.Arrived)
	return x.refuse(reasonPriority, l.prioritizer.RetryAfter(left, rand.Float64()))
}
