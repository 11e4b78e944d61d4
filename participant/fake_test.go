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

// machine is a state machine that commits at once.
type machine struct {
	mu      sync.Mutex
	state   *applier.State
	changed chan struct{}
}

func newMachine() *machine {
	return &machine{
		state:   &applier.State{},
		changed: make(chan struct{}),
	}
}

func (m *machine) State() *applier.State {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.state
}

func (m *machine) Changed() <-chan struct{} {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.changed
}

func (m *machine) Propose(_ context.Context, cmd applier.Command) (applier.Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	next, r := m.state.Apply(m.state.Index+1, cmd)
	m.state = next
	close(m.changed)
	m.changed = make(chan struct{})
	return r, nil
}

const testSlots = 32

// node is one host of a test.
type node struct {
	*Participant
	host     applier.Host
	listener *messenger.Listener
	caller   *messenger.Messenger
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

func startNode(t *testing.T, m *machine, cfg *configurer.Config, name, dc string, leader bool, voters map[string]netip.AddrPort) *node {
	c := qt.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	c.Assert(err, qt.IsNil)
	n := &node{
		listener: &messenger.Listener{},
		caller:   &messenger.Messenger{},
	}
	mux := http.NewServeMux()
	n.announce = httptest.NewServer(mux)
	rpc := netip.MustParseAddrPort(ln.Addr().String())
	n.host = applier.Host{
		Name: name, Incarnation: uint64(time.Now().UnixNano()), DataCentre: dc, Control: leader,
		RPC: rpc, Peer: rpc, Announce: netip.MustParseAddrPort(n.announce.Listener.Addr().String()),
	}
	o := Options{
		Host: n.host, Source: m, Proposer: m, Messenger: n.caller, Token: "secret", Voters: voters,
		Config: func() *configurer.Config { return cfg },
	}
	if leader {
		since := timekeeper.Now()
		o.Leading = func(time.Time) (time.Time, bool) { return since, true }
		voters[name] = rpc
	}
	n.Participant, err = New(o)
	c.Assert(err, qt.IsNil)
	c.Assert(n.Register(n.listener), qt.IsNil)
	mux.Handle("/", n.Handler())
	n.listener.Start(ln)
	n.Start()
	t.Cleanup(n.stop)
	return n
}

func (n *node) stop() {
	_ = n.caller.Close()
	_ = n.listener.Close()
	_ = n.Close()
	n.announce.Close()
}

// fakeTarget sends heartbeats and keeps what it was granted.
type fakeTarget struct {
	wire map[string]any

	mu    sync.Mutex
	until time.Time
	owned map[keyer.Slot]fencer.Epoch
	stop  chan struct{}
	once  sync.Once
}

func startTarget(t *testing.T, name, service, dc string, nodes ...*node) *fakeTarget {
	ft := &fakeTarget{
		wire: map[string]any{
			"name": name, "service": service, "dataCentre": dc, "incarnation": 1, "address": "127.0.0.1:9",
			"state": "warm", "slots": 4, "connections": 100, "checksEpoch": true,
		},
		stop: make(chan struct{}),
	}
	t.Cleanup(ft.halt)
	go func() {
		for i := 0; ; {
			if !ft.beat(nodes[i%len(nodes)]) {
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

func (ft *fakeTarget) beat(n *node) bool {
	body, _ := json.Marshal(ft.wire)
	asked := time.Now()
	req, _ := http.NewRequest(http.MethodPost, n.announce.URL+"/v1/heartbeat", bytes.NewReader(body))
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
		ft.until = asked.Add(time.Duration(r.LeaseMs) * time.Millisecond)
	}
	ft.owned = map[keyer.Slot]fencer.Epoch{}
	for _, o := range r.Owned {
		for s := o.From; s <= o.To; s++ {
			ft.owned[keyer.Slot(s)] = fencer.Epoch(o.Epoch)
		}
	}
	ft.wire["ackVersion"], ft.wire["released"] = r.Version, r.Releasing
	return true
}

// holds returns the slots that the target may act on now.
func (ft *fakeTarget) holds() []keyer.Slot {
	ft.mu.Lock()
	defer ft.mu.Unlock()
	if !time.Now().Before(ft.until) {
		return nil
	}
	return slices.Collect(maps.Keys(ft.owned))
}
