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

// maxLatency is the greatest latency that the table can show; callers give up before.
const maxLatency = 30 * time.Second

// table is the result of a demo.
type table struct {
	requests int
	answered int
	notRun   int
	unknown  int
	// reasons counts refused requests by service and reason.
	reasons      map[string]int
	p50          time.Duration
	p99          time.Duration
	imbalance    float64
	ownerChanges int
}

func makeTable(records []loadgenerator.Record) table {
	h := hdrhistogram.New(1, maxLatency.Microseconds(), 3)
	t := table{
		requests: len(records),
	}
	for _, r := range records {
		switch r.Last().Told() {
		case "ok":
			t.answered++
			_ = h.RecordValue(r.Latency().Microseconds())
		case "notRun":
			t.notRun++
			if t.reasons == nil {
				t.reasons = make(map[string]int)
			}
			t.reasons[r.Service+" "+r.Last().Reason]++
		default:
			t.unknown++
		}
	}
	t.p50 = time.Duration(h.ValueAtQuantile(50)) * time.Microsecond
	t.p99 = time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
	return t
}

func (t table) write(w io.Writer) {
	fmt.Fprintf(w, "\n%-24s %10d\n", "requests", t.requests)
	fmt.Fprintf(w, "%-24s %10d\n", "answered", t.answered)
	fmt.Fprintf(w, "%-24s %10d\n", "refused (not run)", t.notRun)
	for _, reason := range slices.Sorted(maps.Keys(t.reasons)) {
		fmt.Fprintf(w, "  %-22s %10d\n", reason, t.reasons[reason])
	}
	fmt.Fprintf(w, "%-24s %10d\n", "unknown", t.unknown)
	fmt.Fprintf(w, "%-24s %10s\n", "latency p50", t.p50)
	fmt.Fprintf(w, "%-24s %10s\n", "latency p99", t.p99)
	fmt.Fprintf(w, "%-24s %10.2f\n", "imbalance (max/mean)", t.imbalance)
	fmt.Fprintf(w, "%-24s %10d\n", "owner changes", t.ownerChanges)
}

// owners returns the owner of each slot of the keyed service.
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

// imbalance returns the greatest number of runs of a target of the service over the mean.
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
