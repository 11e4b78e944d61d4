// Package abridger shortens errors that may quote what a peer sent, for logs and answers to callers: the errors of HTTP parsers
// quote whole lines.
package abridger

import "strings"

// maxText bounds the text of an error, in bytes.
const maxText = 256

// Error is an error with at most the beginning of the text of Err, which must be set.
type Error struct {
	Err error
}

// Error returns the text of Err, or its beginning.
func (e Error) Error() string {
	text := e.Err.Error()
	if len(text) <= maxText {
		return text
	}
	return strings.ToValidUTF8(text[:maxText], "") + "..."
}

// Unwrap returns Err.
func (e Error) Unwrap() error {
	return e.Err
}
