package experimenter

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/keyer"
)

const (
	// operatorTimeout bounds the request that sends a takeout or a restoration to one host.
	operatorTimeout = time.Second
	// heartbeatTimeout is the time without a heartbeat after which a host considers a target lost.
	heartbeatTimeout = time.Second
	// baselineAttempts bounds the attempts of a request, baselineTimeout one attempt or relayed heartbeat.
	baselineAttempts = 4
	baselineTimeout  = 2 * time.Second
)

// relayedHeader marks a heartbeat that another host has relayed.
const relayedHeader = "Bench-Relayed"

type baselineTarget struct {
	name          string
	service       string
	dataCentre    string
	address       string
	lastHeartbeat time.Time
	draining      bool
}

// baselineHost is one host of the baseline. Each host keeps its own table of the targets.
type baselineHost struct {
	baseline   *baseline
	name       string
	dataCentre string
	entry      netip.AddrPort
	announce   netip.AddrPort
	ready      atomic.Bool
	roundRobin atomic.Uint64

	mu       sync.Mutex
	servers  []*http.Server
	client   *http.Client
	targets  map[string]baselineTarget
	takenOut map[string]bool
	keyers   map[string]keyer.Keyer
}

func newBaselineHost(b *baseline, dataCentre, name string) *baselineHost {
	h := &baselineHost{
		baseline:   b,
		name:       name,
		dataCentre: dataCentre,
		keyers:     make(map[string]keyer.Keyer),
	}
	for _, s := range b.setup.Services {
		if k, err := keyer.New(s.KeySource, s.Slots); err == nil && s.Keyed {
			h.keyers[s.Name] = k
		}
	}
	return h
}

// reserveAddrs chooses the host's addresses, which stay the same over restarts.
func (h *baselineHost) reserveAddrs() error {
	for _, addr := range []*netip.AddrPort{&h.entry, &h.announce} {
		a, err := reserveAddr()
		if err != nil {
			return err
		}
		*addr = a
		h.baseline.setup.Network.Name(a, h.name)
	}
	return nil
}

func (h *baselineHost) start() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.servers) > 0 {
		return nil
	}
	h.targets = make(map[string]baselineTarget)
	h.takenOut = make(map[string]bool)
	h.client = &http.Client{
		Transport: &http.Transport{
			DialContext:         h.baseline.setup.Network.Dialer(h.name),
			MaxIdleConnsPerHost: 100,
			// Without a bound, connections pile up while the machine stalls, until the process has no file descriptors
			// left.
			MaxConnsPerHost: 64,
		},
		Timeout: baselineTimeout,
	}
	control := http.NewServeMux()
	control.HandleFunc("POST /v1/heartbeat", h.heartbeat)
	control.HandleFunc("POST /v1/out", func(_ http.ResponseWriter, r *http.Request) {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.takenOut[r.URL.Query().Get("name")] = r.URL.Query().Get("out") == "true"
	})
	for addr, handler := range map[netip.AddrPort]http.Handler{h.entry: h, h.announce: control} {
		ln, err := net.Listen("tcp", addr.String())
		if err != nil {
			return errors.Wrapf(err, "baseline host %s", h.name)
		}
		srv := &http.Server{
			Handler:           handler,
			ReadHeaderTimeout: 10 * time.Second,
		}
		h.servers = append(h.servers, srv)
		go func() { _ = srv.Serve(ln) }()
	}
	h.ready.Store(true)
	return nil
}

func (h *baselineHost) detach() ([]*http.Server, *http.Client) {
	h.ready.Store(false)
	h.mu.Lock()
	defer h.mu.Unlock()
	servers := h.servers
	h.servers = nil
	return servers, h.client
}

func (h *baselineHost) kill() {
	servers, client := h.detach()
	for _, srv := range servers {
		_ = srv.Close()
	}
	if client != nil {
		client.CloseIdleConnections()
	}
}

// stop makes the host not ready, waits 1 s so that the balancer sees it, and then waits for the requests in progress.
func (h *baselineHost) stop(ctx context.Context) error {
	servers, client := h.detach()
	time.Sleep(time.Second)
	var first error
	for _, srv := range servers {
		if err := srv.Shutdown(ctx); err != nil && first == nil {
			first = errors.Wrapf(err, "stop of %s", h.name)
		}
	}
	client.CloseIdleConnections()
	return first
}

// heartbeat records the target that sent it, and relays the heartbeat to all other hosts unless one of them relayed it.
func (h *baselineHost) heartbeat(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	var hb struct {
		Name       string `json:"name"`
		Service    string `json:"service"`
		DataCentre string `json:"dataCentre"`
		Address    string `json:"address"`
		State      string `json:"state"`
	}
	if err != nil || json.Unmarshal(body, &hb) != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.mu.Lock()
	h.targets[hb.Name] = baselineTarget{
		name:          hb.Name,
		service:       hb.Service,
		dataCentre:    hb.DataCentre,
		address:       hb.Address,
		lastHeartbeat: time.Now(),
		draining:      hb.State == "draining",
	}
	h.mu.Unlock()
	if r.Header.Get(relayedHeader) == "" {
		for _, other := range h.baseline.hosts {
			if other != h {
				go h.relay(other.announce, body)
			}
		}
	}
	_, _ = w.Write([]byte(`{"leaseMs":1000,"owned":[],"releasing":[]}`))
}

func (h *baselineHost) relay(to netip.AddrPort, body []byte) {
	req, err := http.NewRequest(http.MethodPost, "http://"+to.String()+"/v1/heartbeat", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set(relayedHeader, "yes")
	resp, err := h.client.Do(req)
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	_ = resp.Body.Close()
}

// pool returns the targets of a service that the host considers live and that are in service, sorted by name.
func (h *baselineHost) pool(service string) []baselineTarget {
	h.mu.Lock()
	defer h.mu.Unlock()
	var pool []baselineTarget
	for _, t := range h.targets {
		if t.service == service && !t.draining && time.Since(t.lastHeartbeat) < heartbeatTimeout && !h.takenOut[t.name] &&
			!h.takenOut[t.dataCentre] {
			pool = append(pool, t)
		}
	}
	slices.SortFunc(pool, func(a, b baselineTarget) int { return strings.Compare(a.name, b.name) })
	return pool
}

// ServeHTTP sends a caller's request to a target and makes up to three retries if that fails, whatever the method.
func (h *baselineHost) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	service, rest, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	body, err := io.ReadAll(io.LimitReader(r.Body, 8<<20))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	r.URL.Path = "/" + rest
	for attempt := 1; ; attempt++ {
		target, ok := h.choose(service, r)
		if !ok {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		resp, answer, err := h.send(r, target, body)
		if (err != nil || resp.StatusCode >= 400) && attempt < baselineAttempts && r.Context().Err() == nil {
			continue
		}
		if err != nil {
			w.WriteHeader(http.StatusBadGateway)
			return
		}
		for name, values := range resp.Header {
			w.Header()[name] = values
		}
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(answer)
		return
	}
}

func (h *baselineHost) choose(service string, r *http.Request) (baselineTarget, bool) {
	pool := h.pool(service)
	if len(pool) == 0 {
		return baselineTarget{}, false
	}
	n := h.roundRobin.Add(1)
	if k, ok := h.keyers[service]; ok {
		key, err := k.Key(r)
		if err != nil {
			return baselineTarget{}, false
		}
		n = xxhash.Sum64String(key)
	}
	return pool[n%uint64(len(pool))], true
}

func (h *baselineHost) send(r *http.Request, t baselineTarget, body []byte) (*http.Response, []byte, error) {
	u := "http://" + t.address + r.URL.RequestURI()
	req, err := http.NewRequestWithContext(r.Context(), r.Method, u, bytes.NewReader(body))
	if err != nil {
		return nil, nil, errors.Wrap(err, "create the request to the target")
	}
	req.Header = r.Header.Clone()
	resp, err := h.client.Do(req)
	if err != nil {
		return nil, nil, errors.Wrap(err, "send the request to the target")
	}
	defer resp.Body.Close()
	answer, err := io.ReadAll(resp.Body)
	return resp, answer, errors.Wrap(err, "read the answer of the target")
}
