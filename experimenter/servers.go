package experimenter

import (
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/injector"
	"bramleyline.example/bramleyline/presenter"
	"bramleyline.example/bramleyline/requester"
	"bramleyline.example/bramleyline/server"
	"bramleyline.example/bramleyline/settingsreader"
)

// Keys and operator name of a measured deployment. The keys need not be secret: the deployment runs in one process on
// loopback.
const (
	benchSystemKey   = "bench-system-key-000"
	benchOperatorKey = "bench-operator-key-0"
	benchOperator    = "bench"
)

// relistenLimit bounds the time for which a restarted host tries to listen on its old addresses: the host's previous
// server may still be shutting down and hold them.
const relistenLimit = 5 * time.Second

// servers is the system under test: real hosts in this process.
type servers struct {
	setup Setup
	// violationsBefore is the count of asserted violations in this process before this run.
	violationsBefore int64
	balancer         *http.Client
	// runID and the counter serviceChanges form the request IDs of takeouts and restorations.
	runID string

	mu             sync.Mutex
	hosts          []*serverHost
	voters         map[string]netip.AddrPort
	serviceChanges int
}

// serverHost is one host; server is nil while it is lost or stopped.
type serverHost struct {
	name    string
	dc      string
	control bool
	listen  settingsreader.Listen
	server  *server.Server
}

// newServers creates the hosts. As in the examples, the first host of each data centre and the second host of the first
// data centre are control hosts.
func newServers(setup Setup) (Cluster, error) {
	c := &servers{
		setup:            setup,
		violationsBefore: asserter.Violations(),
		runID:            strconv.FormatInt(time.Now().UnixNano(), 36),
		voters:           make(map[string]netip.AddrPort),
		balancer: &http.Client{
			Transport: &http.Transport{
				DialContext:         setup.Network.Dialer("caller/balancer"),
				MaxIdleConnsPerHost: 2,
			},
		},
	}
	for i, dc := range setup.DataCentres {
		for n := range setup.HostsEach {
			h := &serverHost{
				name:    dc + "/" + strconv.Itoa(n+1),
				dc:      dc,
				control: n == 0 || i == 0,
			}
			err := h.reserveAddrs()
			if err == nil {
				err = c.openHost(h)
			}
			if err != nil {
				_ = c.Close()
				return nil, err
			}
			c.hosts = append(c.hosts, h)
			if h.control {
				c.voters[settingsName(h.name)] = h.listen.RPC
			}
			for _, addr := range []netip.AddrPort{
				h.listen.Caller, h.listen.Peer, h.listen.RPC, h.listen.Announce, h.listen.Operator,
			} {
				setup.Network.Name(addr, h.name)
			}
		}
	}
	return c, nil
}

// reserveAddrs chooses the host's addresses, which stay the same over restarts.
func (h *serverHost) reserveAddrs() error {
	l := &h.listen
	for _, addr := range []*netip.AddrPort{&l.Caller, &l.Peer, &l.RPC, &l.Announce, &l.Operator} {
		a, err := reserveAddr()
		if err != nil {
			return err
		}
		*addr = a
	}
	return nil
}

// settingsName returns the name of a host in its settings, with a hyphen for the slash of DATACENTRE/NUMBER.
func settingsName(host string) string {
	return strings.ReplaceAll(host, "/", "-")
}

// openHost creates a server for the host, which listens on the same addresses after each restart.
func (c *servers) openHost(h *serverHost) error {
	s := settingsreader.Settings{
		Name:       settingsName(h.name),
		DataCentre: h.dc,
		Roles: settingsreader.Roles{
			Entry:   true,
			Control: h.control,
		},
		Listen: h.listen,
		Keys: settingsreader.Keys{
			System:   benchSystemKey,
			Target:   c.setup.Token,
			Operator: benchOperatorKey,
		},
	}
	if h.control {
		s.DataFolder = filepath.Join(c.setup.Folder, s.Name)
	}
	for until := time.Now().Add(relistenLimit); ; time.Sleep(20 * time.Millisecond) {
		srv, err := server.New(s, server.WithDial(c.setup.Network.Dialer(h.name)))
		if err == nil {
			h.server = srv
			h.listen = srv.ListenAddrs()
			return nil
		}
		if time.Now().After(until) {
			return errors.Wrapf(err, "host %s", h.name)
		}
	}
}

// Start starts all hosts and stores the configuration as version 1.
func (c *servers) Start(ctx context.Context) error {
	c.mu.Lock()
	for _, h := range c.hosts {
		h.server.Join(c.voters)
		if err := h.server.Start(); err != nil {
			c.mu.Unlock()
			return errors.Wrapf(err, "host %s", h.name)
		}
	}
	c.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, 20*time.Second)
	defer cancel()
	var lastErr error
	for ctx.Err() == nil {
		_, err := c.Apply(ctx, 0, 0)
		if err == nil {
			return nil
		}
		if ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-time.After(50 * time.Millisecond):
		case <-ctx.Done():
		}
	}
	return errors.Wrap(lastErr, "store the configuration")
}

func (c *servers) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, h := range c.hosts {
		if h.server != nil {
			h.server.Kill()
			h.server = nil
		}
	}
	c.balancer.CloseIdleConnections()
	return nil
}

func (c *servers) Hosts() []Host {
	var hosts []Host
	for _, h := range c.hosts {
		hosts = append(hosts, Host{
			Name:       h.name,
			DataCentre: h.dc,
			Control:    h.control,
			Entry:      h.listen.Caller,
			Announce:   h.listen.Announce,
		})
	}
	return hosts
}

func (c *servers) Leader() string {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	var status presenter.Status
	if err := c.requester().Get(ctx, "/v1/status", &status); err != nil {
		return ""
	}
	for _, h := range c.hosts {
		if settingsName(h.name) == status.Leader {
			return h.name
		}
	}
	return ""
}

// Ready queries the host's health check through the emulated network, as the platform's balancer does.
func (c *servers) Ready(ctx context.Context, host string) bool {
	h, err := c.hostByName(host)
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+h.listen.Operator.String()+"/v1/ready", nil)
	if err != nil {
		return false
	}
	resp, err := c.balancer.Do(req)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (c *servers) hostByName(name string) (*serverHost, error) {
	for _, h := range c.hosts {
		if h.name == name {
			return h, nil
		}
	}
	return nil, errors.Wrap(errNoHost, name)
}

// detach removes the running server of a host and returns it; it returns nil if the host is not running.
func (c *servers) detach(name string) (*server.Server, error) {
	h, err := c.hostByName(name)
	if err != nil {
		return nil, err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	s := h.server
	h.server = nil
	return s, nil
}

func (c *servers) StartHost(_ context.Context, host string) error {
	h, err := c.hostByName(host)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if h.server != nil {
		return nil
	}
	if err := c.openHost(h); err != nil {
		return err
	}
	h.server.Join(c.voters)
	return errors.Wrapf(h.server.Start(), "host %s", host)
}

func (c *servers) StopHost(ctx context.Context, host string) error {
	s, err := c.detach(host)
	if err != nil || s == nil {
		return err
	}
	return errors.Wrapf(s.Stop(ctx), "stop of %s", host)
}

func (c *servers) KillHost(host string) error {
	s, err := c.detach(host)
	if err != nil || s == nil {
		return err
	}
	s.Kill()
	return nil
}

// PauseHost holds back all bytes from and to the host, because all hosts run in this process and the goroutines of a
// single one cannot be paused.
func (c *servers) PauseHost(host string, paused bool) error {
	return c.setup.Network.Isolate(host, injector.Fault{Hold: paused})
}

// requester returns a client of the operators' API that tries the running hosts in turn. Operators are not part of the
// emulated network: they reach every host.
func (c *servers) requester() *requester.Requester {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := &requester.Requester{
		Key: benchOperatorKey,
	}
	for _, h := range c.hosts {
		if h.server != nil {
			r.Hosts = append(r.Hosts, h.listen.Operator.String())
		}
	}
	return r
}

func (c *servers) Takeout(ctx context.Context, dataCentre, target string) error {
	return c.setService(ctx, dataCentre, target, true)
}

func (c *servers) Restore(ctx context.Context, dataCentre, target string) error {
	return c.setService(ctx, dataCentre, target, false)
}

func (c *servers) setService(ctx context.Context, dataCentre, target string, out bool) error {
	c.mu.Lock()
	c.serviceChanges++
	request := fmt.Sprintf("bench-%s-%d", c.runID, c.serviceChanges)
	c.mu.Unlock()
	a, err := c.requester().Post(ctx, "/v1/service", presenter.SetService{
		DataCentre: dataCentre,
		Target:     target,
		Out:        out,
		Operator:   benchOperator,
		Force:      true,
		Request:    request,
	})
	if err != nil {
		return err
	}
	if a.Outcome != presenter.Applied && a.Outcome != presenter.Already {
		return errors.Errorf("%s: %s", a.Outcome, a.Message)
	}
	return nil
}

func (c *servers) Apply(ctx context.Context, expect uint64, variant int) (uint64, error) {
	a, err := c.requester().Post(ctx, "/v1/configurations", presenter.Apply{
		Expect:   expect,
		Base:     baseText(c.setup, variant),
		Operator: benchOperator + strconv.Itoa(variant%2),
		Force:    true,
	})
	switch {
	case err != nil:
		return 0, err
	case a.Outcome == presenter.LostRace:
		return 0, errors.Wrap(ErrConflict, a.Message)
	case a.Outcome != presenter.Applied && a.Outcome != presenter.Already:
		return 0, errors.Errorf("%s: %s %q", a.Outcome, a.Message, a.Findings)
	case a.Version == nil:
		return 0, errors.Errorf("no version in the answer: %s", a.Message)
	}
	return a.Version.Version, nil
}

func (c *servers) Versions(context.Context) map[string]uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	versions := make(map[string]uint64)
	for _, h := range c.hosts {
		if h.server == nil {
			continue
		}
		if cfg := h.server.Config(); cfg != nil {
			versions[h.name] = cfg.Version
		}
	}
	return versions
}

func (c *servers) Violations() int64 {
	return asserter.Violations() - c.violationsBefore
}
