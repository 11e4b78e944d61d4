package demonstrator

import (
	"context"
	"fmt"
	"io"
	"net/netip"
	"time"

	"bramleyline.example/bramleyline/loadgenerator"
)

const (
	// requestRate is the rate of requests per second, a third of the capacity of the demo's eight keyed targets.
	requestRate     = 400
	summaryInterval = 3 * time.Second
	// readyTimeout bounds the wait until every host is ready and every slot has an owner.
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 10 * time.Second
	// maxRunTime is the length of a demo without a set length, which usually runs until it is interrupted.
	maxRunTime = 24 * time.Hour
)

// Demonstrator runs the demo. Its zero value with Out set is ready to use.
type Demonstrator struct {
	Out io.Writer
	// For is the time for which the demo sends traffic; zero means until the context of Run ends, for 24
	// hours at most.
	For time.Duration
	// Progress makes the demo write a summary line to Out every few seconds.
	Progress bool
}

// Run starts the deployment, sends traffic until For has passed or ctx ends, prints a summary of the results, and stops
// the deployment gracefully.
func (d Demonstrator) Run(ctx context.Context) error {
	dep := &deployment{}
	err := dep.start(ctx)
	if err == nil {
		err = dep.awaitReady(ctx)
	}
	if err == nil {
		err = d.sendTraffic(ctx, dep)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if stopErr := dep.stop(stopCtx); err == nil {
		err = stopErr
	}
	return err
}

func (d Demonstrator) sendTraffic(ctx context.Context, dep *deployment) error {
	duration := d.For
	if duration == 0 {
		duration = maxRunTime
	}
	addrs := dep.callerAddrs()
	fmt.Fprintf(d.Out, "bramleyline demo: %d entry hosts in 2 data centres, %d targets\n", len(addrs), len(dep.targets))
	fmt.Fprintf(d.Out, "try: curl -i http://%s/tally/picker-7/weights\n", addrs[0])
	fmt.Fprintf(d.Out, "status page: http://%s/ (key %s)\n\n", dep.servers[0].ListenAddrs().Operator, operatorKey)

	g := loadgenerator.New(loadgenerator.Options{
		Entries:  addrs,
		Rate:     requestRate,
		Duration: duration,
		Count:    int(requestRate * duration.Seconds() * 2),
		Seed:     1,
		Mix: []loadgenerator.Traffic{
			{
				Service:    "tally",
				Share:      3,
				Key:        "path:1",
				Keys:       2000,
				Zipf:       1.2,
				WriteShare: 0.3,
			},
			{
				Service:    "payroll",
				Share:      1,
				WriteShare: 0.1,
			},
		},
	})
	before := dep.owners()
	if err := g.Start(); err != nil {
		return err
	}
	d.watch(ctx, g)
	s := summarize(g.Records())
	s.imbalance = dep.imbalance("tally")
	s.ownerChanges = ownerChanges(before, dep.owners())
	s.write(d.Out)
	return nil
}

// watch prints summary lines until the load ends. If ctx ends first, it stops the load and waits for its end.
func (d Demonstrator) watch(ctx context.Context, g *loadgenerator.Generator) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-g.Done():
			return
		case <-ctx.Done():
			_ = g.Close()
			<-g.Done()
			return
		case <-ticker.C:
			if d.Progress {
				s := summarize(g.Records())
				fmt.Fprintf(d.Out, "%d requests, %d not run, %d unknown, p50 %s, p99 %s\n",
					s.requests, s.notRun, s.unknown, s.p50, s.p99)
			}
		}
	}
}

// callerAddrs returns the addresses on which the entry hosts take callers' requests.
func (d *deployment) callerAddrs() []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range d.servers {
		addrs = append(addrs, s.ListenAddrs().Caller)
	}
	return addrs
}
