package participant

import (
	"bytes"
	"context"
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/messenger"
	"bramleyline.example/bramleyline/timekeeper"
)

// fakeStateMachine applies each proposed command at once.
type fakeStateMachine struct {
	mu      sync.Mutex
	state   *applier.State
	changed chan struct{}
}

func newStateMachine() *fakeStateMachine {
	return &fakeStateMachine{
		state:   &applier.State{},
		changed: make(chan struct{}),
	}
}

func (m *fakeStateMachine) State() *applier.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *fakeStateMachine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *fakeStateMachine) Propose(_ context.Context, cmd applier.Command) (applier.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, r := m.state.Apply(m.state.Index+1, cmd)
	m.state = next
	close(m.changed)
	m.changed = make(chan struct{})
	return r, nil
}

const testSlots = 32

// testHost is a host with real network listeners.
type testHost struct {
	*Participant
	host     applier.Host
	listener *messenger.Listener
	client   *messenger.Messenger
	announce *httptest.Server
}

func testConfig() *configurer.Config {
	tally := configurer.DefaultService("tally")
	tally.Keyed, tally.Slots = true, testSlots
	payroll := configurer.DefaultService("payroll")
	return &configurer.Config{
		Version:  1,
		Timing:   configurer.DefaultTiming(),
		Services: []configurer.Service{tally, payroll},
	}
}

func startTestHost(t *testing.T, m *fakeStateMachine, cfg *configurer.Config, name, dc string, leader bool, voters map[string]netip.AddrPort) *testHost {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	h := &testHost{
		listener: &messenger.Listener{},
		client:   &messenger.Messenger{},
	}
	mux := http.NewServeMux()
	h.announce = httptest.NewServer(mux)
	rpc := netip.MustParseAddrPort(ln.Addr().String())
	h.host = applier.Host{
		Name: name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: dc, Control: leader,
		RPC: rpc, Peer: rpc, Announce: netip.MustParseAddrPort(h.announce.Listener.Addr().String()),
	}
	o := Options{
		Host: h.host, Source: m, Proposer: m, Messenger: h.client, Token: "secret", Voters: voters,
		Config: func() *configurer.Config { return cfg },
	}
	if leader {
		since := timekeeper.Now()
		o.Leading = func(time.Time) (time.Time, bool) { return since, true }
		voters[name] = rpc
	}
	h.Participant, err = New(o)
	c.Assert(err, qt.IsNil)
	c.Assert(h.Register(h.listener), qt.IsNil)
	mux.Handle("/", h.Handler())
	h.listener.Start(ln)
	h.Start()
	t.Cleanup(h.stop)
	return h
}

func (h *testHost) stop() {
	_ = h.client.Close()
	_ = h.listener.Close()
	_ = h.Close()
	h.announce.Close()
}

// fakeTarget sends heartbeats over HTTP and records the slots that it is granted.
type fakeTarget struct {
	heartbeatBody map[string]any

	mu         sync.Mutex
	leaseUntil time.Time
	owned      map[keyer.Slot]fencer.Epoch
	stop       chan struct{}
	once       sync.Once
}

func startTarget(t *testing.T, name, service, dc string, hosts ...*testHost) *fakeTarget {
	ft := &fakeTarget{
		heartbeatBody: map[string]any{
			"name": name, "service": service, "dataCentre": dc, "incarnation": 1, "address": "127.0.0.1:9",
			"state": "warm", "slots": 4, "connections": 100, "checksEpoch": true,
		},
		stop: make(chan struct{}),
	}
	t.Cleanup(ft.halt)
	go func() {
		for i := 0; ; {
			if !ft.sendHeartbeat(hosts[i%len(hosts)]) {
				i++
			}
			select {
			case <-ft.stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return ft
}

func (ft *fakeTarget) halt() {
	ft.once.Do(func() { close(ft.stop) })
}

func (ft *fakeTarget) sendHeartbeat(h *testHost) bool {
	body, _ := json.Marshal(ft.heartbeatBody)
	asked := time.Now()
	req, _ := http.NewRequest(http.MethodPost, h.announce.URL+"/v1/heartbeat", bytes.NewReader(body))
	req.Header.Set("Authorization", "Bearer secret")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	var r struct {
		LeaseMs   int64
		Version   uint64
		Owned     []struct{ From, To, Epoch uint64 }
		Releasing []keyer.Slot
	}
	if resp.StatusCode != http.StatusOK || json.NewDecoder(resp.Body).Decode(&r) != nil {
		return false
	}
	ft.mu.Lock()
	defer ft.mu.Unlock()
	if r.LeaseMs > 0 {
		ft.leaseUntil = asked.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	}
	ft.owned = map[keyer.Slot]fencer.Epoch{}
	for _, o := range r.Owned {
		for s := o.From; s <= o.To; s++ {
			ft.owned[keyer.Slot(s)] = fencer.Epoch(o.Epoch)
		}
	}
	ft.heartbeatBody["ackVersion"], ft.heartbeatBody["released"] = r.Version, r.Releasing
	return true
}

// heldSlots returns the slots that the target owns now, none if its lease has expired.
func (ft *fakeTarget) heldSlots() []keyer.Slot {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	if !time.Now().Before(ft.leaseUntil) {
		return nil
	}
	return slices.Collect(maps.Keys(ft.owned))
}
