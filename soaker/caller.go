package soaker

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/platform"
)

const (
	// callerTimeout bounds the wait of a caller for an answer.
	callerTimeout = 1500 * time.Millisecond
	// meanCallerPause is the mean pause of a caller between an answer and its next request.
	meanCallerPause = 20 * time.Millisecond
	// serviceName is the service under test, and routeHost and routePath are the host name and path prefix of its
	// route.
	serviceName = "tally"
	routeHost   = "soak.example"
	routePath   = "/tally/"
	// sharedName is a service without keys, and sharedPath the path prefix of its route. One request in sharedInterval is for it.
	sharedName     = "desk"
	sharedPath     = "/desk/"
	sharedInterval = 3
)

// caller sends requests that must run at most once, over keep-alive connections.
type caller struct {
	name string
	// entries are the base URLs of the entry hosts.
	entries []string
	client  *http.Client
	checker *invariantChecker
	rng     *rand.Rand
	// sent is the number of requests so far.
	sent int
}

func newCaller(i int, seed uint64, entries []string, checker *invariantChecker) *caller {
	return &caller{
		name:    fmt.Sprintf("caller%d", i),
		entries: entries,
		client: &http.Client{
			Transport: &http.Transport{
				MaxIdleConnsPerHost: 1,
				DisableCompression:  true,
			},
		},
		checker: checker,
		rng:     rand.New(rand.NewPCG(seed, uint64(100+i))),
	}
}

// run sends requests until ctx ends.
func (c *caller) run(ctx context.Context) {
	defer c.client.CloseIdleConnections()
	for ctx.Err() == nil {
		// Only 64 keys, so that each is requested often and runs under two owners at once are noticed.
		entry, key := c.entries[c.rng.IntN(len(c.entries))], uint16(c.rng.IntN(64)*1021)
		if c.sent%sharedInterval == 0 {
			c.sendPath(ctx, entry, fmt.Sprintf("%s%s-%d", sharedPath, c.name, c.sent+1), key)
		} else {
			c.send(ctx, entry, key)
		}
		select {
		case <-ctx.Done():
		case <-time.After(time.Duration(c.rng.Int64N(int64(2 * meanCallerPause)))):
		}
	}
}

// waitServed waits until entry has served each of 16 keys that are spread over the key space.
func (c *caller) waitServed(ctx context.Context, entry string) error {
	defer c.client.CloseIdleConnections()
	for key := 0; key < 1<<16; key += 4099 {
		for c.send(ctx, entry, uint16(key)) != http.StatusOK {
			if ctx.Err() != nil {
				return errors.Wrapf(ErrInvariantViolated, "key %d is not served at %s in time", key, entry)
			}
			time.Sleep(minStepGap / 4)
		}
	}
	return nil
}

// send sends one request and returns the status of the answer, zero if no complete answer came.
func (c *caller) send(ctx context.Context, entry string, key uint16) int {
	return c.sendPath(ctx, entry, fmt.Sprintf("%s%s-%d", routePath, c.name, c.sent+1), key)
}

// sendPath sends one request for a path.
func (c *caller) sendPath(ctx context.Context, entry, path string, key uint16) int {
	c.sent++
	id := fmt.Sprintf("%s-%d", c.name, c.sent)
	ctx, cancel := context.WithTimeout(ctx, callerTimeout)
	defer cancel()
	// With a body of unknown length, which it cannot rewind, http.Client never resends the request by itself.
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+path, io.NopCloser(strings.NewReader(path)))
	if err != nil {
		return 0
	}
	req.Host = routeHost
	req.Header = platform.Counterpart{}.RequestHeaders(id, key, callerTimeout)
	a := AnswerMsg{
		ID: id,
	}
	if resp, err := c.client.Do(req); err == nil {
		body, err := io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err == nil {
			a.Status = resp.StatusCode
			a.Whole = strings.HasSuffix(string(body), " "+path+" "+path)
		}
	}
	c.checker.recordAnswer(a)
	return a.Status
}
