package forwarder

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against an answer "not run" for a request that a target runs: the target rejected it, wrote the rejection once more
// on the kept connection, and ran the second attempt.
func TestRepeatedRejectionIsNotTheAnswerOfTheNextAttempt(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	b.putTable()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	defer ln.Close()
	var seen, ran atomic.Int32
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				br := bufio.NewReader(conn)
				for n := 0; ; n++ {
					r, err := http.ReadRequest(br)
					if err != nil {
						return
					}
					_, _ = io.Copy(io.Discard, r.Body)
					rejection := fmt.Sprintf("HTTP/1.1 503 No\r\n%s: r1\r\n%s: notRun\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", testRequest, testOutcome,
						testBusy)
					if seen.Add(1) == 1 {
						_, _ = io.WriteString(conn, rejection)
						continue
					}
					ran.Add(1)
					if n > 0 {
						_, _ = io.WriteString(conn, rejection)
						time.Sleep(20 * time.Millisecond)
					}
					_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\n%s: r1\r\nContent-Length: 2\r\n\r\nok", testRequest)
				}
			}()
		}
	}()
	b.announce("a", "tally", netip.MustParseAddrPort(ln.Addr().String()))
	b.own("tally", "a")
	a := b.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7")
	c.Check(a.Status, qt.Equals, http.StatusOK)
	c.Check(ran.Load(), qt.Equals, int32(1))
}
