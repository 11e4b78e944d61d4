package sender

import (
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against folds that are missed where an answer arrives in pieces, and against bodies that are taken for headers.
func TestFoldsAreFoundInPieces(t *testing.T) {
	c := qt.New(t)
	for text, want := range map[string]bool{
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n":                                                true,
		"HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n\r\n":                                               true,
		"HTTP/1.1 200 OK\nX: a\n b\n\n":                                                        true,
		"HTTP/1.1 200 OK\r\n X: a\r\n\r\n":                                                     true,
		"HTTP/1.1 200 OK\r\nX: a\r\n \r\n\r\n":                                                 true,
		"HTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":                true,
		"HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n":            true,
		"HTTP/1.1                    103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n": true,
		"HTTP/1.1 200 OK\r\nX: a b\r\n\r\n body\r\n of two lines\r\n":                          false,
		"HTTP/1.1 200 OK\r\n\r\n body":                                                         false,
		"HTTP/1.1 200 OK\n\n body\n of two lines":                                              false,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n\r\n body\r\n x":           false,
		"HTTP/1.1 404 Not 103\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\n":           false,
		"HTTP/1.1 200 1 long reason that fills the buffer\r\nX:\r\n\r\nX: a\r\n b\r\n":         false,
	} {
		for i := range len(text) {
			var d foldDetector
			d.scan([]byte(text[:i]))
			d.scan([]byte(text[i:]))
			c.Check(d.found, qt.Equals, want, qt.Commentf("%q, then %q", text[:i], text[i:]))
		}
		var d foldDetector
		for i := range len(text) {
			d.scan([]byte(text[i : i+1]))
		}
		c.Check(d.found, qt.Equals, want, qt.Commentf("%q", text))
	}
}
