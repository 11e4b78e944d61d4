// Package requester is the HTTP client of the operators' API. It sends a request to one host after the other until one
// gives a definite answer. If none does, the error lists the answer of each host, and wraps ErrNoHost, ErrNoLeader or
// ErrOutcomeUnknown.
package requester

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
)

const (
	// dialTimeout bounds the dial and the TLS handshake of a connection, which take about 1 ms between data centres.
	dialTimeout = time.Second
	// hostTimeout bounds a request to one host. It is longer than a host needs for a change during a leader election.
	hostTimeout = 10 * time.Second
	// maxAnswerBytes bounds an answer. The largest is one version of the configuration with all its texts.
	maxAnswerBytes = 16 << 20
)

var (
	// ErrNoHost reports that no connection to any host could be made. The request did not run.
	ErrNoHost = errors.New("no host could be reached")
	// ErrNoLeader reports that hosts were reached but could not reach the control leader. Nothing was changed.
	ErrNoLeader = errors.New("no host could reach the control leader, nothing was changed")
	// ErrOutcomeUnknown reports that hosts were reached but none answered with the outcome. A change may have been
	// accepted.
	ErrOutcomeUnknown = errors.New("no host could tell the outcome, send the same command again")
)

// Requester sends requests to hosts. A request may be sent more than once, which the API allows for every change.
type Requester struct {
	// Hosts are the hosts' operator addresses as IP:PORT, tried in this order.
	Hosts []string
	// Key is the operators' bearer key.
	Key string
	// TLS is the client configuration; nil means plain HTTP.
	TLS *tls.Config

	client *http.Client
}

// Get requests path and decodes the JSON answer into answer.
func (r *Requester) Get(ctx context.Context, path string, answer any) error {
	return r.tryHosts(ctx, http.MethodGet, path, nil, func(code int, body []byte) error {
		if code != http.StatusOK {
			var a presenter.Answer
			if err := json.Unmarshal(body, &a); err != nil || a.Message == "" {
				return errors.Errorf("host answered with HTTP status %d", code)
			}
			return errors.New(a.Message)
		}
		return errors.Wrap(json.Unmarshal(body, answer), "decode answer")
	})
}

// Post sends a change and returns the answer. After an answer that leaves the outcome open it sends the change to the
// next host, so the change must be one that may be sent more than once.
func (r *Requester) Post(ctx context.Context, path string, change any) (presenter.Answer, error) {
	var a presenter.Answer
	body, err := json.Marshal(change)
	if err != nil {
		return a, errors.Wrap(err, "encode request")
	}
	err = r.tryHosts(ctx, http.MethodPost, path, body, func(code int, body []byte) error {
		if err := json.Unmarshal(body, &a); err != nil || a.Outcome == "" {
			return errors.Errorf("host answered with HTTP status %d", code)
		}
		return nil
	})
	return a, err
}

// tryHosts sends the request to the hosts in turn and calls handle with the first definite answer. An answer with
// status 429 or 5xx is not definite.
func (r *Requester) tryHosts(ctx context.Context, method, path string, body []byte, handle func(int, []byte) error) error {
	if r.client == nil {
		r.client = r.newClient()
	}
	failure := hostsError{
		cause: ErrNoHost,
	}
	for _, host := range r.Hosts {
		code, answer, err := r.do(ctx, method, host, path, body)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "stopped while asking hosts")
		case err != nil:
			failure.add(host, describe(err), causeOf(err))
		case code == http.StatusTooManyRequests || code >= http.StatusInternalServerError:
			message, cause := parseFailure(code, answer)
			failure.add(host, message, cause)
		default:
			return handle(code, answer)
		}
	}
	return &failure
}

func (r *Requester) do(ctx context.Context, method, host, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	scheme := "http://"
	if r.TLS != nil {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "create request")
	}
	req.Header.Set("Authorization", "Bearer "+r.Key)
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	res, err := r.client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = res.Body.Close() }()
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes))
	return res.StatusCode, answer, errors.Wrap(err, "read answer")
}

func (r *Requester) newClient() *http.Client {
	d := net.Dialer{
		Timeout: dialTimeout,
	}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         d.DialContext,
			TLSClientConfig:     r.TLS,
			TLSHandshakeTimeout: dialTimeout,
			// A host accepts few connections of operators, and a command makes few requests.
			MaxConnsPerHost: 1,
		},
		// Redirects are not followed: the key must not be sent to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
