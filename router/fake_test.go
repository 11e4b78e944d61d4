package router

import (
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/leaser"
	"bramleyline.example/bramleyline/locator"
)

func TestMain(m *testing.M) {
	asserter.SetFatal(true)
	os.Exit(m.Run())
}

// testSystem is two hosts, a keyed and a shared service, and one target of each, which are one server. The first host
// dispatches for both targets. received is the number of requests that reached the server.
type testSystem struct {
	cfg           configurer.Config
	target        *httptest.Server
	addr          netip.AddrPort
	lease         leaser.SharedHolder
	locators      [2]locator.Current
	routers       [2]*Router
	callerServers [2]*httptest.Server
	peerServers   [2]*httptest.Server
	received      atomic.Int64
	epoch         fencer.Epoch
}

func addrOf(s *httptest.Server) netip.AddrPort {
	return netip.MustParseAddrPort(s.Listener.Addr().String())
}

// countAndEcho wraps the handler of a target: it counts the request and returns its identity, as targets must.
func countAndEcho(received *atomic.Int64, h http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		received.Add(1)
		w.Header().Set("Bramleyline-Request", r.Header.Get("Bramleyline-Request"))
		h(w, r)
	}
}

func newTestSystem(tb testing.TB, h http.HandlerFunc) *testSystem {
	keyed, shared := configurer.DefaultService("tally"), configurer.DefaultService("payroll")
	keyed.Keyed = true
	keyed.Slots = 16
	s := testSystem{
		cfg: configurer.Config{
			Version:  1,
			Services: []configurer.Service{keyed, shared},
		},
		epoch: fencer.NewEpoch(3, 1),
	}
	s.target = httptest.NewServer(countAndEcho(&s.received, h))
	tb.Cleanup(s.target.Close)
	s.addr = addrOf(s.target)
	s.lease.Renewed(time.Now(), time.Hour)
	for i, name := range []string{"a", "b"} {
		s.routers[i] = New(Options{
			Host:       name,
			DataCentre: "waw",
			Config:     func() *configurer.Config { return &s.cfg },
			Locator:    &s.locators[i],
			PeerKey:    "system key of the tests",
			Seed:       uint64(i + 1),
		})
		s.callerServers[i] = httptest.NewServer(s.routers[i])
		s.peerServers[i] = httptest.NewServer(s.routers[i].Peer())
		tb.Cleanup(s.callerServers[i].Close)
		tb.Cleanup(s.peerServers[i].Close)
	}
	s.publish(nil)
	return &s
}

// publish makes new tables current at both hosts; change may alter their routes.
func (s *testSystem) publish(change func(host int, r *locator.Route)) {
	for i := range s.locators {
		var tables []*locator.Table
		for _, svc := range s.cfg.Services {
			k, _ := keyer.New(svc.KeySource, svc.Slots)
			r := locator.Route{
				Target:      svc.Name + "1",
				Incarnation: 1,
				DataCentre:  "waw",
				Host:        "a",
				Peer:        addrOf(s.peerServers[0]),
				Epoch:       s.epoch,
			}
			if i == 0 {
				r.Local, r.Addr, r.Lease = true, s.addr, &s.lease
			}
			if change != nil {
				change(i, &r)
			}
			tables = append(tables, &locator.Table{
				Service: svc.Name,
				Keyed:   svc.Keyed,
				Keyer:   k,
				Owners:  make([]int32, svc.Slots),
				Routes:  []locator.Route{r},
			})
		}
		s.locators[i].Store(locator.New(1, 1, tables))
	}
}

type answer struct {
	status  int
	body    string
	outcome string
	reason  string
	err     error
}

// call sends one request with a key through the host.
func (s *testSystem) call(host int, method, path, body string, header ...string) answer {
	req, err := http.NewRequest(method, s.callerServers[host].URL+path, strings.NewReader(body))
	if err != nil {
		return answer{err: err}
	}
	req.Header.Set("Bramleyline-Key", "picker7")
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	resp, err := s.callerServers[host].Client().Do(req)
	if err != nil {
		return answer{err: err}
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	return answer{
		status:  resp.StatusCode,
		body:    string(b),
		outcome: resp.Header.Get("Bramleyline-Outcome"),
		reason:  resp.Header.Get("Bramleyline-Reason"),
		err:     err,
	}
}

func TestRequestReachesTarget(t *testing.T) {
	c := qt.New(t)
	s := newTestSystem(t, func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		_, _ = io.WriteString(w, r.Method+" "+r.RequestURI+" "+string(b)+" "+r.Header.Get("Bramleyline-Service")+r.Header.Get("Connection"))
	})
	for host := range s.routers {
		a := s.call(host, "POST", "/tally/baskets/a%2Fb?x=1", "5 kg", "Connection", "close")
		c.Assert(a.err, qt.IsNil)
		c.Assert(a.status, qt.Equals, 200, qt.Commentf("%+v", a))
		c.Assert(a.body, qt.Equals, "POST /baskets/a%2Fb?x=1 5 kg tally")
		a = s.call(host, "GET", "/payroll", "")
		c.Assert(a.status, qt.Equals, 200, qt.Commentf("%+v", a))
		c.Assert(a.body, qt.Equals, "GET /  payroll")
	}
}
