package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// orderTimeout is how long the operator waits for a response before it moves on to another node.
const orderTimeout = time.Second

// operator sends orders as the pages say: to any node, and after a second without a response to another one.
type operator struct {
	f      *fleet
	client *http.Client
}

func newOperator(f *fleet) *operator {
	return &operator{
		f: f,
		client: &http.Client{
			Timeout:   orderTimeout,
			Transport: &http.Transport{DisableKeepAlives: true},
		},
	}
}

// order sends an order to the nodes in turn, beginning with first, until one acknowledges it. It returns the time of the
// acknowledgement.
func (o *operator) order(ctx context.Context, first int, method, path string, body []byte) (time.Time, error) {
	for i := first; ctx.Err() == nil; i++ {
		h := o.f.controls[i%len(o.f.controls)]
		o.f.rec.printf("operator sends %s %s to %s", method, path, h.name)
		status, err := o.call(ctx, method, "http://"+o.f.control(h)+path, body)
		if err == nil {
			o.f.rec.printf("operator gets %d for %s %s from %s", status, method, path, h.name)
		} else {
			o.f.rec.printf("operator gets no response to %s %s from %s", method, path, h.name)
		}
		if status/100 == 2 {
			return time.Now(), nil
		}
		if status/100 == 4 {
			return time.Time{}, fmt.Errorf("%s %s is refused with %d", method, path, status)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pollInterval):
		}
	}
	return time.Time{}, ctx.Err()
}

func (o *operator) call(ctx context.Context, method, url string, body []byte) (int, error) {
	req, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	if len(body) > 0 {
		req.Header.Set("Content-Type", "application/json")
	}
	resp, err := o.client.Do(req)
	if err != nil {
		return 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// Names of the only route's host, and of the services.
const (
	routeHost    = "shop.example"
	plainService = "desk"
	keyedService = "tally"
)

// configuration returns a configuration with a route to each service, with the values of the example in the pages.
func configuration() ([]byte, error) {
	route := func(name, prefix, kind, service string, timeout int) map[string]any {
		return map[string]any{
			"name": name, "host": routeHost, "path_prefix": prefix, "route_type": kind, "timeout_ms": timeout,
			"target_latency_ms": 400, "priority": 1, "service": service, "max_attempts": 2,
		}
	}
	service := func(name string, keyed bool) map[string]any {
		s := map[string]any{
			"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false,
			"warmup_s": 3.0, "warmup_per_s": 14.0,
		}
		if keyed {
			s["sharding"], s["warm_s"], s["grants"] = true, 3.0, "call"
		}
		return s
	}
	return json.Marshal(map[string]any{
		"version": "r7",
		"routes": []any{
			route("read", "/read/", "safe", plainService, 2000),
			route("store", "/store/", "unsafe", plainService, 20000),
			route("keyed", "/keyed/", "safe", keyedService, 2000),
		},
		"services": []any{service(plainService, false), service(keyedService, true)},
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 67108864, "header_timeout_ms": 3000, "idle_timeout_ms": 15000,
		},
	})
}

// configure sends the configuration until it is acknowledged, and waits until all front machines are ready.
func (o *operator) configure(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	text, err := configuration()
	if err != nil {
		return err
	}
	if _, err := o.order(ctx, 0, http.MethodPut, "/config", text); err != nil {
		return err
	}
	for _, h := range o.f.entries {
		for {
			status, err := o.call(ctx, http.MethodGet, "http://"+o.f.addr(h, portReady)+"/ready", nil)
			if err == nil && status == http.StatusOK {
				break
			}
			if ctx.Err() != nil {
				return fmt.Errorf("%s is not ready", h.name)
			}
			time.Sleep(pollInterval)
		}
	}
	return nil
}
