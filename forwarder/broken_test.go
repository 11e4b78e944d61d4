package forwarder

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"
	"unicode"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/receiver"
	"bramleyline.example/bramleyline/relayer"
	"bramleyline.example/bramleyline/responder"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/shaper"
	"bramleyline.example/bramleyline/signer"
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

// lostLinks are links that are lost.
type lostLinks struct{ brokenLinks }

func (lostLinks) Lost() bool { return true }

// relayThrough makes b pass its requests to o, another host.
func (b *fixture) relayThrough(o *fixture) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	b.c.Assert(err, qt.IsNil)
	a := &acceptor.Acceptor{
		Handler: &receiver.Receiver{
			Signer: signer.New("key"),
			Ready:  func() bool { return true },
			Serve:  o.f.HandleRelayed,
		},
	}
	a.Start(ln)
	b.c.Cleanup(func() {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		_ = a.Finish(ctx)
	})
	r := relayer.New(relayer.Options{
		Hosts: func() []relayer.Host {
			return []relayer.Host{{
				Name: "other",
				Addr: netip.MustParseAddrPort(ln.Addr().String()),
			}}
		},
		Sender: b.f.opts.Sender,
		Signer: signer.New("key"),
	})
	b.f.opts.Links, b.f.opts.Relay = lostLinks{}, r.Relay
}

// answerTo returns the function of a Responder that answers with text after the given status line and the identity of the request.
func answerTo(statusLine, text string) func(*http.Request) string {
	return func(r *http.Request) string {
		return statusLine + "\r\n" + testRequest + ": " + r.Header.Get(testRequest) + "\r\n" + text
	}
}

// brokenAnswerTimeout is long enough for a busy machine to write long bodies.
const brokenAnswerTimeout = 10 * time.Second

// brokenAnswers are answers of targets that break off or break HTTP, and whole ones that resemble them.
var brokenAnswers = []struct {
	name   string
	answer func(*http.Request) string
	// readBefore and readAfter are those of responder.Responder.
	readBefore, readAfter int64
	reset                 bool
}{
	{
		name:   "early, no length, reset",
		answer: answerTo("HTTP/1.1 200 OK", "\r\nhalf"),
		reset:  true,
	},
	{
		name:   "early, no length, no body, reset",
		answer: answerTo("HTTP/1.1 200 OK", "\r\n"),
		reset:  true,
	},
	{
		name:   "early, no length, closed",
		answer: answerTo("HTTP/1.1 200 OK", "\r\nhalf"),
	},
	{
		name:   "early rejection, no length, reset",
		answer: answerTo("HTTP/1.1 503 Full", testOutcome+": notRun\r\n"+testBusy+": 1\r\n\r\nhalf"),
		reset:  true,
	},
	{
		name:   "early, length, closed",
		answer: answerTo("HTTP/1.1 413 Content Too Large", "Content-Length: 4\r\n\r\nlong"),
	},
	{
		name:      "early, no length, request read on",
		answer:    answerTo("HTTP/1.1 200 OK", "\r\nwhole"),
		readAfter: -1,
	},
	{
		name:       "blank in a field name",
		answer:     answerTo("HTTP/1.1 200 OK", "X Y: 1\r\nContent-Length: 5\r\n\r\nwhole"),
		readBefore: -1,
	},
	{
		name:       "blank after the name of the length",
		answer:     answerTo("HTTP/1.1 200 OK", "Content-Length : 5\r\n\r\nwhole and more"),
		readBefore: -1,
	},
	{
		name:       "blank after the name of the coding",
		answer:     answerTo("HTTP/1.1 200 OK", "Transfer-Encoding : chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
		readBefore: -1,
	},
	{
		name:       "control byte in a field name",
		answer:     answerTo("HTTP/1.1 200 OK", "X\x01Y: 1\r\nContent-Length: 5\r\n\r\nwhole"),
		readBefore: -1,
	},
	{
		name:       "blank in a field name of an informational answer",
		answer:     answerTo("HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK", "Content-Length: 5\r\n\r\nwhole"),
		readBefore: -1,
	},
	{
		name:       "blank in a field name of a trailer",
		answer:     answerTo("HTTP/1.1 200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: 1\r\n\r\n"),
		readBefore: -1,
	},
	{
		name:       "blank before a field name",
		answer:     answerTo("HTTP/1.1 200 OK", "X: 1\r\n Content-Length: 5\r\n\r\nwhole and more"),
		readBefore: -1,
	},
	{
		name:       "fold",
		answer:     answerTo("HTTP/1.1 200 OK", "X: 1\r\n\t2\r\nContent-Length: 5\r\n\r\nwhole"),
		readBefore: -1,
	},
	{
		name:       "coding with HTTP/1.0",
		answer:     answerTo("HTTP/1.0 200 OK", "Transfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\n\r\n"),
		readBefore: -1,
	},
	{
		name:       "rejection with a blank in a field name",
		answer:     answerTo("HTTP/1.1 503 Full", testOutcome+": notRun\r\n"+testBusy+": 1\r\nX Y: 1\r\nContent-Length: 0\r\n\r\n"),
		readBefore: -1,
	},
}

// Guards against answers of targets that break off or break HTTP and reach callers as answers, or as refusals, and against second
// runs of requests that may not be repeated.
func TestBrokenAnswers(t *testing.T) {
	c := qt.New(t)
	const size = 8 << 20
	var lines strings.Builder
	for _, way := range []string{"direct", "paced", "relayed"} {
		for _, tt := range brokenAnswers {
			for _, method := range []string{http.MethodPost, http.MethodPut} {
				b := newFixtureWithTimeout(c, brokenAnswerTimeout)
				b.putTable()
				// A repeatable request has two targets to go to.
				targets := make([]responder.Responder, 2)
				for i := range targets {
					p := &targets[i]
					p.Answer, p.ReadBefore, p.ReadAfter, p.Reset = tt.answer, tt.readBefore, tt.readAfter, tt.reset
					p.Pause = 10 * time.Millisecond
					c.Assert(p.Start(), qt.IsNil)
					b.announce(fmt.Sprint("t", i), "desk", p.Addr())
				}
				entry := b
				switch way {
				case "paced":
					link := shaper.New(1000, nil)
					link.SetActive(true)
					b.f.opts.Sender = sender.New(nil, sender.WithMemory(&b.memory), sender.WithLink(link))
				case "relayed":
					entry = newFixtureWithTimeout(c, brokenAnswerTimeout)
					entry.putTable()
					entry.announce("t0", "desk", targets[0].Addr())
					entry.relayThrough(b)
				}
				path := "/order/1"
				if method == http.MethodPut {
					// The route allows repetitions.
					path = "/lookup/1"
				}
				a := entry.sendBody(method, path, bytes.Repeat([]byte("x"), size))
				var requests int64
				for i := range targets {
					p := &targets[i]
					requests += p.Requests()
					c.Check(p.Connections(), qt.Equals, p.Requests(), qt.Commentf("%s", tt.name))
					c.Assert(p.Close(), qt.IsNil)
				}
				fmt.Fprintf(&lines, "%s, %s, %s: status %d, body %q, requests %d\n", way, tt.name, method, a.Status, a.Body, requests)
				if a.Held != nil {
					a.Held.Release()
				}
				c.Check(b.memory.Held(), qt.Equals, int64(0), qt.Commentf("%s", tt.name))
				c.Check(entry.memory.Held(), qt.Equals, int64(0), qt.Commentf("%s", tt.name))
			}
		}
	}
	checkGolden(c, "brokenAnswers.golden", lines.String())
}

// Guards against a target that sends broken answers and goes on getting requests, and against a log line that does not say what
// was wrong with the answer.
func TestBrokenAnswerCountsAgainstItsTarget(t *testing.T) {
	for _, tt := range []struct {
		name   string
		answer func(*http.Request) string
		reset  bool
		log    []string
	}{
		{
			name:   "blank in a field name",
			answer: answerTo("HTTP/1.1 200 OK", "X Y: 1\r\nContent-Length: 0\r\n\r\n"),
			log:    []string{"outcome=malformed", `field name \"X Y\" is not a token`, "mayHaveRun=true"},
		},
		{
			name:   "long field name with control bytes",
			answer: answerTo("HTTP/1.1 200 OK", "X\x01"+strings.Repeat("y", 9000)+": 1\r\n\r\n"),
			log:    []string{"outcome=malformed", `X\x01yyy`},
		},
		{
			name:   "fold",
			answer: answerTo("HTTP/1.1 200 OK", "X: 1\r\n Y: 1\r\nContent-Length: 0\r\n\r\n"),
			log:    []string{"outcome=malformed", "line of the header begins with a blank"},
		},
		{
			name:   "early, no length, reset",
			answer: answerTo("HTTP/1.1 200 OK", "\r\nhalf"),
			reset:  true,
			log:    []string{"outcome=cut", "request was written in part, answer has no length"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			c := qt.New(t)
			p := responder.Responder{
				Answer: tt.answer,
				Reset:  tt.reset,
			}
			if !tt.reset {
				p.ReadBefore = -1
			}
			c.Assert(p.Start(), qt.IsNil)
			c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
			b := newFixtureWithTimeout(c, brokenAnswerTimeout)
			b.putTable()
			target := b.announce("t0", "desk", p.Addr())
			var text bytes.Buffer
			b.f.opts.Log = log.New(&text)
			a := b.sendBody(http.MethodPost, "/order/1", make([]byte, 8<<20))
			c.Assert(a.Status, qt.Equals, http.StatusBadGateway)
			for _, part := range tt.log {
				c.Check(text.String(), qt.Contains, part)
			}
			for line := range strings.Lines(text.String()) {
				c.Check(len(line) < 1000, qt.IsTrue, qt.Commentf("%d bytes", len(line)))
				c.Check(strings.ContainsFunc(strings.TrimSuffix(line, "\n"), unicode.IsControl), qt.IsFalse, qt.Commentf("%q", line))
			}
			c.Check(b.f.opts.Selector.BackedOff(time.Now(), target.Incarnation), qt.IsTrue)
		})
	}
}
