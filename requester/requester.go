// Package requester is the client of the operators' API. It asks one host after the other until one answers.
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
	// dialTimeout bounds the set-up of a connection, which costs about 1 ms between data centres.
	dialTimeout = time.Second
	// hostTimeout is longer than a host needs for a change during an election.
	hostTimeout = 10 * time.Second
	// maxAnswer bounds an answer: one version with all its texts.
	maxAnswer = 16 << 20
)

var (
	// ErrNoHost reports that no host could be reached. The request did not run.
	ErrNoHost = errors.New("no host could be reached")
	// ErrNoLeader reports that hosts were reached but no control leader. Nothing was changed.
	ErrNoLeader = errors.New("no host could reach the control leader, nothing was changed")
	// ErrUnsettled reports that hosts were reached but none told the outcome. A change may have been accepted.
	ErrUnsettled = errors.New("no host could tell the outcome, send the same command again")
)

// Requester sends requests to hosts. Its requests may be sent twice, which the API allows for every change.
type Requester struct {
	// Hosts are operator addresses as IP:PORT, asked in this order.
	Hosts []string
	// Key is the operators' bearer key.
	Key string
	// TLS is the client's configuration; nil means plain HTTP.
	TLS *tls.Config

	client *http.Client
}

// Get reads path into out.
func (r *Requester) Get(ctx context.Context, path string, out any) error {
	return r.each(ctx, http.MethodGet, path, nil, func(code int, body []byte) error {
		if code != http.StatusOK {
			var a presenter.Answer
			if err := json.Unmarshal(body, &a); err != nil || a.Message == "" {
				return errors.Errorf("host answered with HTTP status %d", code)
			}
			return errors.New(a.Message)
		}
		return errors.Wrap(json.Unmarshal(body, out), "read answer")
	})
}

// Post sends a change and returns its answer. An answer that does not tell the outcome makes it ask the next host, so
// the change must be one that may be sent twice.
func (r *Requester) Post(ctx context.Context, path string, in any) (presenter.Answer, error) {
	var a presenter.Answer
	body, err := json.Marshal(in)
	if err != nil {
		return a, errors.Wrap(err, "write request")
	}
	err = r.each(ctx, http.MethodPost, path, body, func(code int, body []byte) error {
		if err := json.Unmarshal(body, &a); err != nil || a.Outcome == "" {
			return errors.Errorf("host answered with HTTP status %d", code)
		}
		return nil
	})
	return a, err
}

// each asks the hosts in turn and calls use with the first answer that settles the request.
func (r *Requester) each(ctx context.Context, method, path string, body []byte, use func(int, []byte) error) error {
	if r.client == nil {
		r.client = r.newClient()
	}
	failure := failedError{
		cause: ErrNoHost,
	}
	for _, host := range r.Hosts {
		code, answer, err := r.ask(ctx, method, host, path, body)
		switch {
		case ctx.Err() != nil:
			return errors.Wrap(ctx.Err(), "stopped while asking hosts")
		case err != nil:
			failure.add(host, describe(err), causeOf(err))
		case code == http.StatusTooManyRequests || code >= http.StatusInternalServerError:
			message, cause := read(code, answer)
			failure.add(host, message, cause)
		default:
			return use(code, answer)
		}
	}
	return &failure
}

func (r *Requester) ask(ctx context.Context, method, host, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, hostTimeout)
	defer cancel()
	scheme := "http://"
	if r.TLS != nil {
		scheme = "https://"
	}
	req, err := http.NewRequestWithContext(ctx, method, scheme+host+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, errors.Wrap(err, "make request")
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
	answer, err := io.ReadAll(io.LimitReader(res.Body, maxAnswer))
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
			// A host has few connections for operators, and a command makes few requests.
			MaxConnsPerHost: 1,
		},
		// The key must not follow a redirect to another address.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
}
