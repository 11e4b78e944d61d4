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

// load sends mixed traffic to hosts for a time, while f induces a failure, and returns what callers were told.
func (d *deployment) load(hosts []*process, length time.Duration, f func()) []loadgenerator.Record {
	var entries []netip.AddrPort
	for _, h := range hosts {
		entries = append(entries, h.caller)
	}
	g := loadgenerator.New(loadgenerator.Options{
		Entries: entries,
		// The platform's balancer sends nothing to a host whose readiness is off.
		Ready:         d.ready,
		ReadyInterval: 50 * time.Millisecond,
		Rate:          250,
		Duration:      length,
		Count:         20000,
		Seed:          7,
		Resends:       3,
		ResendLost:    true,
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

// ready asks the host of a caller address for its readiness, as the platform's balancer does. A host that does not
// answer stays in use: the balancer finds out only by its callers' requests.
func (d *deployment) ready(ctx context.Context, entry netip.AddrPort) bool {
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

// patience bounds a wait for something that has to happen; it is far beyond every bound of the design, so that a busy
// machine does not fail a test.
const patience = 30 * time.Second

func eventually(ok func() bool) bool {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
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

// post sends one non-idempotent request with an identity and returns the status, zero without an answer.
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
