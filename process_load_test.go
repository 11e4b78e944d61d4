package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"strings"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/loadgenerator"
)

// load sends mixed traffic to hosts for the given duration while f injects faults, and returns the records of the
// requests.
func (d *deployment) load(hosts []*process, duration time.Duration, f func()) []loadgenerator.Record {
	var entries []netip.AddrPort
	for _, h := range hosts {
		entries = append(entries, h.caller)
	}
	g := loadgenerator.New(loadgenerator.Options{
		Entries: entries,
		// The platform's load balancer sends no requests to a host that reports that it is not ready.
		Ready:         d.hostReady,
		ReadyInterval: 50 * time.Millisecond,
		Rate:          250,
		Duration:      duration,
		Count:         20000,
		Seed:          7,
		MaxRetries:    3,
		RetryUnknown:  true,
		Mix: []loadgenerator.Traffic{
			{
				Service:    "tally",
				Share:      3,
				Key:        "path:1",
				Keys:       60,
				WriteShare: 0.4,
			},
			{
				Service:    "payroll",
				Share:      1,
				WriteShare: 0.2,
			},
		},
	})
	d.c.Assert(g.Start(), qt.IsNil)
	f()
	<-g.Done()
	return g.Records()
}

// hostReady asks the host with the caller address entry whether it is ready, as the platform's load balancer does. A
// host that does not answer counts as ready, because the load balancer notices its failure only by callers' requests.
func (d *deployment) hostReady(ctx context.Context, entry netip.AddrPort) bool {
	for _, h := range d.hosts {
		if h.caller != entry {
			continue
		}
		req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.operator.String()+"/v1/ready", nil)
		if err != nil {
			return false
		}
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			return true
		}
		_ = resp.Body.Close()
		return resp.StatusCode == http.StatusOK
	}
	return true
}

// eventuallyTimeout bounds the wait for a condition that must become true. It is far longer than every time bound of
// the design, so that no test fails because the machine is busy.
const eventuallyTimeout = 30 * time.Second

// eventually polls ok and reports whether it returned true within eventuallyTimeout.
func eventually(ok func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), eventuallyTimeout)
	defer cancel()
	for !ok() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(50 * time.Millisecond):
		}
	}
	return true
}

func writeFile(file, text string) error {
	return os.WriteFile(file, []byte(text), 0o600)
}

// post sends one non-idempotent request with identity as its idempotency key. It returns the status code, zero without
// an answer.
func post(entry netip.AddrPort, path, body, identity string) int {
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.String()+path, strings.NewReader(body))
	if err != nil {
		return 0
	}
	req.Header.Set("Idempotency-Key", identity)
	client := http.Client{
		Timeout: 5 * time.Second,
		Transport: &http.Transport{
			DisableKeepAlives: true,
		},
	}
	resp, err := client.Do(req)
	if err != nil {
		return 0
	}
	_ = resp.Body.Close()
	return resp.StatusCode
}
