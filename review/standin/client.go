package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// requestCount numbers the requests of all clients; each attempt has an id of its own.
var requestCount atomic.Int64

func newRequestID() string { return fmt.Sprintf("r%08d", requestCount.Add(1)) }

// send sends one request without a body to a front machine. The error is that of a connection that ended without an answer.
func send(ctx context.Context, c *http.Client, addr, method, path, key string, deadline time.Duration) (id string, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return "", 0, err
	}
	if key != "" {
		req.Header.Set("Shard-Key", key)
	}
	return do(c, req, deadline)
}

// sendLength sends one unsafe request with a body of a known length.
func sendLength(ctx context.Context, c *http.Client, addr, path string, body io.Reader, length int64) (id string, status int, err error) {
	ctx, cancel := context.WithTimeout(ctx, uploadWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+path, body)
	if err != nil {
		return "", 0, err
	}
	req.ContentLength = length
	return do(c, req, uploadWait)
}

func do(c *http.Client, req *http.Request, deadline time.Duration) (id string, status int, err error) {
	id = newRequestID()
	req.Host = routeHost
	req.Header.Set("Request-Id", id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	resp, err := c.Do(req)
	if err != nil {
		return id, 0, err
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return id, 0, err
	}
	return id, resp.StatusCode, nil
}
