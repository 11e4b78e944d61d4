package forwarder

import (
	"net/http"
	"time"

	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/viewer"
)

// Call is what a caller's headers say of a request.
type Call struct {
	// ID identifies the request; targets repeat it.
	ID string
	// Patience is how long the caller waits, zero if it does not say.
	Patience time.Duration
	// Key is the key of a request to a keyed service, if HasKey is true.
	Key    uint16
	HasKey bool
}

// Reply is what a target's headers and status say of an answer.
type Reply struct {
	// NotRun says that the target did not and will not run the request.
	NotRun bool
	// Misdirected says that the target is another one than was expected, or does not hold the key.
	Misdirected bool
	// Load is what the target says of its load, nil if it says nothing.
	Load *selector.Load
}

// Codec reads and writes the headers that callers, targets and the router share.
type Codec interface {
	// Call reads a caller's headers. An error says which one is missing or cannot be read.
	Call(h http.Header) (Call, error)
	// Fields returns the headers that the router sets for a target; left is the time until the request is given up.
	Fields(c Call, t *viewer.Target, left time.Duration) []sender.Field
	// Own reports whether the router sets a header itself, so that the caller's is not forwarded.
	Own(name string) bool
	// Reply reads a target's answer.
	Reply(status int, h http.Header) Reply
	// EchoHeader is the header in which targets repeat the ID.
	EchoHeader() string
}
