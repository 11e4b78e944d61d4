package operator

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
)

const servicePath = "/v1/service"

func TestTakeoutAndRestore(t *testing.T) {
	f := newFixture(t)
	c := f.c
	out := presenter.SetService{DataCentre: "katowice", Out: true, Operator: "ada", Request: "r1"}
	_, a := f.post(servicePath, out)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	c.Assert(a.Index, qt.Equals, uint64(11))
	// A retry gets the first answer; another request is answered that the data centre is out already.
	_, a = f.post(servicePath, out)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	c.Assert(a.Index, qt.Equals, uint64(11))
	out.Request = "r2"
	out.Operator = "bob"
	_, a = f.post(servicePath, out)
	c.Assert(a.Outcome, qt.Equals, presenter.Already)
	c.Assert(a.Message, qt.Equals, "data centre katowice is out already, by ada since 1970-01-01T00:33:20Z")
	_, a = f.post(servicePath, presenter.SetService{DataCentre: "katowice", Operator: "bob", Request: "r3"})
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	c.Assert(f.control.State().DataCentres["katowice"].Out, qt.IsFalse)
}

// Guards against a takeout by mistake of the last data centre in service or of the last target of a service.
func TestTakeoutOfTheLastNeedsForce(t *testing.T) {
	f := newFixture(t)
	c := f.c
	for _, dc := range []string{"katowice", "rzeszow", "bielsko"} {
		_, a := f.post(servicePath, presenter.SetService{DataCentre: dc, Out: true, Operator: "ada", Request: dc})
		c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	}
	last := presenter.SetService{DataCentre: "krakow", Out: true, Operator: "ada", Request: "last"}
	code, a := f.post(servicePath, last)
	c.Assert(code, qt.Equals, http.StatusPreconditionRequired)
	c.Assert(a.Findings, qt.DeepEquals, []string{"data centre krakow is the last one in service"})
	target := presenter.SetService{Target: "tally-1", Out: true, Operator: "ada", Request: "target"}
	_, a = f.post(servicePath, target)
	c.Assert(a.Findings, qt.DeepEquals, []string{"service tally is left without targets"})
	target.Force = true
	_, a = f.post(servicePath, target)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	last.Force = true
	_, a = f.post(servicePath, last)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
}

func TestTakeoutOfUnknownNames(t *testing.T) {
	f := newFixture(t)
	for _, req := range []presenter.SetService{
		{DataCentre: "atlantis", Out: true, Operator: "ada", Request: "r"},
		{Target: "tally-99", Out: true, Operator: "ada", Request: "r"},
		{DataCentre: "krakow", Target: "tally-1", Out: true, Operator: "ada", Request: "r"},
		{Out: true, Operator: "ada", Request: "r"},
		{DataCentre: "krakow", Out: true, Operator: "ada"},
		{DataCentre: "krakow", Out: true, Operator: "a\nb", Request: "r"},
	} {
		_, a := f.post(servicePath, req)
		f.c.Assert(a.Outcome, qt.Equals, presenter.Refused)
	}
	f.c.Assert(f.control.State().Index, qt.Equals, uint64(10))
}

func TestAPIRequiresTheKey(t *testing.T) {
	f := newFixture(t)
	for _, path := range []string{"/", "/v1/status", "/v1/history", "/v1/configurations/1", "/debug/vars"} {
		for _, header := range []string{"", "Bearer ", "Bearer wrong", "Basic b3A6d3Jvbmc="} {
			req := httptest.NewRequest(http.MethodGet, path, nil)
			req.Header.Set("Authorization", header)
			rec := httptest.NewRecorder()
			f.handler.ServeHTTP(rec, req)
			f.c.Assert(rec.Code, qt.Equals, http.StatusUnauthorized, qt.Commentf("%s %q", path, header))
		}
		rec := f.do(httptest.NewRequest(http.MethodGet, path, nil))
		f.c.Assert(rec.Code, qt.Equals, http.StatusOK)
		f.c.Assert(strings.Contains(rec.Body.String(), testKey), qt.IsFalse)
	}
}

// Guards against an Operator without a key that accepts requests with an empty one.
func TestEmptyKeyIsRefused(t *testing.T) {
	f := newFixture(t)
	f.o.Key = ""
	req := httptest.NewRequest(http.MethodGet, "/v1/status", nil)
	req.Header.Set("Authorization", "Bearer ")
	rec := httptest.NewRecorder()
	f.o.Handler().ServeHTTP(rec, req)
	f.c.Assert(rec.Code, qt.Equals, http.StatusUnauthorized)
}

func TestRequestsAreBounded(t *testing.T) {
	f := newFixture(t)
	for _, test := range []struct {
		body, contentType string
		want              int
	}{
		{body: strings.Repeat("x", maxBodyBytes+1), contentType: jsonType, want: http.StatusBadRequest},
		{body: `{"base": "` + strings.Repeat("x", maxBodyBytes) + `"}`, contentType: jsonType, want: http.StatusBadRequest},
		{body: `{"forse": true}`, contentType: jsonType, want: http.StatusBadRequest},
		{body: `{}`, contentType: "text/plain", want: http.StatusUnsupportedMediaType},
	} {
		req := httptest.NewRequest(http.MethodPost, configurationsPath, strings.NewReader(test.body))
		req.Header.Set("Content-Type", test.contentType)
		f.c.Assert(f.do(req).Code, qt.Equals, test.want)
	}
}

func TestReadinessNeedsNoKey(t *testing.T) {
	f := newFixture(t)
	get := func(path string) int {
		rec := httptest.NewRecorder()
		f.handler.ServeHTTP(rec, httptest.NewRequest(http.MethodGet, path, nil))
		return rec.Code
	}
	f.c.Assert(get("/v1/ready"), qt.Equals, http.StatusOK)
	f.o.Ready = func() error { return errors.New("no configuration yet") }
	f.c.Assert(get("/v1/ready"), qt.Equals, http.StatusServiceUnavailable)
	f.c.Assert(get("/v1/live"), qt.Equals, http.StatusOK)
}

// Guards against collecting the status anew for each of many open pages and waiting commands, and against a cached
// status that does not show a change at once.
func TestStatusIsCachedUntilTheStateChanges(t *testing.T) {
	f := newFixture(t)
	collections := 0
	f.o.Facts = func(context.Context) Facts {
		collections++
		return f.facts
	}
	// The age of the status follows the real clock, so a slow machine may collect it more often, but never once for
	// each request.
	for range 1000 {
		f.o.recentStatus(t.Context())
	}
	f.c.Assert(collections < 1000, qt.IsTrue)
	_, a := f.post(servicePath, presenter.SetService{DataCentre: "krakow", Out: true, Operator: "ada", Request: "r", Force: true})
	f.c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	f.c.Assert(f.o.recentStatus(t.Context()).DataCentres[2].Out, qt.IsTrue)
}

// Guards against tools that leave connections open and use up the host's file descriptors.
func TestConnectionsAreBounded(t *testing.T) {
	f := newFixture(t)
	c := f.c
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	f.o.Start(ln, nil)
	var open []net.Conn
	for range maxConnections {
		conn, err := net.Dial("tcp", ln.Addr().String())
		c.Assert(err, qt.IsNil)
		open = append(open, conn)
	}
	client := http.Client{}
	answered := make(chan error, 1)
	go func() {
		res, err := client.Get("http://" + ln.Addr().String() + "/v1/live")
		if err == nil {
			err = res.Body.Close()
		}
		answered <- err
	}()
	select {
	case <-answered:
		c.Error("a connection above the limit was served")
	case <-time.After(50 * time.Millisecond):
	}
	for _, conn := range open {
		c.Assert(conn.Close(), qt.IsNil)
	}
	c.Assert(<-answered, qt.IsNil)
	client.CloseIdleConnections()
	c.Assert(f.o.Close(t.Context()), qt.IsNil)
	<-f.o.Done()
}
