package relayer

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/responder"
	"bramleyline.example/bramleyline/signer"
)

// Guards against broken answers of another host that reach callers as answers, or that send the request to a third host.
func TestBrokenAnswersOfHosts(t *testing.T) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\n%s\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\n%s\r\nContent-Length: 9\r\n\r\nhalf",
		"HTTP/1.1 200 OK\r\n%s\r\nX Y: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\n%s\r\nX-Y : 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\n%s\r\nX\x01Y: 1\r\nContent-Length: 5\r\n\r\nwhole",
		"HTTP/1.1 200 OK\r\n%s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nwhole\r\n0\r\nX Y: 1\r\n\r\n",
		"HTTP/1.1 103 Early Hints\r\nX Y: 1\r\n\r\nHTTP/1.1 200 OK\r\n%s\r\nContent-Length: 5\r\n\r\nwhole",
	} {
		c := qt.New(t)
		g := newGroup(c)
		var hosts []*responder.Responder
		for _, name := range []string{"a", "b"} {
			p := &responder.Responder{
				Answer: func(r *http.Request) string {
					return strings.Replace(text, "%s", signer.HeaderID+": "+r.Header.Get(signer.HeaderID), 1)
				},
				Reset: true,
			}
			c.Assert(p.Start(), qt.IsNil)
			c.Cleanup(func() { c.Check(p.Close(), qt.IsNil) })
			hosts = append(hosts, p)
			g.hosts = append(g.hosts, Host{
				Name: name,
				Addr: p.Addr(),
			})
		}
		s := New(Options{
			Hosts:  func() []Host { return append([]Host(nil), g.hosts...) },
			Sender: newSender(c),
			Signer: signer.New("key"),
		})
		c.Cleanup(s.Close)
		req := request()
		req.Body = [][]byte{make([]byte, 8<<20)}
		_, fault := s.Relay(context.Background(), req, time.Now().Add(10*time.Second))
		c.Assert(fault != nil, qt.IsTrue, qt.Commentf("%q", text))
		c.Check(fault.MayHaveRun, qt.IsTrue, qt.Commentf("%q", text))
		c.Check(fault.Status, qt.Equals, http.StatusBadGateway)
		c.Check(hosts[0].Requests()+hosts[1].Requests(), qt.Equals, int64(1), qt.Commentf("%q", text))
	}
}
