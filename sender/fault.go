package sender

import (
	"net/http"

	"github.com/pkg/errors"
)

// Reasons of faults and refusals on the request path, as callers see them in Bramleyline-Reason.
const (
	ReasonUnreachable  = "unreachable"  // no connection could be opened
	ReasonDisconnected = "disconnected" // the connection of Request.Connection is not open
	ReasonOverloaded   = "overloaded"   // no connection or no capacity was free
	ReasonStaleRoute   = "staleRoute"   // the route of the request is out of date
	ReasonDeadline     = "deadline"     // the deadline passed
	ReasonCancelled    = "cancelled"    // the context was cancelled
	ReasonCut          = "cut"          // the connection ended before the answer was complete
	ReasonMalformed    = "malformed"    // the answer is invalid, has too long a header or has no length
	ReasonCrossed      = "crossed"      // the answer belongs to another request
	ReasonMemory       = "memory"       // the memory for answers is used up
)

// ErrClosed is the cause of the Fault that a closed Sender returns.
var ErrClosed = errors.New("sender is closed")

// Fault is the error of an attempt that returned no complete answer. It tells whether the request may have run.
type Fault struct {
	// Reason is one of the Reason constants, or the reason that the target or host gave.
	Reason string
	// Status is the HTTP status to send to the caller.
	Status int
	// MayHaveRun is false only if the request provably did not run: no byte of it was written, or the target or host
	// answered that it did not run.
	MayHaveRun bool
	// Severed is true if the peer reset or closed the connection before the answer was complete.
	Severed bool
	// StatedByPeer is true if the outcome is taken from an answer of the target or host, rather than inferred from how
	// the attempt failed.
	StatedByPeer bool
	cause        error
}

// NewFault returns a Fault for a request that did not run; its MayHaveRun is false.
func NewFault(reason string, status int, cause error) *Fault {
	return &Fault{
		Reason: reason,
		Status: status,
		cause:  cause,
	}
}

// NewRefusal returns a Fault with status 503 for a request that was refused without being run.
func NewRefusal(reason, message string) *Fault {
	return NewFault(reason, http.StatusServiceUnavailable, errors.New(message))
}

// Error returns the reason and the cause.
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
