package demonstrator

import (
	"context"
	"fmt"
	"io"
	"maps"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/loadgenerator"
)

// maxLatency is the greatest latency that the summary can show; the callers' requests time out earlier.
const maxLatency = 30 * time.Second

// summary holds the results of a demo.
type summary struct {
	requests int
	answered int
	notRun   int
	unknown  int
	// reasons counts refused requests by service and reason, separated by a space.
	reasons map[string]int
	// p50 and p99 are percentiles of the latency of the answered requests.
	p50 time.Duration
	p99 time.Duration
	// imbalance is the number of runs of the busiest target, divided by the mean of all targets.
	imbalance float64
	// ownerChanges counts the slots whose owner at the end differs from their owner at the start.
	ownerChanges int
}

func summarize(records []loadgenerator.Record) summary {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	s := summary{
		requests: len(records),
	}
	for _, r := range records {
		switch r.Last().CallerOutcome() {
		case "ok":
			s.answered++
			_ = h.RecordValue(r.Latency().Microseconds())
		case "notRun":
			s.notRun++
			if s.reasons == nil {
				s.reasons = make(map[string]int)
			}
			s.reasons[r.Service+" "+r.Last().Reason]++
		default:
			s.unknown++
		}
	}
	s.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	s.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return s
}

func (s summary) write(w io.Writer) {
	fmt.Fprintf(w, "\n%-24s %10d\n", "requests", s.requests)
	fmt.Fprintf(w, "%-24s %10d\n", "answered", s.answered)
	fmt.Fprintf(w, "%-24s %10d\n", "refused (not run)", s.notRun)
	for _, reason := range slices.Sorted(maps.Keys(s.reasons)) {
		fmt.Fprintf(w, "  %-22s %10d\n", reason, s.reasons[reason])
	}
	fmt.Fprintf(w, "%-24s %10d\n", "unknown", s.unknown)
	fmt.Fprintf(w, "%-24s %10s\n", "latency p50", s.p50)
	fmt.Fprintf(w, "%-24s %10s\n", "latency p99", s.p99)
	fmt.Fprintf(w, "%-24s %10.2f\n", "imbalance (max/mean)", s.imbalance)
	fmt.Fprintf(w, "%-24s %10d\n", "owner changes", s.ownerChanges)
}

// owners returns the owner of each slot of the keyed service, or nil if the first host has no state of the slots yet.
func (d *deployment) owners() []string {
	st := d.servers[0].State()
	if st == nil || st.Slots["tally"] == nil {
		return nil
	}
	var owners []string
	for _, e := range st.Slots["tally"].All() {
		owners = append(owners, e.Target)
	}
	return owners
}

func ownerChanges(before, after []string) int {
	n := 0
	for i := range min(len(before), len(after)) {
		if before[i] != after[i] {
			n++
		}
	}
	return n
}

// imbalance returns the number of runs of the service's busiest target, divided by the mean of its targets.
func (d *deployment) imbalance(service string) float64 {
	var total, highest, targets int
	for _, e := range d.targets {
		runs := e.Runs()
		if len(e.Name()) < len(service) || e.Name()[:len(service)] != service {
			continue
		}
		targets++
		total += len(runs)
		highest = max(highest, len(runs))
	}
	if total == 0 {
		return 0
	}
	return float64(highest*targets) / float64(total)
}

// awaitReady waits until each slot has an owner and each host is ready.
func (d *deployment) awaitReady(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for !d.ready() {
		select {
		case <-ctx.Done():
			return errors.Errorf("deployment was not ready after %s", readyTimeout)
		case <-time.After(readyPoll):
		}
	}
	return nil
}

func (d *deployment) ready() bool {
	for _, s := range d.servers {
		if !s.Ready() {
			return false
		}
	}
	owners := d.owners()
	for _, o := range owners {
		if o == "" {
			return false
		}
	}
	return len(owners) > 0
}
