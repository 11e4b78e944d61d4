package forwarder

import (
	"net/http"
	"time"

	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

// Call holds what the router reads from a caller's headers.
type Call struct {
	// ID identifies the request; targets echo it in their answers.
	ID string
	// CallerTimeout is the caller's timeout, zero if the request gives none.
	CallerTimeout time.Duration
	// Key is the key of a request to a keyed service, if HasKey is true.
	Key    uint16
	HasKey bool
}

// Reply holds what the router reads from the status and headers of a target's answer.
type Reply struct {
	// NotRun is true if the target rejected the request: it did not and will not run it.
	NotRun bool
	// Misdirected is true if the target is not the one that the request names, or does not own the key.
	Misdirected bool
	// Load is the reported load of the target, nil if the answer has none.
	Load *selector.Load
	// Limit is the number of requests per second that the target takes from all hosts together, nil if the answer states
	// none. LimitUnreadable is true if it states one that cannot be read.
	Limit           *float64
	LimitUnreadable bool
}

// Codec translates between the headers of a protocol and the values that the router uses.
type Codec interface {
	// Call reads a caller's headers. The error names the header that is missing or invalid.
	Call(h http.Header) (Call, error)
	// Fields returns the headers that the router sets on a request to a target; left is the time until its deadline.
	Fields(c Call, t *viewer.Target, left time.Duration) []sender.Field
	// Own reports whether the router sets this header itself, so that the caller's value is not forwarded.
	Own(name string) bool
	// Reply reads the status and headers of a target's answer.
	Reply(status int, h http.Header) Reply
	// Healthy reports whether the answer to a health check says that the target id takes requests and does not leave.
	Healthy(id string, status int, h http.Header) bool
	// EchoHeader returns the name of the header in which targets echo the ID of a request.
	EchoHeader() string
}
