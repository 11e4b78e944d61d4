package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"
)

// clockTicksPerSecond is the number of clock ticks, the unit of processor times in /proc on Linux, in a second.
const clockTicksPerSecond = 100

// resourceUsage is what control has cost one host since it started.
type resourceUsage struct {
	// cpu is user and system processor time.
	cpu time.Duration
	// bytes counts the bytes of messages between hosts that were read and written.
	bytes int64
	// rss is the current resident memory in bytes.
	rss int64
}

// hostUsage reads processor time and memory from /proc, and the bytes of messages from the host's expvar counters.
func (d *deployment) hostUsage(h *process) resourceUsage {
	var u resourceUsage
	stat, _ := os.ReadFile(fmt.Sprintf("/proc/%d/stat", h.cmd.Process.Pid))
	_, rest, _ := strings.Cut(string(stat), ") ")
	if fields := strings.Fields(rest); len(fields) > 12 {
		user, _ := strconv.ParseInt(fields[11], 10, 64)
		system, _ := strconv.ParseInt(fields[12], 10, 64)
		u.cpu = time.Duration(user+system) * time.Second / clockTicksPerSecond
	}
	status, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", h.cmd.Process.Pid))
	if _, line, ok := strings.Cut(string(status), "VmRSS:"); ok {
		kib, _ := strconv.ParseInt(strings.Fields(line)[0], 10, 64)
		u.rss = kib << 10
	}
	req, _ := http.NewRequest(http.MethodGet, "http://"+h.operator.String()+"/debug/vars", nil)
	req.Header.Set("Authorization", "Bearer "+operatorKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return u
	}
	defer func() { _ = resp.Body.Close() }()
	var vars struct {
		Messenger map[string]int64
	}
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	u.bytes = vars.Messenger["bytesRead"] + vars.Messenger["bytesWritten"]
	return u
}

// BenchmarkControlCost measures what control costs a host without traffic in processor time, message bytes and memory,
// for three numbers of targets. docs/CAPACITY.md takes its slopes from these figures.
func BenchmarkControlCost(b *testing.B) {
	for _, extra := range []int{0, 15, 45} {
		b.Run(fmt.Sprintf("targets=%d", 15+3*extra), func(b *testing.B) {
			d := startDeployment(b)
			for _, dc := range []string{"north", "south", "west"} {
				for i := range extra {
					d.addTarget("tally", dc, 10+i)
				}
			}
			time.Sleep(2 * time.Second)
			before := make(map[string]resourceUsage)
			for _, h := range d.hosts {
				before[h.name] = d.hostUsage(h)
			}
			started := time.Now()
			time.Sleep(6 * time.Second)
			seconds := time.Since(started).Seconds()
			var cpu, bytes, rss float64
			for _, h := range d.hosts {
				u := d.hostUsage(h)
				cpu += (u.cpu - before[h.name].cpu).Seconds() / seconds
				bytes += float64(u.bytes-before[h.name].bytes) / seconds
				rss = max(rss, float64(u.rss))
			}
			n := float64(len(d.hosts))
			b.ReportMetric(100*cpu/n, "%core/host")
			b.ReportMetric(bytes/n, "B/s/host")
			b.ReportMetric(rss/(1<<20), "MiB/host")
		})
	}
}
