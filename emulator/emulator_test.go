package emulator

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// fakeHost is a host that answers heartbeats with the status and body that the test sets, and records them.
type fakeHost struct {
	mu         sync.Mutex
	status     int
	body       string
	heartbeats []heartbeatWire
	srv        *httptest.Server
}

func newFakeHost(t *testing.T, status int, body string) *fakeHost {
	h := &fakeHost{
		status: status,
		body:   body,
	}
	h.srv = httptest.NewServer(h)
	t.Cleanup(h.srv.Close)
	return h
}

func (h *fakeHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.mu.Lock()
	defer h.mu.Unlock()
	var hb heartbeatWire
	_ = json.NewDecoder(r.Body).Decode(&hb)
	if r.Header.Get("Authorization") != "Bearer secret" {
		w.WriteHeader(http.StatusUnauthorized)
		return
	}
	h.heartbeats = append(h.heartbeats, hb)
	w.WriteHeader(h.status)
	_, _ = w.Write([]byte(h.body))
}

func (h *fakeHost) set(status int, body string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.status = status
	h.body = body
}

func (h *fakeHost) lastHeartbeat() heartbeatWire {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.heartbeats) == 0 {
		return heartbeatWire{}
	}
	return h.heartbeats[len(h.heartbeats)-1]
}

func (h *fakeHost) addr() netip.AddrPort {
	return netip.MustParseAddrPort(strings.TrimPrefix(h.srv.URL, "http://"))
}

func start(t *testing.T, o Options) *Emulator {
	e := New(o)
	qt.Assert(t, e.Start(), qt.IsNil)
	t.Cleanup(func() { _ = e.Close() })
	return e
}

func eventually(t *testing.T, condition string, ok func() bool) {
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(5 * time.Millisecond)
	}
	t.Fatalf("not reached: %s", condition)
}

func send(t *testing.T, e *Emulator, slot int, epoch uint64, body string) (*http.Response, error) {
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr().String()+"/work", strings.NewReader(body))
	qt.Assert(t, err, qt.IsNil)
	req.Header.Set(HeaderRequest, "r1")
	req.Header.Set(HeaderIdentity, "id1")
	if slot >= 0 {
		req.Header.Set(HeaderSlot, strconv.Itoa(slot))
		req.Header.Set(HeaderEpoch, strconv.FormatUint(epoch, 10))
	}
	resp, err := http.DefaultClient.Do(req)
	if err == nil {
		t.Cleanup(func() { _ = resp.Body.Close() })
	}
	return resp, err
}

const grantJSON = `{"leaseMs":60000,"fence":1,"version":7,"owned":[{"from":3,"to":5,"epoch":9}],"releasing":[]}`

// TestKeyedWork guards against a target that runs keyed requests without a lease, for a slot that it does not own, or
// under another epoch.
func TestKeyedWork(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost(t, http.StatusServiceUnavailable, "")
	e := start(t, Options{
		Token:     "secret",
		Warm:      true,
		Announce:  []netip.AddrPort{host.addr()},
		Heartbeat: 5 * time.Millisecond,
	})
	resp, err := send(t, e, 4, 9, "")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusConflict)
	c.Assert(resp.Header.Get(HeaderReason), qt.Equals, "staleEpoch")
	c.Assert(resp.Header.Get(HeaderOutcome), qt.Equals, "notRun")

	host.set(http.StatusOK, grantJSON)
	eventually(t, "version acknowledged", func() bool { return host.lastHeartbeat().AckVersion == 7 })
	for _, test := range []struct {
		slot   int
		epoch  uint64
		status int
	}{
		{4, 9, http.StatusOK},
		{4, 8, http.StatusConflict},
		{4, 10, http.StatusConflict},
		{6, 9, http.StatusConflict},
	} {
		resp, err := send(t, e, test.slot, test.epoch, "")
		c.Assert(err, qt.IsNil)
		c.Assert(resp.StatusCode, qt.Equals, test.status)
		c.Assert(resp.Header.Get(HeaderRequest), qt.Equals, "r1")
	}
	var runs []Run
	for _, r := range e.Runs() {
		if r.Result != ResultRejected {
			runs = append(runs, r)
		}
	}
	c.Assert(runs, qt.HasLen, 1)
	c.Assert(runs[0].Slot, qt.Equals, keyer.Slot(4))
	c.Assert(runs[0].Epoch, qt.Equals, fencer.Epoch(9))
	c.Assert(runs[0].Result, qt.Equals, ResultFinished)
}

// TestRelease guards against a target that confirms a release while it still runs a request for the slot, or that
// accepts a request for a slot that it has released.
func TestRelease(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost(t, http.StatusOK, grantJSON)
	e := start(t, Options{
		Token:       "secret",
		Warm:        true,
		Announce:    []netip.AddrPort{host.addr()},
		Heartbeat:   5 * time.Millisecond,
		ServiceTime: 100 * time.Millisecond,
	})
	eventually(t, "slots granted", func() bool { return len(e.Holdings()) == 3 })
	answered := make(chan int, 1)
	go func() {
		resp, err := send(t, e, 4, 9, "")
		if err == nil {
			answered <- resp.StatusCode
		}
		close(answered)
	}()
	eventually(t, "request in progress", func() bool { return e.InFlight() == 1 })
	host.set(http.StatusOK, strings.Replace(grantJSON, `"releasing":[]`, `"releasing":[4]`, 1))
	eventually(t, "release confirmed", func() bool { return len(host.lastHeartbeat().Released) == 1 })
	c.Assert(<-answered, qt.Equals, http.StatusOK)
	runs := e.Runs()
	for _, h := range e.Holdings() {
		if h.Slot == 4 {
			c.Assert(h.Until.Before(runs[0].Ended), qt.IsFalse)
		}
	}
	resp, err := send(t, e, 4, 9, "")
	c.Assert(err, qt.IsNil)
	c.Assert(resp.StatusCode, qt.Equals, http.StatusConflict)
}

// TestRedirect guards against a target that keeps sending heartbeats to an unreachable host, or to one that redirects
// it to its dispatching host.
func TestRedirect(t *testing.T) {
	dispatching := newFakeHost(t, http.StatusOK, grantJSON)
	other := newFakeHost(t, http.StatusMisdirectedRequest, `{"host":"b","address":"`+dispatching.addr().String()+`"}`)
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	e := start(t, Options{
		Token:     "secret",
		Announce:  []netip.AddrPort{unreachable, other.addr()},
		Heartbeat: 5 * time.Millisecond,
	})
	eventually(t, "slots granted", func() bool { return len(e.Holdings()) == 3 })
}

// TestFreezeOutlastsLease guards against a frozen target whose requests take effect after its lease has expired.
func TestFreezeOutlastsLease(t *testing.T) {
	c := qt.New(t)
	host := newFakeHost(t, http.StatusOK, strings.Replace(grantJSON, "60000", "300", 1))
	e := start(t, Options{
		Token:       "secret",
		Warm:        true,
		Announce:    []netip.AddrPort{host.addr()},
		Heartbeat:   5 * time.Millisecond,
		ServiceTime: 50 * time.Millisecond,
	})
	eventually(t, "slots granted", func() bool { return len(e.Holdings()) == 3 })
	status := make(chan int, 1)
	go func() {
		resp, err := send(t, e, 4, 9, "")
		if err == nil {
			status <- resp.StatusCode
		}
		close(status)
	}()
	eventually(t, "request in progress", func() bool { return e.InFlight() == 1 })
	e.Freeze()
	host.set(http.StatusServiceUnavailable, "")
	time.Sleep(400 * time.Millisecond)
	e.Thaw()
	c.Assert(<-status, qt.Equals, http.StatusConflict)
	c.Assert(e.Runs()[0].Result, qt.Equals, ResultStale)
}

// TestColdTargetCrashesUnderLoad guards against a cold target that handles any load, and against one that restarts warm
// or in the same incarnation after the crash.
func TestColdTargetCrashesUnderLoad(t *testing.T) {
	c := qt.New(t)
	e := start(t, Options{
		ServiceTime: 200 * time.Millisecond,
		Restart:     time.Millisecond,
	})
	firstIncarnation := e.state().Incarnation
	var wg sync.WaitGroup
	for range 2 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			_, _ = send(t, e, -1, 0, "")
		}()
	}
	wg.Wait()
	eventually(t, "new incarnation", func() bool { s := e.state(); return s.Up && s.Incarnation != firstIncarnation })
	c.Assert(e.Crashes(), qt.Equals, 1)
	c.Assert(e.state().Cold, qt.IsTrue)
	for _, r := range e.Runs() {
		c.Assert(r.Result, qt.Equals, ResultCrashed)
	}
}

// TestPoison guards against a poison request that does not crash its target.
func TestPoison(t *testing.T) {
	c := qt.New(t)
	e := start(t, Options{
		Restart: -1,
	})
	_, err := send(t, e, -1, 0, "a "+PoisonMark)
	c.Assert(err, qt.IsNotNil)
	c.Assert(e.state().Up, qt.IsFalse)
}

// TestCancel guards against a target that continues to run a request whose connection was closed.
func TestCancel(t *testing.T) {
	e := start(t, Options{
		ServiceTime: time.Minute,
		Sigma:       0.01,
	})
	ctx, cancel := context.WithCancel(context.Background())
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.Addr().String()+"/", nil)
	qt.Assert(t, err, qt.IsNil)
	go func() {
		resp, err := http.DefaultClient.Do(req)
		if err == nil {
			_ = resp.Body.Close()
		}
	}()
	eventually(t, "request in progress", func() bool { return e.InFlight() == 1 })
	cancel()
	eventually(t, "request cancelled", func() bool { return e.InFlight() == 0 })
	qt.Assert(t, e.Runs()[0].Result, qt.Equals, ResultCancelled)
}

// TestControl guards against a control API that reports other runs than the target recorded.
func TestControl(t *testing.T) {
	c := qt.New(t)
	e := start(t, Options{
		Control: netip.MustParseAddrPort("127.0.0.1:0"),
	})
	_, err := send(t, e, -1, 0, "")
	c.Assert(err, qt.IsNil)
	resp, err := http.Post("http://"+e.ControlAddr().String()+"/v1/drain", "", nil)
	c.Assert(err, qt.IsNil)
	c.Assert(resp.Body.Close(), qt.IsNil)
	rejected, err := send(t, e, -1, 0, "")
	c.Assert(err, qt.IsNil)
	c.Assert(rejected.Header.Get(HeaderReason), qt.Equals, "draining")
	runs, err := FetchRuns(context.Background(), e.ControlAddr())
	c.Assert(err, qt.IsNil)
	c.Assert(runs, qt.HasLen, 2)
	c.Assert(runs[1].Reason, qt.Equals, "draining")
	local := e.Runs()[0]
	c.Assert(runs[0].Started.Equal(local.Started), qt.IsTrue)
	c.Assert(runs[0].Identity, qt.Equals, local.Identity)
}
