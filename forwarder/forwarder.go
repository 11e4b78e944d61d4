// Package forwarder is the HTTP reverse proxy of an entry host. For each request of a caller it finds the route,
// chooses a target, forwards the request, retries it where that is safe, and returns the answer. A request that cannot
// be served is refused at once. A refusal says that the request did not run, and is given only where no target may have
// run it.
package forwarder

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/prioritizer"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/retrier"
	"bramleyline.example/bramleyline/revalidator"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/shaper"
	"bramleyline.example/bramleyline/viewer"
)

// initialServiceTime is the expected service time of a route's requests before their first answer.
const initialServiceTime = 80 * time.Millisecond

// serviceTimeSmoothing is the weight of the latest answer in the exponentially weighted moving average of a route's
// service time.
const serviceTimeSmoothing = 0.05

// Options are the dependencies and limits of a Forwarder. View, Codec, Sender, Selector, Limiter and Log are required.
type Options struct {
	// View returns the newest view of this host and a channel that is closed when there is a newer one.
	View func() (*viewer.View, <-chan struct{})
	// Codec reads and writes the headers of callers and targets.
	Codec    Codec
	Sender   *sender.Sender
	Selector *selector.Selector
	// Limiter knows the limits that targets state.
	Limiter  *limiter.Limiter
	Recorder *recorder.Recorder
	Log      *log.Logger
	// ViewAge returns the age of the view: the time since a control host last confirmed it. It may be nil.
	ViewAge func() time.Duration
	// Staleness returns the time since the view was last known to have every committed change. It may be nil.
	Staleness func() time.Duration
	// Validity decides whether a target may get requests that this host knows from a stale view, and remembers which targets
	// have confirmed that they take some. Nil means that the view is always fresh.
	Validity *revalidator.Revalidator[registrar.Incarnation]
	// Quarantiner detects requests that crash their targets; it may be nil.
	Quarantiner *quarantiner.Quarantiner
	// Dial opens connections to targets that show whether they listen; nil means a net.Dialer.
	Dial sender.DialFunc
	// Links tells whether this host has lost its links to targets, and Relay passes a request to another host then. Both may
	// be nil.
	Links Links
	Relay func(ctx context.Context, r *acceptor.Request, deadline time.Time) (*acceptor.Answer, *sender.Fault)
	// Stopping describes the planned stop of this host, and reports whether one is in progress. It may be nil.
	Stopping func() (Stop, bool)
	// Link schedules the host's link; nil, or one that is not active, means that uploads are sent like other requests.
	Link *shaper.Shaper
	// Meter receives the demand and the observed times of keyed services; it may be nil.
	Meter Meter
	// Arrivals receives the arriving work of all services; it may be nil.
	Arrivals ArrivalMeter
	// Demand returns the demand of all hosts for a service, by priority, and its age; ok is false if it is not known. It may
	// be nil.
	Demand func(service string) (byPriority []prioritizer.Demand, age time.Duration, ok bool)
	// Limits bounds retries, requests to cold targets and requests to owners that are leaving.
	Limits Limits
}

// Limits bounds what is sent to targets. The limits of retries and of cold targets apply to all hosts together.
type Limits struct {
	// RetryShare is the retry budget: the number of retries as a share of first attempts.
	RetryShare float64
	// RetrySlack is the number of retries beyond that share that all hosts together may send to a service.
	RetrySlack float64
	// Restarted says that this host may have used its part of that slack before, in an earlier process.
	Restarted bool
	// ColdFactor and ColdSlack give the limit of a cold target, in requests per second: the service's ColdRate x factor
	// + slack.
	ColdFactor float64
	ColdSlack  float64
	// DrainTime is how long the owner of a key still gets requests after this host learned that it is draining, and
	// OutTime after this host learned that operators took its data centre out.
	DrainTime time.Duration
	OutTime   time.Duration
	// DrainBound and OutBound are the same, counted from the latest time at which that was certainly not committed. Zero means no
	// bound.
	DrainBound time.Duration
	OutBound   time.Duration
}

// Meter measures the load on the keys of keyed services and the observed slowness of their targets.
type Meter interface {
	// RecordDemand records a request at its arrival, whether it can be served or not, since the requests served show no
	// more than the capacity of the owners. serviceTime is the expected service time.
	RecordDemand(service string, key uint16, serviceTime time.Duration)
	// ObserveSlowness records that a target without a queue took the time took for a request whose expected service
	// time is serviceTime.
	ObserveSlowness(service, target string, took, serviceTime time.Duration)
}

// Forwarder implements acceptor.Handler. Make it with New.
type Forwarder struct {
	opts Options
	// onTimeAnswers counts answers within the objective of their route; a sample of them is logged.
	onTimeAnswers atomic.Uint64
	retryBudgets  sync.Map // service to *retrier.Budget
	serviceTimes  sync.Map // route to *serviceTimeEstimate
	splits        sync.Map // route to *weightedRoundRobin
	uploads       uploads
	loads         sync.Map // service to *serviceLoad
	timeouts      sync.Map // route to *timeoutEstimate
}

// serviceTimeEstimate is the expected service time of the requests of one route, an exponentially weighted moving
// average.
type serviceTimeEstimate struct {
	mu   sync.Mutex
	mean time.Duration
}

// New returns a Forwarder.
func New(o Options) *Forwarder {
	return &Forwarder{
		opts: o,
	}
}

// Handle forwards one request and returns the answer for the caller.
func (f *Forwarder) Handle(ctx context.Context, r *acceptor.Request) *acceptor.Answer {
	x := exchange{
		f:   f,
		req: r,
	}
	defer x.release()
	defer x.leave()
	return x.run(ctx)
}

// HandleRelayed forwards a request that another host passed on. It is not passed on again.
func (f *Forwarder) HandleRelayed(ctx context.Context, r *acceptor.Request) *acceptor.Answer {
	x := exchange{
		f:       f,
		req:     r,
		relayed: true,
	}
	defer x.release()
	defer x.leave()
	return x.run(ctx)
}

func (f *Forwarder) retryBudget(service string) *retrier.Budget {
	if b, ok := f.retryBudgets.Load(service); ok {
		return b.(*retrier.Budget)
	}
	fresh := &retrier.Budget{
		Burst: max(1, int(f.opts.Limits.RetrySlack)),
	}
	if f.opts.Limits.Restarted {
		fresh.Resize(0)
	}
	b, _ := f.retryBudgets.LoadOrStore(service, fresh)
	return b.(*retrier.Budget)
}

// withdrawRetry takes a retry from the budget of a service and reports whether there was one. The slack is shared with the
// other hosts of the newest view.
func (f *Forwarder) withdrawRetry(service string) bool {
	b := f.retryBudget(service)
	if v, _ := f.opts.View(); v != nil {
		b.Resize(v.Share(int(f.opts.Limits.RetrySlack), service))
	}
	return b.Withdraw(f.opts.Limits.RetryShare)
}

func (f *Forwarder) serviceTime(route string) *serviceTimeEstimate {
	if e, ok := f.serviceTimes.Load(route); ok {
		return e.(*serviceTimeEstimate)
	}
	e, _ := f.serviceTimes.LoadOrStore(route, &serviceTimeEstimate{
		mean: initialServiceTime,
	})
	return e.(*serviceTimeEstimate)
}

func (e *serviceTimeEstimate) expected() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.mean
}

func (e *serviceTimeEstimate) update(took time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mean += time.Duration(serviceTimeSmoothing * float64(took-e.mean))
}

// weightedRoundRobin distributes the requests of a route over its services by smooth weighted round-robin, so that each
// service gets its share of even a few requests.
type weightedRoundRobin struct {
	mu      sync.Mutex
	parts   []matcher.Part
	credits []float64
}

func (f *Forwarder) chooseService(route *matcher.Route) string {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	v, _ := f.splits.LoadOrStore(route.Name, &weightedRoundRobin{})
	return v.(*weightedRoundRobin).next(route.Split)
}

func (s *weightedRoundRobin) next(parts []matcher.Part) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	total := 0.0
	for _, p := range parts {
		total += p.Weight
	}
	if !slices.Equal(s.parts, parts) {
		s.parts, s.credits = parts, make([]float64, len(parts))
		for i, p := range parts {
			// Hosts start with random credits, so that they do not all begin with the same service.
			s.credits[i] = rand.Float64() * p.Weight
		}
	}
	best := 0
	for i, p := range parts {
		s.credits[i] += p.Weight
		if s.credits[i] > s.credits[best] || parts[best].Weight == 0 {
			best = i
		}
	}
	s.credits[best] -= total
	return parts[best].Service
}
