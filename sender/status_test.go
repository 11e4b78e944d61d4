package sender

import (
	"bufio"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer with an invalid status line, such as one with status 000, that is passed on, or skipped so that the
// bytes after it are taken for the answer.
func TestAnswerWithInvalidStatusIsMalformed(t *testing.T) {
	const valid = "HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\nContent-Length: 2\r\n\r\nok"
	for name, status := range map[string]string{
		"zero":                "HTTP/1.1 000 Bad",
		"below 100":           "HTTP/1.1 099 Bad",
		"signed":              "HTTP/1.1 +20 Bad",
		"above 599":           "HTTP/1.1 600 Bad",
		"999":                 "HTTP/1.1 999 Bad",
		"four digits":         "HTTP/1.1 1000 Bad",
		"letters":             "HTTP/1.1 abc Bad",
		"missing":             "HTTP/1.1",
		"version 2":           "HTTP/2.0 200 OK",
		"version 0.9":         "HTTP/0.9 200 OK",
		"control byte":        "HTTP/1.1 200 O\x01K",
		"carriage return":     "HTTP/1.1 200 O\rK",
		"zero byte":           "HTTP/1.1 200 \x00",
		"missing after space": "HTTP/1.1 ",
		"switching protocols": "HTTP/1.1 101 Switching Protocols",
		"endless continue":    strings.Repeat("HTTP/1.1 100 Continue\r\n\r\n", maxAnswerHeader/20) + "HTTP/1.1 100 Continue",
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			c.Assert(err, qt.IsNil)
			c.Cleanup(func() { _ = ln.Close() })
			go func() {
				raw, err := ln.Accept()
				if err != nil {
					return
				}
				c.Cleanup(func() { _ = raw.Close() })
				_, _ = http.ReadRequest(bufio.NewReader(raw))
				_, _ = raw.Write([]byte(status + "\r\nBramleyline-Request: a-1\r\nContent-Length: 0\r\n\r\n" + valid))
			}()
			s := New(nil)
			defer s.Close()
			body, f := send(s, rawRequest(netip.MustParseAddrPort(ln.Addr().String())))
			c.Assert(f != nil, qt.IsTrue, qt.Commentf("%q was taken as the answer", body))
			c.Check(f.Reason, qt.Equals, ReasonMalformed)
			c.Check(f.Status, qt.Equals, http.StatusBadGateway)
			c.Check(f.MayHaveRun, qt.IsTrue)
		})
	}
}

// Guards against informational answers that are taken for the final one.
func TestInformationalAnswersAreSkipped(t *testing.T) {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	c.Cleanup(func() { _ = ln.Close() })
	go func() {
		raw, err := ln.Accept()
		if err != nil {
			return
		}
		c.Cleanup(func() { _ = raw.Close() })
		_, _ = http.ReadRequest(bufio.NewReader(raw))
		_, _ = raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" +
			"HTTP/1.1 200 OK\r\nBramleyline-Request: a-1\r\nContent-Length: 2\r\n\r\nok"))
	}()
	s := New(nil)
	defer s.Close()
	body, f := send(s, rawRequest(netip.MustParseAddrPort(ln.Addr().String())))
	c.Assert(f == nil, qt.IsTrue, qt.Commentf("%v", f))
	c.Assert(string(body), qt.Equals, "ok")
}
