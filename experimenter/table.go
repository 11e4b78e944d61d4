package experimenter

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// shownFindings bounds the findings printed for each invariant; results.json has them all.
const shownFindings = 3

// row is one figure of a run as text.
type row struct {
	name  string
	value string
}

func rows(r Result) []row {
	n := r.Report.Numbers
	all := n.Outcomes[""]
	rows := []row{
		{"requests", fmt.Sprint(all.Requests)},
		{"served", fmt.Sprintf("%d (%.3f%%)", all.Served, 100*float64(all.Served)/float64(max(1, all.Requests)))},
	}
	for _, outcome := range []string{"notRun", "unknown", "failed", "lost"} {
		rows = append(rows, row{"told " + outcome, fmt.Sprint(all.Outcomes[outcome])})
	}
	rows = append(rows,
		row{"not sent", fmt.Sprint(all.NotSent)},
		row{"p50", formatMillis(all.P50)},
		row{"p99", formatMillis(all.P99)},
		row{"p99.9", formatMillis(all.P999)},
		row{"max", formatMillis(all.Max)},
	)
	for _, service := range slices.Sorted(maps.Keys(n.Imbalance)) {
		rows = append(rows, row{"imbalance " + service, fmt.Sprintf("%.2f", n.Imbalance[service])})
	}
	rows = append(rows,
		row{"key moves", fmt.Sprint(n.KeyMoves)},
		row{"slot moves", fmt.Sprintf("%d of %d slots", n.SlotMoves, n.SlotsHeld)},
		row{"unavailable, all keys", formatMillis(n.Unavailable)},
		row{"unavailable, worst key", formatMillis(n.WorstUnavailable)},
		row{"keys unavailable", fmt.Sprint(n.KeysUnavailable)},
		row{"keys over 2 s", fmt.Sprint(n.KeysLate)},
		row{"runs crashed", fmt.Sprint(n.Crashes)},
	)
	for _, reason := range []string{"overloaded", "staleEpoch", "draining", "cold"} {
		rows = append(rows, row{"target refused, " + reason, fmt.Sprint(n.Rejected[reason])})
	}
	rows = append(rows, row{"repeats by callers", fmt.Sprint(n.CallerRetries)})
	violations := make(map[string]int)
	for _, f := range r.Report.Findings {
		violations[f.Invariant]++
	}
	for _, i := range []string{"I1", "I3", "I4", "I5", "I6", "I7", "I8", "I9", "I10"} {
		rows = append(rows, row{"violations " + i, fmt.Sprint(violations[i])})
	}
	return append(rows, row{"violations asserted", fmt.Sprint(r.Asserted)})
}

func formatMillis(d time.Duration) string {
	return fmt.Sprintf("%.1f ms", float64(d)/float64(time.Millisecond))
}

// printTable prints the figures of all policies side by side, and the first findings of each.
func printTable(w io.Writer, results []Result) {
	o := results[0].Options
	fmt.Fprintf(w, "\ndeployment %s, scenario %s, seed %d, %s\n\n", o.Deployment, o.Scenario, o.Seed, o.For)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	header := "figure\t"
	columns := make([][]row, len(results))
	for i, r := range results {
		header += r.Policy + "\t"
		columns[i] = rows(r)
	}
	fmt.Fprintln(tw, header)
	longest := columns[0]
	for _, c := range columns {
		if len(c) > len(longest) {
			longest = c
		}
	}
	for _, figure := range longest {
		line := figure.name + "\t"
		for _, c := range columns {
			value := "-"
			if k := slices.IndexFunc(c, func(r row) bool { return r.name == figure.name }); k >= 0 {
				value = c[k].value
			}
			line += value + "\t"
		}
		fmt.Fprintln(tw, line)
	}
	_ = tw.Flush()
	for _, r := range results {
		printTimeline(w, r)
	}
	for _, r := range results {
		shown := make(map[string]int)
		for _, f := range r.Report.Findings {
			if shown[f.Invariant]++; shown[f.Invariant] <= shownFindings {
				fmt.Fprintf(w, "\n%s: %s %s\n  %s\n", r.Policy, f.Invariant, f.Message, strings.Join(f.Evidence, "\n  "))
			}
		}
	}
}

// printTimeline prints the number of requests not served in each window, by their intended start, and counts these
// requests by what their callers were told and the reason.
func printTimeline(w io.Writer, r Result) {
	fmt.Fprintf(w, "\n%s: not served in each %s:", r.Policy, window)
	reasons := make(map[string]int)
	for _, records := range windows(r) {
		n := 0
		for _, rec := range records {
			if rec.Served() {
				continue
			}
			n++
			last := rec.Last()
			reasons[strings.TrimSpace(rec.Service+" "+last.CallerOutcome()+" "+last.Reason)]++
		}
		fmt.Fprintf(w, " %d", n)
	}
	fmt.Fprintln(w)
	for _, reason := range slices.Sorted(maps.Keys(reasons)) {
		fmt.Fprintf(w, "  %6d %s\n", reasons[reason], reason)
	}
}
