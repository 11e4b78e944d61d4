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
	// orderTimeout bounds one order at one control host.
	orderTimeout = time.Second
	// inForce is the time after an acknowledgement from which no host shows an older table.
	inForce = 2 * time.Second
)

// operator sends tables and takeouts to one control host after the other until they are acknowledged.
type operator struct {
	controls []string
	client   *http.Client
	ledger   *ledger

	mu      sync.Mutex
	version uint64
	acked   uint64
	ackedAt time.Time
}

func newOperator(controls []string, l *ledger) *operator {
	return &operator{
		controls: controls,
		client: &http.Client{
			Timeout: orderTimeout,
		},
		ledger: l,
	}
}

// table returns a table that differs from others by its version and its attempts.
func table(version uint64) ([]byte, error) {
	return platform.Counterpart{}.Table(matcher.New(version, []matcher.Route{{
		Name:        "record",
		Host:        tableHost,
		Prefix:      tablePath,
		Timeout:     patience,
		Objective:   patience / 2,
		MaxAttempts: 2,
		Split: []matcher.Part{{
			Service: serviceName,
			Weight:  1,
		}},
	}}, map[string]matcher.Service{
		serviceName: {
			Name:        serviceName,
			Connections: 100,
			Keyed:       true,
		},
	}, matcher.Limits{}))
}

// putTable sends the next table until it is acknowledged or ctx ends.
func (o *operator) putTable(ctx context.Context) error {
	o.mu.Lock()
	o.version += 3
	version := o.version
	o.mu.Unlock()
	text, err := table(version)
	if err != nil {
		return err
	}
	if err := o.order(ctx, http.MethodPut, platform.Counterpart{}.TablePath(), text); err != nil {
		return err
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if version > o.acked {
		o.acked, o.ackedAt = version, time.Now()
	}
	return nil
}

// order sends an order until it is acknowledged or ctx ends.
func (o *operator) order(ctx context.Context, method, path string, body []byte) error {
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
		case <-time.After(minGap):
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

// read reads the table at one control host and compares it with what was acknowledged. It reports whether there was one.
func (o *operator) read(ctx context.Context, base string) bool {
	o.mu.Lock()
	acked, due := o.acked, time.Since(o.ackedAt) > inForce
	o.mu.Unlock()
	status, text := o.call(ctx, http.MethodGet, base+platform.Counterpart{}.TablePath(), nil)
	if status != http.StatusOK {
		return false
	}
	t, err := platform.DecodeTable(text)
	if err != nil {
		o.ledger.fail("table cannot be read back: %v", err)
		return false
	}
	if due && t.Version < acked {
		o.ledger.fail("table %d is read back more than %s after %d was acknowledged", t.Version, inForce, acked)
	}
	if want, err := table(t.Version); err != nil || !bytes.Equal(want, text) {
		o.ledger.fail("table %d is read back with another content", t.Version)
	}
	return true
}
