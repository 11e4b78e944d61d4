package sender

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/responder"
)

// Guards against the part of an answer without a length that is delivered as a whole one, because its TLS connection ended
// without a closure alert, as one that anybody on the way has cut does (RFC 9112, section 9.8).
func TestTruncatedTLSAnswers(t *testing.T) {
	c := qt.New(t)
	server := httptest.NewUnstartedServer(nil)
	server.StartTLS()
	c.Cleanup(server.Close)
	var lines strings.Builder
	for _, truncate := range []bool{false, true} {
		for _, answer := range []string{
			"HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf",
			"HTTP/1.1 200 OK\r\n" + echoLine + "\r\n",
			"HTTP/1.1 200 OK\r\n" + echoLine + "Content-Length: 5\r\n\r\nwhole",
			"HTTP/1.1 200 OK\r\n" + echoLine + "Content-Length: 5\r\n\r\nhalf",
			"HTTP/1.1 200 OK\r\n" + echoLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n",
		} {
			p := startResponder(c, &responder.Responder{
				Answer:     answerText(answer),
				ReadBefore: -1,
				TLS:        server.TLS,
				Truncate:   truncate,
			})
			s := New(nil)
			r := rawRequest(p.Addr())
			r.TLS = server.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
			r.TLS.ServerName = "example.com"
			resp, body, f := attemptOnce(s, r)
			fmt.Fprintf(&lines, "%q, truncated=%t: %s\n", answer, truncate, describeOutcome(resp, body, f))
			s.Close()
		}
	}
	checkGolden(c, "truncatedTLS.golden", lines.String())
}
