package sender

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func rawRequest(addr netip.AddrPort) *Request {
	return &Request{
		Addr:         addr,
		Method:       http.MethodGet,
		URI:          "/x",
		Host:         "x",
		Identity:     "a-1",
		EchoOptional: true,
		Undelimited:  true,
		Deadline:     time.Now().Add(5 * time.Second),
		Connections:  2,
	}
}

// Guards against a 200 with an empty or short body, framed as whole, after a target that ended in the middle of its answer.
func TestAnswerCutAnywhereIsNoAnswer(t *testing.T) {
	c := qt.New(t)
	for _, head := range []string{
		"HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\nContent-Length: 5\r\n\r\nhello",
		"HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length: 1234\r\nX: y\r\nBramleyline-Request: a-1\r\n\r\n",
	} {
		for n := 1; n < len(head); n++ {
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			go func() {
				raw, err := ln.Accept()
				if err != nil {
					return
				}
				_, _ = http.ReadRequest(bufio.NewReader(raw))
				_, _ = raw.Write([]byte(head[:n]))
				_ = raw.Close()
			}()
			s := New(nil)
			body, f := send(s, rawRequest(netip.MustParseAddrPort(ln.Addr().String())))
			c.Check(f != nil && f.MayHaveRun, qt.IsTrue, qt.Commentf("%q was taken as a whole answer %q", head[:n], body))
			s.Close()
			_ = ln.Close()
		}
	}
}
