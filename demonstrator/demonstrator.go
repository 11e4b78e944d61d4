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
	// requestRate is in requests a second; it is a third of what the demo's eight keyed targets can do.
	requestRate     = 400
	summaryInterval = 3 * time.Second
	// readyTimeout bounds the wait until every slot has an owner.
	readyTimeout = 15 * time.Second
	readyPoll    = 20 * time.Millisecond
	stopTimeout  = 10 * time.Second
	// withoutEnd stands for a demo that runs until it is interrupted.
	withoutEnd = 24 * time.Hour
)

// Demonstrator runs the demo. Its zero value, with Out set, runs until its context ends.
type Demonstrator struct {
	Out io.Writer
	// For ends the demo; zero means never.
	For time.Duration
	// Progress writes a summary line every few seconds.
	Progress bool
}

// Run brings the deployment up, sends traffic and prints what happened. It stops gracefully when ctx ends.
func (d Demonstrator) Run(ctx context.Context) error {
	dep := &deployment{}
	err := dep.start(ctx)
	if err == nil {
		err = dep.awaitReady(ctx)
	}
	if err == nil {
		err = d.traffic(ctx, dep)
	}
	stopCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), stopTimeout)
	defer cancel()
	if stopErr := dep.stop(stopCtx); err == nil {
		err = stopErr
	}
	return err
}

func (d Demonstrator) traffic(ctx context.Context, dep *deployment) error {
	length := d.For
	if length == 0 {
		length = withoutEnd
	}
	entries := dep.entries()
	fmt.Fprintf(d.Out, "bramleyline demo: %d entry hosts in 2 data centres, %d targets\n", len(entries), len(dep.targets))
	fmt.Fprintf(d.Out, "try: curl -i http://%s/tally/picker-7/weights\n", entries[0])
	fmt.Fprintf(d.Out, "status page: http://%s/ (key %s)\n\n", dep.servers[0].Listen().Operator, operatorKey)

	g := loadgenerator.New(loadgenerator.Options{
		Entries:  entries,
		Rate:     requestRate,
		Duration: length,
		Count:    int(requestRate * length.Seconds() * 2),
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
	t := makeTable(g.Records())
	t.imbalance = dep.imbalance("tally")
	t.ownerChanges = ownerChanges(before, dep.owners())
	t.write(d.Out)
	return nil
}

// watch prints summaries until the load or ctx ends.
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
				t := makeTable(g.Records())
				fmt.Fprintf(d.Out, "%d requests, %d not run, %d unknown, p50 %s, p99 %s\n",
					t.requests, t.notRun, t.unknown, t.p50, t.p99)
			}
		}
	}
}

func (d *deployment) entries() []netip.AddrPort {
	var entries []netip.AddrPort
	for _, s := range d.servers {
		entries = append(entries, s.Listen().Caller)
	}
	return entries
}
