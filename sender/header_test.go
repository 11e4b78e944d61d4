package sender

import (
	"fmt"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against folds and codings that are missed where an answer arrives in pieces, and against bodies that are taken for
// headers.
func TestHeadersAreScannedInPieces(t *testing.T) {
	c := qt.New(t)
	var lines strings.Builder
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n\tb\r\n\r\n",
		"HTTP/1.1 200 OK\nX: a\n b\n\n",
		"HTTP/1.1 200 OK\r\n X: a\r\n\r\n",
		"HTTP/1.1 200 OK\r\nX: a\r\n \r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\nHTTP/1.1 200 OK\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX: a\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n",
		"HTTP/1.1                    103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n b\r\n",
		"HTTP/1.1 200 OK\r\nX: a b\r\n\r\n body\r\n of two lines\r\n",
		"HTTP/1.1 200 OK\r\n\r\n body",
		"HTTP/1.1 200 OK\n\n body\n of two lines",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nX: a\r\n\r\n body\r\n x",
		"HTTP/1.1 404 Not 103\r\n\r\nHTTP/1.1 103 Early Hints\r\nX: a\r\n b\r\n\r\n",
		"HTTP/1.1 200 1 long reason\r\nX:\r\n\r\nX: a\r\n b\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX: a\r\ntransfer-encoding:\r\n\r\n",
		"HTTP/1.0 200 OK\r\nX-Transfer-Encoding: chunked\r\n\r\nTransfer-Encoding: chunked\r\n",
		"HTTP/1.0 200 OK\r\nTransfer-Encodings: chunked\r\n\r\n",
		"HTTP/1.0 200 Transfer-Encoding:\r\n\r\n",
	} {
		var whole headerScanner
		whole.scan([]byte(text))
		fmt.Fprintf(&lines, "%q: folded=%t coded=%t\n", text, whole.folded, whole.coded)
		for i := range len(text) {
			var s headerScanner
			s.scan([]byte(text[:i]))
			s.scan([]byte(text[i:]))
			c.Check(s.folded == whole.folded && s.coded == whole.coded, qt.IsTrue, qt.Commentf("%q, then %q", text[:i], text[i:]))
		}
		var s headerScanner
		for i := range len(text) {
			s.scan([]byte(text[i : i+1]))
		}
		c.Check(s.folded == whole.folded && s.coded == whole.coded, qt.IsTrue, qt.Commentf("%q", text))
	}
	checkGolden(c, "headers.golden", lines.String())
}
