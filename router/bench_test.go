package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency calls the same loopback target directly, through its dispatching host, and through another host
// that forwards, in turn within one run. The CPU time is that of the whole process, including caller and target.
func BenchmarkAddedLatency(b *testing.B) {
	s := newTestSystem(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})
	client := &http.Client{
		Transport: &http.Transport{
			MaxIdleConnsPerHost: 16,
		},
	}
	timeRequest := func(srv *httptest.Server) time.Duration {
		req, _ := http.NewRequest(http.MethodPost, srv.URL+"/tally/baskets", strings.NewReader("5 kg"))
		req.Header.Set("Bramleyline-Key", "picker7")
		start := time.Now()
		resp, err := client.Do(req)
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		if resp.StatusCode != http.StatusOK {
			b.Fatal(resp.Status)
		}
		return time.Since(start)
	}
	servers := map[string]*httptest.Server{"direct": s.target, "local": s.callerServers[0], "forwarded": s.callerServers[1]}
	names := []string{"direct", "local", "forwarded"}
	times, cpuUsed := map[string][]time.Duration{}, map[string]time.Duration{}
	for b.Loop() {
		for _, name := range names {
			before := cpuTime()
			times[name] = append(times[name], timeRequest(servers[name]))
			cpuUsed[name] += cpuTime() - before
		}
	}
	for _, name := range names {
		slices.Sort(times[name])
		n := len(times[name])
		b.ReportMetric(float64(times[name][n/2].Nanoseconds())/1e3, name+"-p50-µs")
		b.ReportMetric(float64(times[name][n*99/100].Nanoseconds())/1e3, name+"-p99-µs")
		b.ReportMetric(float64(cpuUsed[name].Nanoseconds())/1e3/float64(n), name+"-cpu-µs")
	}
}

// BenchmarkRequest reports the allocations of one request, including those of caller and target.
func BenchmarkRequest(b *testing.B) {
	s := newTestSystem(b, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, "ok")
	})
	for _, bc := range []struct {
		name string
		srv  *httptest.Server
	}{{"direct", s.target}, {"local", s.callerServers[0]}, {"forwarded", s.callerServers[1]}} {
		b.Run(bc.name, func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				req, _ := http.NewRequest(http.MethodPost, bc.srv.URL+"/tally/baskets", strings.NewReader("5 kg"))
				req.Header.Set("Bramleyline-Key", "picker7")
				resp, err := http.DefaultClient.Do(req)
				if err != nil {
					b.Fatal(err)
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				_ = resp.Body.Close()
			}
		})
	}
}
