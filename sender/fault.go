package sender

import (
	"net/http"

	"github.com/pkg/errors"
)

// Reasons of faults and refusals on the request path, as callers see them in Bramleyline-Reason.
const (
	ReasonUnreachable = "unreachable"
	ReasonOverloaded  = "overloaded"
	ReasonStaleRoute  = "staleRoute"
	ReasonDeadline    = "deadline"
	ReasonCancelled   = "cancelled"
	ReasonCut         = "cut"
	ReasonMalformed   = "malformed"
	ReasonCrossed     = "crossed"
)

// ErrClosed reports a Sender that was closed.
var ErrClosed = errors.New("sender is closed")

// Fault says why an attempt brought no whole answer, and whether the request may have run.
type Fault struct {
	// Reason is one of the Reason constants, or the reason that the target gave.
	Reason string
	// Status is the HTTP status for the caller.
	Status int
	// MayHaveRun is false only with a proof: no byte was written, or the target said that it did not run the request.
	MayHaveRun bool
	// Severed says that the other side reset or closed the connection before it answered.
	Severed bool
	// Said says that the other side itself stated the outcome.
	Said  bool
	cause error
}

// NewFault returns a fault of an attempt that did not run.
func NewFault(reason string, status int, cause error) *Fault {
	return &Fault{
		Reason: reason,
		Status: status,
		cause:  cause,
	}
}

// Refused returns a fault for a request that was turned away before anything was written.
func Refused(reason, message string) *Fault {
	return NewFault(reason, http.StatusServiceUnavailable, errors.New(message))
}

// Error describes the fault.
func (f *Fault) Error() string {
	if f.cause == nil {
		return f.Reason
	}
	return f.Reason + ": " + f.cause.Error()
}

// Unwrap returns the cause.
func (f *Fault) Unwrap() error {
	return f.cause
}
