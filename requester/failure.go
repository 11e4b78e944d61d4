package requester

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
)

// failedError names what each host answered. Its cause is ErrNoHost, ErrNoLeader or ErrUnsettled: the one that leaves
// the most open.
type failedError struct {
	cause error
	hosts []string
}

func (e *failedError) add(host, what string, cause error) {
	e.hosts = append(e.hosts, host+": "+what)
	if cause == ErrUnsettled || e.cause == ErrNoHost {
		e.cause = cause
	}
}

// causeOf tells a host that did not get the request from one that did not answer it.
func causeOf(err error) error {
	if isDialError(err) {
		return ErrNoHost
	}
	return ErrUnsettled
}

// Error starts with the cause, which is what an operator has to see first.
func (e *failedError) Error() string {
	return e.cause.Error() + ": " + strings.Join(e.hosts, "; ")
}

// Unwrap returns the cause.
func (e *failedError) Unwrap() error {
	return e.cause
}

// isDialError reports whether the connection was not made, so that the host did not get the request.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// describe leaves out the method and the URL that net/http puts before each error.
func describe(err error) string {
	var urlErr *url.Error
	switch {
	case isDialError(err):
		var opErr *net.OpError
		_ = errors.As(err, &opErr)
		return opErr.Err.Error()
	case errors.Is(err, context.DeadlineExceeded):
		return "no answer in " + hostTimeout.String()
	case errors.As(err, &urlErr):
		return urlErr.Err.Error()
	}
	return err.Error()
}

// read returns what a host said that did not settle the request, and what that leaves open.
func read(code int, body []byte) (string, error) {
	var a presenter.Answer
	if err := json.Unmarshal(body, &a); err != nil || a.Message == "" {
		return http.StatusText(code), ErrUnsettled
	}
	if a.Outcome == presenter.NoLeader {
		return a.Message, ErrNoLeader
	}
	return a.Message, ErrUnsettled
}
