package sender

import (
	"bytes"
	"context"
	"crypto/tls"
	"flag"
	"fmt"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/responder"
	"bramleyline.example/bramleyline/shaper"
)

var update = flag.Bool("update", false, "write the golden files anew")

func checkGolden(c *qt.C, name, got string) {
	file := filepath.Join("testdata", name)
	if *update {
		c.Assert(os.WriteFile(file, []byte(got), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(got, qt.Equals, string(want))
}

// answerText returns a function that answers each request with text.
func answerText(text string) func(*http.Request) string {
	return func(*http.Request) string { return text }
}

// startResponder starts p, and stops it at the end of the test.
func startResponder(c *qt.C, p *responder.Responder) *responder.Responder {
	c.Assert(p.Start(), qt.IsNil)
	c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
	return p
}

// describeOutcome returns one line about the end of an attempt.
func describeOutcome(resp *Response, body []byte, f *Fault) string {
	if f == nil {
		return fmt.Sprintf("status %d, body %q", resp.Status, body)
	}
	return fmt.Sprintf("fault %d %s, mayHaveRun=%t severed=%t", f.Status, f.Reason, f.MayHaveRun, f.Severed)
}

// attemptOnce sends a request and reads the whole answer.
func attemptOnce(s *Sender, r *Request) (*Response, []byte, *Fault) {
	ctx, cancel := context.WithDeadline(context.Background(), r.Deadline)
	defer cancel()
	resp, f := s.Send(ctx, r)
	if f != nil {
		return nil, nil, f
	}
	defer func() { _ = resp.Close() }()
	body, f := resp.ReadAll()
	return resp, body, f
}

const echoLine = "Bramleyline-Request: a-1\r\n"

// earlyAnswers are answers that begin before the request was read, and their ends.
var earlyAnswers = []struct {
	name      string
	responder responder.Responder
	// tls says that the answer is also sent over TLS.
	tls bool
}{
	{
		name: "no length, part of the body, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			Reset:  true,
		},
		tls: true,
	},
	{
		name: "no length, part of the body, reset after a pause",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			Pause:  60 * time.Millisecond,
			Reset:  true,
		},
		tls: true,
	},
	{
		name: "no length, part of the request read, reset",
		responder: responder.Responder{
			Answer:     answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			ReadBefore: 1 << 20,
			Reset:      true,
		},
	},
	{
		name: "no length, closed",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
		},
		tls: true,
	},
	{
		name: "no length, no body, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\n"),
			Reset:  true,
		},
	},
	{
		name: "no length, HTTP/1.0, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.0 200 OK\r\n" + echoLine + "\r\nhalf"),
			Reset:  true,
		},
	},
	{
		name: "no length, stream ended, then reset",
		responder: responder.Responder{
			Answer:     answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			CloseWrite: true,
			Pause:      60 * time.Millisecond,
			Reset:      true,
		},
	},
	{
		name: "no length, informational answer before, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			Reset:  true,
		},
	},
	{
		name: "length too long, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "Content-Length: 9\r\n\r\nhalf"),
			Reset:  true,
		},
	},
	{
		name: "no last chunk, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"),
			Reset:  true,
		},
	},
	{
		name: "whole by its length, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 413 Content Too Large\r\n" + echoLine + "Content-Length: 4\r\n\r\nlong"),
			Pause:  20 * time.Millisecond,
			Reset:  true,
		},
		tls: true,
	},
	{
		name: "whole by its chunks, closed",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 200 OK\r\n" + echoLine + "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
			Pause:  20 * time.Millisecond,
		},
	},
	{
		name: "whole without a body, reset",
		responder: responder.Responder{
			Answer: answerText("HTTP/1.1 204 No Content\r\n" + echoLine + "\r\n"),
			Pause:  20 * time.Millisecond,
			Reset:  true,
		},
	},
	{
		name: "no length, request read to its end, closed",
		responder: responder.Responder{
			Answer:    answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nwhole"),
			ReadAfter: -1,
		},
		tls: true,
	},
	{
		name: "no length, stream ended, request read to its end",
		responder: responder.Responder{
			Answer:     answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nwhole"),
			CloseWrite: true,
			Pause:      60 * time.Millisecond,
			ReadAfter:  -1,
		},
		tls: true,
	},
	{
		name: "no length, request read to its end, reset",
		responder: responder.Responder{
			Answer:    answerText("HTTP/1.1 200 OK\r\n" + echoLine + "\r\nhalf"),
			ReadAfter: -1,
			Pause:     20 * time.Millisecond,
			Reset:     true,
		},
	},
}

// Guards against the part of an answer that is delivered as a whole one, because the connection was reset while the request was
// still being written, and against whole answers that are refused, connections that are used again and memory that stays reserved.
func TestEarlyAnswers(t *testing.T) {
	certificate := httptest.NewUnstartedServer(nil)
	certificate.StartTLS()
	t.Cleanup(certificate.Close)
	for _, way := range []struct {
		name string
		size int
		link bool
		tls  bool
	}{
		{
			name: "direct",
			size: 16 << 20,
		},
		{
			name: "paced",
			size: 4 << 20,
			link: true,
		},
		{
			name: "tls",
			size: 16 << 20,
			tls:  true,
		},
		{
			// The request fits into the send buffer of the kernel, but not into the receive buffer of the peer.
			name: "buffered",
			size: 512 << 10,
		},
	} {
		t.Run(way.name, func(t *testing.T) {
			c := qt.New(t)
			body := bytes.Repeat([]byte("x"), way.size)
			var lines strings.Builder
			for i := range earlyAnswers {
				a := &earlyAnswers[i]
				if way.tls && !a.tls {
					continue
				}
				p := responder.Responder{
					Answer:     a.responder.Answer,
					ReadBefore: a.responder.ReadBefore,
					ReadAfter:  a.responder.ReadAfter,
					Pause:      a.responder.Pause,
					CloseWrite: a.responder.CloseWrite,
					Reset:      a.responder.Reset,
				}
				var opts []Option
				memory := &reserver.Reserver{
					Limit: 32 << 20,
				}
				opts = append(opts, WithMemory(memory))
				if way.link {
					link := shaper.New(400, nil)
					link.SetActive(true)
					opts = append(opts, WithLink(link))
				}
				var clientTLS *tls.Config
				if way.tls {
					p.TLS = certificate.TLS.Clone()
					clientTLS = certificate.Client().Transport.(*http.Transport).TLSClientConfig.Clone()
					clientTLS.ServerName = "example.com"
				}
				startResponder(c, &p)
				s := New(nil, opts...)
				for range 2 {
					r := rawRequest(p.Addr())
					r.Method, r.Body, r.TLS = http.MethodPost, [][]byte{body}, clientTLS
					resp, got, f := attemptOnce(s, r)
					line := a.name + ": " + describeOutcome(resp, got, f) + "\n"
					if !strings.HasSuffix(lines.String(), line) {
						lines.WriteString(line)
					}
				}
				c.Check(p.Requests(), qt.Equals, int64(2), qt.Commentf("%s", a.name))
				c.Check(p.Connections(), qt.Equals, int64(2), qt.Commentf("%s", a.name))
				c.Check(memory.Held(), qt.Equals, int64(0), qt.Commentf("%s", a.name))
				s.Close()
			}
			checkGolden(c, filepath.Join("early", way.name+".golden"), lines.String())
		})
	}
}

// Guards against a request on a connection whose target answered the one before without having read it, and then resets the
// connection. The first one fits into the send buffer of the kernel, but not into the receive buffer of the target.
func TestConnectionOfAnUnreadRequestIsNotUsedAgain(t *testing.T) {
	c := qt.New(t)
	p := startResponder(c, &responder.Responder{
		Answer: answerText("HTTP/1.1 413 Content Too Large\r\n" + echoLine + "Content-Length: 4\r\n\r\nlong"),
		Pause:  200 * time.Millisecond,
	})
	s := New(nil)
	c.Cleanup(s.Close)
	for range 3 {
		r := rawRequest(p.Addr())
		r.Method, r.Body = http.MethodPost, [][]byte{make([]byte, 512<<10)}
		resp, body, f := attemptOnce(s, r)
		c.Check(describeOutcome(resp, body, f), qt.Equals, `status 413, body "long"`)
	}
	c.Check(p.Connections(), qt.Equals, int64(3))
}
