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
	"bramleyline.example/bramleyline/follower"
	"bramleyline.example/bramleyline/forwarder"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/quarantiner"
	"bramleyline.example/bramleyline/recorder"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

const (
	// pullWait is how long a control host holds the answer to a pull back while nothing is new. It is the interval at
	// which a silent source is found out.
	pullWait = 250 * time.Millisecond
	// reportInterval is the least time between two reports of the work that targets did, and reportRate the number of
	// reports that one control host takes in a second: at 0.2 ms each they use 2% of a core.
	reportInterval = 300 * time.Millisecond
	reportRate     = 100
	// reportTimeout bounds a report; a lost one is not sent again.
	reportTimeout = 500 * time.Millisecond
	// maxReport bounds the requests of one service in a report: at 2 Mbit/s and 5 bytes each it takes 40 ms.
	maxReport = 2048
	// trimInterval is the time between two looks at connections and targets that are not used any more.
	trimInterval = 2 * time.Second
	// forgetAfter is how long what is known of a target is kept after its last request.
	forgetAfter = time.Minute
	// balancerTime is how long the balancer may go on to send new connections after this host said that it is not ready:
	// it asks each second and takes a host out after two misses.
	balancerTime = 3 * time.Second
	// drainShare and outShare are the shares of the times that the settings give to the last host, which learns of a
	// drain or a takeout some time after its acknowledgement.
	drainShare = 0.15
	outShare   = 0.3
	// retrySafety is the share of the allowed repeats that hosts use: they count requests that reach no target too.
	retrySafety = 0.8
)

// entry has the parts of an entry host.
type entry struct {
	d        *Director
	builder  viewer.Builder
	sender   *sender.Sender
	selector *selector.Selector
	acceptor *acceptor.Acceptor
	ready    *http.Server

	mu      sync.Mutex
	view    *viewer.View
	changed chan struct{}
	limits  atomic.Pointer[matcher.Limits]

	meter meter
	// suspects are the requests that crash their targets.
	suspects quarantiner.Quarantiner
}

func (d *Director) startEntry() error {
	s := d.settings
	d.follower = follower.New(d.messenger, d.seedSources(), d.log,
		follower.WithName(s.Name),
		follower.WithDataCentre(s.DataCentre),
		follower.WithWait(pullWait),
	)
	d.source = d.follower
	e := &entry{
		d: d,
		builder: viewer.Builder{
			Host: s.Name,
			Cacher: cacher.Cacher{
				Decode: d.decode,
			},
		},
		sender: sender.New(nil),
		selector: &selector.Selector{
			DataCentre: s.DataCentre,
		},
		changed: make(chan struct{}),
	}
	rec := &recorder.Recorder{}
	rec.Publish(s.Name)
	e.acceptor = &acceptor.Acceptor{
		Handler: forwarder.New(forwarder.Options{
			View:        e.current,
			Codec:       d.dialect.Codec,
			Sender:      e.sender,
			Selector:    e.selector,
			Recorder:    rec,
			Log:         d.log,
			NewsAge:     e.newsAge,
			Meter:       &e.meter,
			Quarantiner: &e.suspects,
			Limits: forwarder.Limits{
				RetryShare: retrySafety * s.Direct.RetryShare,
				RetrySlack: retrySafety * s.Direct.RetrySlack,
				ColdFactor: s.Direct.ColdFactor,
				ColdSlack:  s.Direct.ColdSlack,
				DrainTime:  time.Duration(drainShare * float64(s.Direct.DrainTime)),
				OutTime:    time.Duration(outShare * float64(s.Direct.OutTime)),
			},
		}),
		Limits: e.currentLimits,
	}
	caller, err := net.Listen("tcp", s.Listen.Caller.String())
	if err != nil {
		return errors.Wrap(err, "caller address")
	}
	ready, err := net.Listen("tcp", s.Direct.Ready.String())
	if err != nil {
		_ = caller.Close()
		return errors.Wrap(err, "ready address")
	}
	d.entry = e
	e.ready = &http.Server{
		Handler:           http.HandlerFunc(e.serveReady),
		ReadHeaderTimeout: registerTimeout,
	}
	d.follower.Start()
	go serveHTTP(e.ready, ready, d.log)
	e.acceptor.Start(caller)
	go e.follow()
	go e.report()
	return nil
}

func (e *entry) current() (*viewer.View, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.view, e.changed
}

// newsAge is the time since the source of the state was last known to be in contact with the control leader.
func (e *entry) newsAge() time.Duration {
	_, age := e.d.source.Contact()
	return age
}

func (e *entry) currentLimits() matcher.Limits {
	if l := e.limits.Load(); l != nil {
		return *l
	}
	return matcher.Limits{}
}

func (e *entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if v, _ := e.current(); v == nil || v.Table == nil || e.d.stopping.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// follow keeps the view of the newest state.
func (e *entry) follow() {
	trim := time.NewTicker(trimInterval)
	defer trim.Stop()
	for {
		changed := e.d.source.Changed()
		e.update()
		select {
		case <-e.d.ctx.Done():
			return
		case <-changed:
		case <-trim.C:
			e.sender.Trim(time.Now())
			e.selector.Forget(time.Now().Add(-forgetAfter))
		}
	}
}

func (e *entry) update() {
	st := e.d.source.State()
	old, _ := e.current()
	if !e.d.follower.Confirmed() || old != nil && old.Index == st.Index {
		return
	}
	v, err := e.builder.Build(st, time.Now())
	if err != nil {
		e.d.log.Error("stored table cannot be read", "version", st.Registry.Table.Version, "err", err)
	}
	if v.Table != nil && (old == nil || old.Table == nil || old.Table.Version != v.Table.Version) {
		e.limits.Store(&v.Table.Limits)
		e.d.log.Info("table in force", "version", v.Table.Version, "routes", len(v.Table.Routes), "index", v.Index)
	}
	e.mu.Lock()
	e.view = v
	close(e.changed)
	e.changed = make(chan struct{})
	e.mu.Unlock()
}

// report tells the control host from which the state comes what work the targets did. It passes that on to the leader.
func (e *entry) report() {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-e.d.ctx.Done():
			return
		case <-timer.C:
		}
		timer.Reset(e.reportWait())
		work, suspects := e.meter.take(), e.suspects.Suspects(time.Now())
		addr := e.d.follower.Source()
		if len(work)+len(suspects) == 0 || !addr.IsValid() {
			continue
		}
		ctx, cancel := context.WithTimeout(e.d.ctx, reportTimeout)
		var reply coordinator.ObserveReply
		err := e.d.messenger.Call(ctx, addr, "Leader.Observe", &coordinator.ObserveArgs{
			Work:     work,
			Suspects: suspects,
		}, &reply)
		cancel()
		e.suspects.Learn(reply.Suspects, time.Now())
		if err != nil && e.d.ctx.Err() == nil {
			e.d.log.Debug("report lost", "host", addr, "services", len(work), "err", err)
		}
	}
}

// reportWait is the time until the next report: the hosts that report to one control host keep to reportRate together.
func (e *entry) reportWait() time.Duration {
	v, _ := e.current()
	if v == nil {
		return reportInterval
	}
	controls := max(1, len(e.d.source.State().Members()))
	return max(reportInterval, time.Duration(v.Hosts/controls)*time.Second/reportRate)
}

// stop answers what was asked, and lets the balancer find out that this host takes no more.
func (e *entry) stop(ctx context.Context) {
	began := timekeeper.Now()
	e.acceptor.Drain()
	select {
	case <-time.After(balancerTime):
	case <-ctx.Done():
	}
	err := e.acceptor.Finish(ctx)
	e.sender.Close()
	_ = e.ready.Close()
	_ = e.d.follower.Close()
	e.d.log.Info("connections ended", "took", timekeeper.Since(began), "err", err)
}
