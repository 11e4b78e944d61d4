package director

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/cacher"
	"bramleyline.example/bramleyline/coordinator"
	"bramleyline.example/bramleyline/forwarder"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/puller"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/revalidator"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// pullWait is how long a control host delays the answer to a pull (long poll) while it has no newer state. It is the
	// interval at which an unresponsive source is detected.
	pullWait = 250 * time.Millisecond
	// reportInterval is the least time between two reports of the load of keys and the slowness of targets, and reportRate
	// the number of reports that one control host receives in a second: at 0.2 ms each they use 2% of a core.
	reportInterval = 300 * time.Millisecond
	reportRate     = 100
	// reportTimeout bounds the call of one report; a lost report is not sent again.
	reportTimeout = 500 * time.Millisecond
	// maxReportedRequests bounds the requests of one service in a report: at 5 bytes each, sending them at 2 Mbit/s takes
	// 40 ms.
	maxReportedRequests = 2048
	// maxSilence is how long pulls may go without an answer until a host with a narrow link counts as overloaded. An answer takes
	// at most pullWait and some milliseconds.
	maxSilence = time.Second
	// trimInterval is the time between two scans for connections and targets that are not used any more.
	trimInterval = 2 * time.Second
	// forgetAfter is how long the statistics of a target are kept after its last request.
	forgetAfter = time.Minute
	// settleInterval is the least time between two checks whether the targets of requests without an answer have ended.
	settleInterval = 250 * time.Millisecond
	// lossInterval is the least time between two reports of losses.
	lossInterval = 50 * time.Millisecond
	// balancerTime is how long the balancer may continue to send new connections after this host became not ready: it
	// checks readiness each second and removes a host after two failed checks.
	balancerTime = 3 * time.Second
	// noticeTime is the time in which the balancer usually notices that, and idleCloseTime the time after it in which idle
	// connections are closed. Callers that connect again go to other hosts then, and none sends a request over a connection
	// that it kept when this host stops to accept them.
	noticeTime    = 2 * time.Second
	idleCloseTime = 600 * time.Millisecond
	// drainShare and outShare are the shares of the settings' DrainTime and OutTime for which an entry host still sends
	// requests after it learned of a drain or a takeout. The rest is for the delay until the last host learns of it: the
	// settings' times begin with the acknowledgement.
	drainShare = 0.15
	outShare   = 0.3
	// boundShare is the share of both times, counted from the latest time at which the drain or takeout was certainly not committed,
	// up to which any request is sent. The rest is for its way to the target: on a narrow link, what other requests have written
	// before it comes first.
	boundShare = 0.7
	// denialTime is how long a health check in which a target did not confirm that it takes requests stands.
	denialTime = 500 * time.Millisecond
	// retrySafety is the share of the allowed retries that hosts use. Their retry budgets also count requests that reach no
	// target, which would allow too many retries.
	retrySafety = 0.8
)

// entry holds the components of an entry host.
type entry struct {
	d        *Director
	builder  viewer.Builder
	sender   *sender.Sender
	selector *selector.Selector
	limiter  *limiter.Limiter
	acceptor *acceptor.Acceptor
	ready    *http.Server
	links    *entryLinks
	memory   *entryMemory

	// silence returns the time since a control host last answered a pull.
	silence func() time.Duration

	mu      sync.Mutex
	view    *viewer.View
	changed chan struct{}
	// viewCurrentAt is what currentAt returned last.
	viewCurrentAt time.Time
	limits        atomic.Pointer[matcher.Limits]
	// stopTimes is nil until the host stops.
	stopTimes atomic.Pointer[forwarder.Stop]

	meter meter
	// validity remembers which targets have confirmed that they take requests, by the clock of timekeeper.
	validity revalidator.Revalidator[registrar.Incarnation]
	// loads exchanges the loads of targets and the arriving work with the control host.
	loads loads
	// suspects records the requests that are suspected of crashing their targets.
	suspects quarantiner.Quarantiner
}

func (d *Director) startEntry() error {
	s := d.settings
	d.puller = puller.New(d.pulls, d.seedSources(), d.log,
		puller.WithName(s.Name),
		puller.WithDataCentre(s.DataCentre),
		puller.WithWait(pullWait),
		puller.WithInForce(func() uint64 {
			if v, _ := d.entry.currentView(); v != nil {
				return v.Index
			}
			return 0
		}),
	)
	d.source = d.puller
	e := &entry{
		d: d,
		builder: viewer.Builder{
			Host: s.Name,
			Cacher: cacher.Cacher{
				Decode: d.decode,
			},
		},
		memory: newEntryMemory(s.Direct.Memory),
		selector: &selector.Selector{
			DataCentre: s.DataCentre,
			Log:        d.log,
			Slow:       make(chan struct{}, 1),
		},
		changed: make(chan struct{}),
		silence: d.puller.Silence,
	}
	e.builder.LastCurrent = e.supersededAt
	e.validity.Lifetime = time.Duration(boundShare * float64(s.Direct.DrainTime))
	e.validity.RetryInterval = denialTime
	e.loads.name, e.loads.selector, e.loads.log = s.Name, e.selector, d.log
	e.loads.view = func() *viewer.View {
		v, _ := e.currentView()
		return v
	}
	e.sender = sender.New(d.dialTarget, sender.WithMemory(&e.memory.answers), sender.WithLink(d.link))
	e.limiter = limiter.New(limiter.Options{
		View:    e.loads.view,
		ViewAge: e.stateAge,
		Ask:     e.askForTokens,
		Log:     d.log,
	})
	rec := &recorder.Recorder{}
	rec.Publish(s.Name)
	e.links = newEntryLinks(e)
	f := forwarder.New(forwarder.Options{
		View:        e.currentView,
		Codec:       d.protocol.Codec,
		Sender:      e.sender,
		Selector:    e.selector,
		Limiter:     e.limiter,
		Recorder:    rec,
		Log:         d.log,
		ViewAge:     e.stateAge,
		Staleness:   e.staleness,
		Validity:    &e.validity,
		Meter:       &e.meter,
		Arrivals:    &e.loads,
		Demand:      e.loads.prioritized,
		Quarantiner: &e.suspects,
		Dial:        d.dialTarget,
		Links:       e.links.detector,
		Relay:       e.links.relayer.Relay,
		Stopping:    e.stopping,
		Link:        d.link,
		Limits: forwarder.Limits{
			RetryShare: retrySafety * s.Direct.RetryShare,
			RetrySlack: retrySafety * s.Direct.RetrySlack,
			Restarted:  !s.Direct.Bootstrap,
			ColdFactor: s.Direct.ColdFactor,
			ColdSlack:  s.Direct.ColdSlack,
			DrainTime:  time.Duration(drainShare * float64(s.Direct.DrainTime)),
			OutTime:    time.Duration(outShare * float64(s.Direct.OutTime)),
			DrainBound: e.validity.Lifetime,
			OutBound:   time.Duration(boundShare * float64(s.Direct.OutTime)),
		},
	})
	e.acceptor = &acceptor.Acceptor{
		Handler:   f,
		Limits:    e.currentLimits,
		Memory:    &e.memory.bodies,
		Link:      d.link,
		Allowance: f.Allowance,
	}
	e.links.handler = f.HandleRelayed
	caller, err := net.Listen("tcp", s.Listen.Caller.String())
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	ready, err := net.Listen("tcp", s.Direct.Ready.String())
	if err != nil {
		_ = caller.Close()
		return errors.Wrap(err, "ready address")
	}
	if err := e.links.listen(); err != nil {
		_ = caller.Close()
		_ = ready.Close()
		return err
	}
	d.entry = e
	e.ready = &http.Server{
		Handler:           http.HandlerFunc(e.serveReady),
		ReadHeaderTimeout: registerTimeout,
	}
	d.puller.Start()
	go serveHTTP(e.ready, ready, d.log)
	e.acceptor.Start(caller)
	go e.followState()
	go e.sendReports()
	return nil
}

func (e *entry) currentView() (*viewer.View, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view, e.changed
}

// stateAge returns the time since the source of the state was last known to be in contact with the control leader.
func (e *entry) stateAge() time.Duration {
	_, age := e.d.source.Contact()
	return age
}

func (e *entry) currentLimits() matcher.Limits {
	if l := e.limits.Load(); l != nil {
		return *l
	}
	return matcher.Limits{}
}

// linkOverloaded reports whether the link of this host holds up the updates of its state. The balancer then gives new
// connections to other hosts; connections are spread by a hash, so one host may get more than its link bears. The age of the
// contact with the leader would not do: it grows on all hosts at once while a leader is elected.
func (e *entry) linkOverloaded() bool {
	return e.d.link.Active() && e.silence() > maxSilence
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v, _ := e.currentView(); v == nil || v.Table == nil || e.d.stopping.Load() || e.linkOverloaded() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// followState updates the view whenever the state changes. Every trimInterval it also drops connections and statistics
// that are not used any more.
func (e *entry) followState() {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	settle := time.NewTicker(settleInterval)
	defer settle.Stop()
	var settled *viewer.View
	for {
		changed := e.d.source.Changed()
		e.updateView()
		select {
		case <-e.d.ctx.Done():
			return
		case <-changed:
		case <-settle.C:
			if v, _ := e.currentView(); v != nil && v != settled {
				settled = v
				e.settle(v)
			}
		case <-trim.C:
			e.sender.Trim(time.Now())
			e.selector.Forget(time.Now().Add(-forgetAfter))
			e.limiter.Forget(timekeeper.Now().Add(-forgetAfter))
			e.validity.Forget(timekeeper.Now().Add(-forgetAfter))
		}
	}
}

// settle counts the requests that were lost with targets that v no longer lists.
func (e *entry) settle(v *viewer.View) {
	e.suspects.Settle(time.Now(), func(target string, incarnation uint64) (alive, draining bool) {
		return v.Status(registrar.Incarnation{
			ID:   target,
			Born: time.UnixMilli(int64(incarnation)).UTC(),
		})
	})
}

func (e *entry) updateView() {
	st := e.d.source.State()
	old, _ := e.currentView()
	if !e.d.puller.Confirmed() || old != nil && old.Index == st.Index {
		return
	}
	v, err := e.builder.Build(st, time.Now())
	if err != nil {
		e.d.log.Error("stored table cannot be read", "version", st.Registry.Table.Version, "err", err)
	}
	if v.Table != nil && (old == nil || old.Table == nil || old.Table.Version != v.Table.Version) {
		e.limits.Store(&v.Table.Limits)
		e.d.link.SetActive(v.Table.HasUploads())
		e.d.log.Info("table in force", "version", v.Table.Version, "routes", len(v.Table.Routes), "index", v.Index)
	}
	e.mu.Lock()
	e.view = v
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
	e.logChanges(old, v, st)
}

// sendReports reports the load of keys, the slowness of targets and suspect requests to the control host that is the
// source of the state, which passes them on to the leader.
func (e *entry) sendReports() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	var observations []coordinator.ServiceLoadMsg
	var stated []issuer.StatedMsg
	var lost lossReport
	var pending pendingReport
	for {
		select {
		case <-e.d.ctx.Done():
			return
		case <-timer.C:
			timer.Reset(e.reportWait())
			observations, stated, pending = e.meter.take(), e.limiter.Stated(), e.loads.report(time.Now())
		case <-e.selector.Slow:
			// Other hosts are told of a slow target before its slow period, which lasts 400 ms, has ended.
			if wait, ok := e.loads.earlyWait(time.Now()); ok {
				timer.Reset(wait)
			}
			continue
		case <-e.suspects.News():
			// Other hosts send the request too until they are told.
			observations, stated, pending = nil, nil, pendingReport{}
			time.Sleep(lossInterval)
		}
		addr := e.d.puller.Source()
		if !addr.IsValid() {
			continue
		}
		lost.fill(&e.suspects, time.Now())
		if len(observations)+len(stated) == 0 && pending.msg == nil && lost.empty() {
			continue
		}
		ctx, cancel := context.WithTimeout(e.d.ctx, reportTimeout)
		var reply coordinator.ObserveReply
		err := e.d.messenger.Call(ctx, addr, "Leader.Observe", &coordinator.ObserveArgs{
			Work:      observations,
			Losses:    lost.losses,
			Completed: lost.completed,
			Stated:    stated,
			Load:      pending.msg,
		}, &reply)
		cancel()
		if err == nil {
			lost = lossReport{}
			e.loads.learn(pending, reply.Load)
		} else if e.d.ctx.Err() == nil {
			e.d.log.Debug("report lost", "host", addr, "services", len(observations), "err", err)
		}
	}
}

// askForTokens asks the control leader for tokens of a target with a limit.
func (e *entry) askForTokens(ctx context.Context, m issuer.AskMsg) (issuer.IssueMsg, error) {
	leader, _ := e.d.source.Contact()
	addr := e.d.source.State().Hosts[leader].RPC
	if !addr.IsValid() {
		return issuer.IssueMsg{}, errors.New("no control leader is known")
	}
	var reply issuer.IssueMsg
	err := e.d.messenger.Call(ctx, addr, "Leader.Issue", &m, &reply)
	return reply, err
}

// reportWait returns the time until the next report. It grows with the number of hosts, so that all hosts that report to
// one control host stay within reportRate together.
func (e *entry) reportWait() time.Duration {
	v, _ := e.currentView()
	if v == nil {
		return reportInterval
	}
	controls := max(1, len(e.d.source.State().Members()))
	return max(reportInterval, time.Duration(v.Hosts/controls)*time.Second/reportRate)
}

// stopping returns the times of the stop in progress, false if there is none.
func (e *entry) stopping() (forwarder.Stop, bool) {
	if s := e.stopTimes.Load(); s != nil {
		return *s, true
	}
	return forwarder.Stop{}, false
}

// stop drains the host: it serves new connections until the balancer has noticed that the host is not ready, closes idle ones,
// then answers the requests in progress. Requests that may last longer than ctx are refused.
func (e *entry) stop(ctx context.Context) {
	began := timekeeper.Now()
	times := forwarder.Stop{
		NoticedAt: time.Now().Add(noticeTime),
	}
	times.EndsAt, _ = ctx.Deadline()
	e.stopTimes.Store(&times)
	e.acceptor.Drain()
	e.links.acceptor.Drain()
	balancer, cancel := context.WithTimeout(ctx, balancerTime)
	defer cancel()
	select {
	case <-time.After(noticeTime):
		e.acceptor.CloseIdle(balancer, idleCloseTime)
	case <-balancer.Done():
	}
	<-balancer.Done()
	err := e.acceptor.Finish(ctx)
	e.links.stop(ctx)
	e.sender.Close()
	_ = e.ready.Close()
	_ = e.d.puller.Close()
	e.d.log.Info("connections ended", "took", timekeeper.Since(began), "err", err)
}
