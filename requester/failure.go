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

// hostsError reports that no host answered with an outcome, and lists the message of each host. Its cause is the one of
// ErrNoHost, ErrNoLeader and ErrOutcomeUnknown, in this order of severity, that leaves the most open.
type hostsError struct {
	cause    error
	messages []string
}

func (e *hostsError) add(host, message string, cause error) {
	e.messages = append(e.messages, host+": "+message)
	if cause == ErrOutcomeUnknown || e.cause == ErrNoHost {
		e.cause = cause
	}
}

// causeOf distinguishes a host that did not receive the request from one that did not answer it.
func causeOf(err error) error {
	if isDialError(err) {
		return ErrNoHost
	}
	return ErrOutcomeUnknown
}

// Error starts with the cause, which is what an operator has to see first.
func (e *hostsError) Error() string {
	return e.cause.Error() + ": " + strings.Join(e.messages, "; ")
}

// Unwrap returns the cause.
func (e *hostsError) Unwrap() error {
	return e.cause
}

// isDialError reports whether the connection was not made, so that the host did not receive the request.
func isDialError(err error) bool {
	var opErr *net.OpError
	return errors.As(err, &opErr) && opErr.Op == "dial"
}

// describe returns the message of err without the method and the URL that net/http puts before each error.
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

// parseFailure returns the message of an answer without a definite outcome, and the cause for hostsError.
func parseFailure(code int, body []byte) (string, error) {
	var a presenter.Answer
	if err := json.Unmarshal(body, &a); err != nil || a.Message == "" {
		return http.StatusText(code), ErrOutcomeUnknown
	}
	if a.Outcome == presenter.NoLeader {
		return a.Message, ErrNoLeader
	}
	return a.Message, ErrOutcomeUnknown
}
