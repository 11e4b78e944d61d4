package router

import (
	"bufio"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/locator"
	"bramleyline.example/bramleyline/signer"
)

// Guards against a refusal without its outcome, and against a refused request that still reaches the target.
func TestRefusedRequestsSayNotRun(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
	s.cfg.Services[0].Limits.MaxBody = 10
	s.cfg.Services[0].Limits.MaxHeader = 2000
	long := strings.Repeat("k", keyer.MaxKeyBytes+1)
	send := func(host int, path, body string, header http.Header) answer {
		r := io.Reader(strings.NewReader(body))
		if strings.HasSuffix(path, "chunked") {
			r = io.MultiReader(r)
		}
		req, err := http.NewRequest("POST", s.callerServers[host].URL+path, r)
		c.Assert(err, qt.IsNil)
		req.Header = header
		resp, err := s.callerServers[host].Client().Do(req)
		c.Assert(err, qt.IsNil)
		defer resp.Body.Close()
		return answer{
			status:  resp.StatusCode,
			outcome: resp.Header.Get("Bramleyline-Outcome"),
			reason:  resp.Header.Get("Bramleyline-Reason"),
		}
	}
	key := http.Header{"Bramleyline-Key": {"picker7"}}
	cases := []struct {
		path   string
		body   string
		header http.Header
		status int
		reason string
	}{
		{"/nobody/x", "", key, 404, "unknownService"},
		{"/", "", key, 404, "unknownService"},
		{"/tally", "", http.Header{}, 400, "badKey"},
		{"/tally", "", http.Header{"Bramleyline-Key": {"a", "b"}}, 400, "badKey"},
		{"/tally", "", http.Header{"Bramleyline-Key": {long}}, 400, "badKey"},
		{"/tally", "eleven byte", key, 413, "bodyTooLong"},
		{"/tally?chunked", "eleven byte", key, 413, "bodyTooLong"},
		{"/tally", "", http.Header{"Bramleyline-Key": {"a"}, "Note": {strings.Repeat("n", 2000)}}, 431, "headerTooLong"},
		{"/tally", "", http.Header{"Bramleyline-Key": {"a"}, "Bramleyline-Deadline": {"-1"}}, 400, "badRequest"},
	}
	for _, tc := range cases {
		for host := range 2 {
			a := send(host, tc.path, tc.body, tc.header.Clone())
			c.Assert(a, qt.Equals, answer{status: tc.status, outcome: "notRun", reason: tc.reason}, qt.Commentf("%+v", tc))
		}
	}
	s.routers[0].opts.Config = func() *configurer.Config { return nil }
	c.Assert(s.call(0, "GET", "/tally", "").reason, qt.Equals, "notReady")
	s.locators[1] = locator.Current{}
	c.Assert(s.call(1, "GET", "/tally", "").reason, qt.Equals, "notReady")
	c.Assert(s.received.Load(), qt.Equals, int64(0))
	c.Assert(s.routers[0].admission.requests.Load(), qt.Equals, int64(0))
	c.Assert(s.routers[0].admission.bodyBytes.Load(), qt.Equals, int64(0))
}

// Guards against system headers of a caller that reach the target, and against those of a target that reach the caller.
func TestSystemHeadersDoNotPass(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Bramleyline-Outcome", "notRun")
		h := r.Header
		fmt.Fprint(w, h["Bramleyline-Epoch"], h["Bramleyline-Caller-Request"], h["Bramleyline-Key"], h["Bramleyline-Hops"], h["X-Private"])
	})
	for host := range 2 {
		a := s.call(host, "POST", "/tally", "", "Bramleyline-Epoch", "99", "Bramleyline-Hops", "1", "Bramleyline-Request", "mine",
			"Connection", "X-Private", "X-Private", "1")
		c.Assert(a.status, qt.Equals, 200)
		c.Assert(a.outcome, qt.Equals, "")
		c.Assert(a.body, qt.Equals, fmt.Sprintf("[%d] [mine] [picker7] [] []", uint64(s.epoch)))
	}
}

// Guards against accepting requests at the peer address that no host signed, or that were changed in transit.
func TestPeerRequestsNeedASignature(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
	for _, sum := range []string{"", "00", s.routers[1].signer.Sign(nil, "tally")} {
		req, _ := http.NewRequest("POST", s.peerServers[0].URL+"/x", nil)
		for name, v := range map[string]string{
			"Service": "tally", "Hops": "1", "Deadline": "1000", "Epoch": "1", "Request": "b-1", "Key": "picker7", "Signature": sum,
		} {
			req.Header.Set("Bramleyline-"+name, v)
		}
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, 401)
		c.Assert(resp.Header.Get("Bramleyline-Outcome"), qt.Equals, "notRun")
		_ = resp.Body.Close()
	}
	s.routers[1].signer = signer.New("another key")
	a := s.call(1, "POST", "/tally", "")
	c.Assert(a.status, qt.Equals, 401, qt.Commentf("%+v", a))
	c.Assert(a.outcome, qt.Equals, "notRun")
	c.Assert(s.received.Load(), qt.Equals, int64(0))
}

// Guards against a request that two hosts forward to each other for ever, because the table of each names the other as
// the dispatching host.
func TestHopsAreBounded(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(http.ResponseWriter, *http.Request) {})
	s.cfg.Services[0].Ownership.HandoverWait = 1
	s.publish(func(host int, r *locator.Route) {
		r.Local, r.Lease = false, nil
		r.Host, r.Peer = []string{"b", "a"}[host], addrOf(s.peerServers[1-host])
	})
	a := s.call(0, "POST", "/tally", "")
	c.Assert(a.outcome, qt.Equals, "notRun")
	c.Assert(a.reason, qt.Equals, "staleRoute", qt.Commentf("%+v", a))
}

// FuzzKey checks that the path of a forwarded request stays the same from host to host, and that keys found in it are
// valid, so that the dispatching host finds the same key as the first.
func FuzzKey(f *testing.F) {
	for _, p := range []string{"/tally/a/b", "/tally%2Fa/b", "/tally//a", "/t%61lly/a%2fb?k=1&k=2", "/tally?dealer=7", "/tally/%zz", "*", "/tally/..;/x", "/tally/ÿ", "//tally/x", "/tally//evil/x?dealer=%3f"} {
		f.Add(p)
	}
	sources := []string{"path:1", "path:2", "query:dealer", "header:Dealer"}
	f.Fuzz(func(t *testing.T, uri string) {
		first, err := url.ParseRequestURI(uri)
		if err != nil {
			return
		}
		service, rest, err := splitService(first)
		if err != nil {
			return
		}
		if !strings.HasPrefix(rest, "/") {
			t.Fatalf("%q: path %q of service %q is not absolute", uri, rest, service)
		}
		second, err := url.ParseRequestURI(rest)
		if err != nil {
			t.Fatalf("%q: %q cannot be parsed by the next host: %v", uri, rest, err)
		}
		third, err := url.ParseRequestURI(second.RequestURI())
		if err != nil || third.Path != second.Path || third.RawQuery != second.RawQuery {
			t.Fatalf("%q: %q changes on the way to %q", uri, rest, second.RequestURI())
		}
		for _, source := range sources {
			k, err := keyer.New(source, 16)
			if err != nil {
				t.Fatal(err)
			}
			r := http.Request{URL: second, Header: http.Header{"Dealer": {"7"}}}
			if key, err := k.Key(&r); err == nil && (key == "" || len(key) > keyer.MaxKeyBytes) {
				t.Fatalf("%q: key %q", uri, key)
			}
		}
	})
}

// FuzzStrip checks that stripHeaders removes each system header and hop-by-hop header, however its name is written.
func FuzzStrip(f *testing.F) {
	f.Add("GET / HTTP/1.1\r\nHost: x\r\nConnection: close, Bramleyline-Epoch, x-a\r\nX-A: 1\r\nbramleyline-epoch: 4\r\n\r\n")
	f.Add("GET / HTTP/1.1\r\nHost: x\r\nBRAMLEYLINE-key: 4\r\nTE: trailers\r\nConnection:\r\n\r\n")
	f.Fuzz(func(t *testing.T, raw string) {
		r, err := http.ReadRequest(bufio.NewReader(strings.NewReader(raw)))
		if err != nil {
			return
		}
		stripHeaders(r.Header)
		for name := range r.Header {
			if lower := strings.ToLower(name); lower == "connection" || lower == "te" ||
				(strings.HasPrefix(lower, "bramleyline-") && lower != "bramleyline-key") {
				t.Fatalf("header %q passes", name)
			}
		}
	})
}
