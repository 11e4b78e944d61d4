package experimenter

import (
	"context"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/injector"
)

// ErrConflict reports that another configuration was accepted under the same version.
var ErrConflict = errors.New("another configuration was accepted under this version")

var errNoHost = errors.New("no such host")

// baseline is the reference system that the router is compared with: hosts that hash keys over the targets whose
// heartbeats they receive. They make up to three retries, and have no leases, cold allowance, hedging or consensus.
type baseline struct {
	setup    Setup
	hosts    []*baselineHost
	operator *http.Client

	mu      sync.Mutex
	version uint64
	variant int
}

func newBaseline(s Setup) (Cluster, error) {
	b := &baseline{
		setup: s,
		operator: &http.Client{
			Transport: &http.Transport{
				DialContext:       s.Network.Dialer("caller/operator"),
				DisableKeepAlives: true,
			},
			Timeout: operatorTimeout,
		},
	}
	for _, dc := range s.DataCentres {
		for n := range s.HostsEach {
			h := newBaselineHost(b, dc, dc+"/"+strconv.Itoa(n+1))
			b.hosts = append(b.hosts, h)
			if err := h.reserveAddrs(); err != nil {
				_ = b.Close()
				return nil, err
			}
		}
	}
	return b, nil
}

func (b *baseline) Start(context.Context) error {
	for _, h := range b.hosts {
		if err := h.start(); err != nil {
			return err
		}
	}
	return nil
}

func (b *baseline) Close() error {
	for _, h := range b.hosts {
		h.kill()
	}
	return nil
}

func (b *baseline) Hosts() []Host {
	var hosts []Host
	for _, h := range b.hosts {
		hosts = append(hosts, Host{
			Name:       h.name,
			DataCentre: h.dataCentre,
			Control:    true,
			Entry:      h.entry,
			Announce:   h.announce,
		})
	}
	return hosts
}

func (b *baseline) Leader() string {
	return ""
}

func (b *baseline) hostByName(name string) (*baselineHost, error) {
	for _, h := range b.hosts {
		if h.name == name {
			return h, nil
		}
	}
	return nil, errors.Wrap(errNoHost, name)
}

func (b *baseline) Ready(_ context.Context, host string) bool {
	h, err := b.hostByName(host)
	return err == nil && h.ready.Load()
}

func (b *baseline) StartHost(_ context.Context, host string) error {
	h, err := b.hostByName(host)
	if err != nil {
		return err
	}
	return h.start()
}

func (b *baseline) StopHost(ctx context.Context, host string) error {
	h, err := b.hostByName(host)
	if err != nil {
		return err
	}
	return h.stop(ctx)
}

func (b *baseline) KillHost(host string) error {
	h, err := b.hostByName(host)
	if err != nil {
		return err
	}
	h.kill()
	return nil
}

// PauseHost holds back all bytes from and to the host, because all hosts run in this process and the goroutines of a
// single one cannot be paused.
func (b *baseline) PauseHost(host string, paused bool) error {
	return b.setup.Network.Isolate(host, injector.Fault{Hold: paused})
}

func (b *baseline) Takeout(ctx context.Context, dataCentre, target string) error {
	return b.setOut(ctx, dataCentre, target, true)
}

func (b *baseline) Restore(ctx context.Context, dataCentre, target string) error {
	return b.setOut(ctx, dataCentre, target, false)
}

// setOut sends a takeout or a restoration to each host in turn. A host that cannot be reached misses it.
func (b *baseline) setOut(ctx context.Context, dataCentre, target string, out bool) error {
	q := url.Values{
		"name": {dataCentre + target},
		"out":  {strconv.FormatBool(out)},
	}
	reached := 0
	for _, h := range b.hosts {
		u := "http://" + h.announce.String() + "/v1/out?" + q.Encode()
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, u, nil)
		if err != nil {
			return errors.Wrap(err, "takeout")
		}
		resp, err := b.operator.Do(req)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		reached++
	}
	if reached == 0 {
		return errors.New("takeout reached no host")
	}
	return nil
}

// Apply only counts versions, in one place: the hosts of the baseline have no configuration to put in force.
func (b *baseline) Apply(_ context.Context, expect uint64, variant int) (uint64, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if expect+1 == b.version && variant == b.variant {
		return b.version, nil
	}
	if expect != b.version {
		return b.version, ErrConflict
	}
	b.version++
	b.variant = variant
	return b.version, nil
}

func (b *baseline) Versions(context.Context) map[string]uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	versions := make(map[string]uint64)
	for _, h := range b.hosts {
		if h.ready.Load() {
			versions[h.name] = b.version
		}
	}
	return versions
}

func (b *baseline) Violations() int64 {
	return 0
}
