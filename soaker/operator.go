package soaker

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/platform"
)

const (
	// operatorTimeout bounds one request of the operator to one control host.
	operatorTimeout = time.Second
	// maxTableStaleness is the time after the acknowledgement of a table from which no control host may return an older
	// one.
	maxTableStaleness = 2 * time.Second
)

// operator submits tables and takeouts: it tries one control host after the other until one acknowledges the change.
type operator struct {
	controls []string
	client   *http.Client
	checker  *invariantChecker

	mu sync.Mutex
	// version is that of the last table that was made, acked the highest that was acknowledged, at ackedAt.
	version uint64
	acked   uint64
	ackedAt time.Time
}

func newOperator(controls []string, checker *invariantChecker) *operator {
	return &operator{
		controls: controls,
		client: &http.Client{
			Timeout: operatorTimeout,
		},
		checker: checker,
	}
}

// encodeTable returns the encoded traffic table with this version. Tables differ in nothing else.
func encodeTable(version uint64) ([]byte, error) {
	route := func(name, path, service string) matcher.Route {
		return matcher.Route{
			Name:        name,
			Host:        routeHost,
			Prefix:      path,
			Timeout:     callerTimeout,
			Objective:   callerTimeout / 2,
			MaxAttempts: 2,
			Split: []matcher.Part{{
				Service: service,
				Weight:  1,
			}},
		}
	}
	return platform.Counterpart{}.Table(matcher.New(version, []matcher.Route{
		route("record", routePath, serviceName),
		route("shared", sharedPath, sharedName),
	}, map[string]matcher.Service{
		serviceName: {
			Name:        serviceName,
			Connections: 100,
			Keyed:       true,
		},
		sharedName: {
			Name:        sharedName,
			Connections: 100,
		},
	}, matcher.Limits{}))
}

// putTable submits the next table until it is acknowledged or ctx is done.
func (o *operator) putTable(ctx context.Context) error {
	o.mu.Lock()
	o.version += 3
	version := o.version
	o.mu.Unlock()
	text, err := encodeTable(version)
	if err != nil {
		return err
	}
	if err := o.submit(ctx, http.MethodPut, platform.Counterpart{}.TablePath(), text); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.acked {
		o.acked, o.ackedAt = version, time.Now()
	}
	return nil
}

// submit sends a change to one control host after the other until one acknowledges it or ctx is done.
func (o *operator) submit(ctx context.Context, method, path string, body []byte) error {
	for i := 0; ctx.Err() == nil; i++ {
		status, _ := o.call(ctx, method, o.controls[i%len(o.controls)]+path, body)
		switch {
		case status == http.StatusOK:
			return nil
		case status >= 400 && status < 500:
			return errors.Errorf("%s %s was refused with %d", method, path, status)
		}
		select {
		case <-ctx.Done():
		case <-time.After(minStepGap):
		}
	}
	return ctx.Err()
}

func (o *operator) call(ctx context.Context, method, url string, body []byte) (int, []byte) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	return resp.StatusCode, text
}

// checkTable reads the table at one control host and checks that it is not older than the acknowledged one, once
// maxTableStaleness has passed, and that its content is that of its version. It reports whether a table could be read.
func (o *operator) checkTable(ctx context.Context, base string) bool {
	o.mu.Lock()
	acked, mustBeCurrent := o.acked, time.Since(o.ackedAt) > maxTableStaleness
	o.mu.Unlock()
	status, text := o.call(ctx, http.MethodGet, base+platform.Counterpart{}.TablePath(), nil)
	if status != http.StatusOK {
		return false
	}
	t, err := platform.DecodeTable(text)
	if err != nil {
		o.checker.reportViolation("table cannot be read back: %v", err)
		return false
	}
	if mustBeCurrent && t.Version < acked {
		o.checker.reportViolation("table %d is read back more than %s after %d was acknowledged", t.Version, maxTableStaleness,
			acked)
	}
	if want, err := encodeTable(t.Version); err != nil || !bytes.Equal(want, text) {
		o.checker.reportViolation("table %d is read back with another content", t.Version)
	}
	return true
}
