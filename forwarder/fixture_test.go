package forwarder

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/charmbracelet/log"
	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/applier"
	"bramleyline.example/bramleyline/issuer"
	"bramleyline.example/bramleyline/limiter"
	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/reserver"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/timekeeper"
	"bramleyline.example/bramleyline/viewer"
)

// fixture is a Forwarder with targets on loopback addresses.
type fixture struct {
	c       *qt.C
	f       *Forwarder
	builder viewer.Builder
	table   *matcher.Table
	state   applier.State
	// issuer issues the tokens of the control leader, and noLeader says that there is none.
	issuer   issuer.Issuer
	noLeader atomic.Bool
	// memory bounds the answers of targets.
	memory reserver.Reserver
	// stop is the stop in progress, nil if there is none.
	stop atomic.Pointer[Stop]

	mu      sync.Mutex
	view    *viewer.View
	changed chan struct{}
}

func newFixture(c *qt.C) *fixture {
	return newFixtureWithTimeout(c, time.Second)
}

// newFixtureWithTimeout returns a fixture whose routes have a timeout.
func newFixtureWithTimeout(c *qt.C, timeout time.Duration) *fixture {
	b := fixture{
		c:       c,
		changed: make(chan struct{}),
		memory: reserver.Reserver{
			Limit: 32 << 20,
		},
	}
	split := func(service string) []matcher.Part {
		return []matcher.Part{{
			Service: service,
			Weight:  1,
		}}
	}
	b.table = matcher.New(1, []matcher.Route{
		{
			Name:        "lookup",
			Host:        "shop.example",
			Prefix:      "/lookup/",
			Repeatable:  true,
			Timeout:     timeout,
			Objective:   500 * time.Millisecond,
			MaxAttempts: 2,
			Split:       split("desk"),
		},
		{
			Name:        "order",
			Host:        "shop.example",
			Prefix:      "/order/",
			Timeout:     timeout,
			Objective:   500 * time.Millisecond,
			MaxAttempts: 2,
			Split:       split("desk"),
		},
		{
			Name:      "tally",
			Host:      "shop.example",
			Prefix:    "/tally/",
			Timeout:   timeout,
			Objective: 500 * time.Millisecond,
			Split:     split("tally"),
		},
	}, map[string]matcher.Service{
		"desk": {
			Name:        "desk",
			Connections: 100,
			ColdRate:    10,
		},
		"tally": {
			Name:        "tally",
			Connections: 100,
			Keyed:       true,
		},
	}, matcher.Limits{})
	b.builder.Decode = func(registrar.Document) (*matcher.Table, error) { return b.table, nil }
	b.f = New(Options{
		View:     b.current,
		Codec:    testCodec{},
		Sender:   sender.New(nil, sender.WithMemory(&b.memory)),
		Selector: &selector.Selector{},
		Limiter: limiter.New(limiter.Options{
			View: func() *viewer.View {
				v, _ := b.current()
				return v
			},
			ViewAge: func() time.Duration { return 0 },
			Ask:     b.ask,
			Log:     log.New(io.Discard),
		}),
		Log: log.New(io.Discard),
		Stopping: func() (Stop, bool) {
			if s := b.stop.Load(); s != nil {
				return *s, true
			}
			return Stop{}, false
		},
		Limits: Limits{
			RetryShare: 0.2,
			RetrySlack: 50,
			ColdFactor: 1,
			DrainTime:  100 * time.Millisecond,
			OutTime:    100 * time.Millisecond,
		},
	})
	return &b
}

func (b *fixture) ask(_ context.Context, m issuer.AskMsg) (issuer.IssueMsg, error) {
	if b.noLeader.Load() {
		return issuer.IssueMsg{}, errors.New("no leader")
	}
	return b.issuer.Issue(timekeeper.Now(), registrar.Registry{}, m), nil
}

func (b *fixture) current() (*viewer.View, <-chan struct{}) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view, b.changed
}

// commit applies changes to the replicated state and publishes the new view.
func (b *fixture) commit(changes ...registrar.Change) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, c := range changes {
		b.state.Index++
		b.state.Registry = b.state.Registry.Apply(b.state.Index, c)
	}
	v, err := b.builder.Build(&b.state, time.Now())
	b.c.Assert(err, qt.IsNil)
	b.view = v
	close(b.changed)
	b.changed = make(chan struct{})
}

func (b *fixture) putTable() {
	b.commit(registrar.Change{
		PutTable: &registrar.PutTableMsg{
			Version: 1,
		},
	})
}

// target starts and announces a target that answers with h and echoes the ID of each request.
func (b *fixture) target(id, service string, h http.HandlerFunc) registrar.Target {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set(testRequest, r.Header.Get(testRequest))
		h(w, r)
	}))
	b.c.Cleanup(s.Close)
	return b.announce(id, service, netip.MustParseAddrPort(s.Listener.Addr().String()))
}

func (b *fixture) announce(id, service string, addr netip.AddrPort) registrar.Target {
	t := registrar.Target{
		Incarnation: registrar.Incarnation{
			ID: id,
		},
		Service: service,
		Addr:    addr,
		Slots:   4,
	}
	b.commit(registrar.Change{
		Announce: &t,
	})
	return t
}

func (b *fixture) own(service, id string) {
	b.commit(registrar.Change{
		Grant: &registrar.GrantMsg{
			Service: service,
			Grants: []registrar.Grant{{
				From: 0,
				To:   65535,
				Owner: registrar.Incarnation{
					ID: id,
				},
			}},
		},
	})
}

func (b *fixture) send(ctx context.Context, method, path string, header ...string) *acceptor.Answer {
	h := http.Header{
		testRequest: {"r1"},
	}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return b.f.Handle(ctx, &acceptor.Request{
		Method:  method,
		URI:     path,
		Path:    path,
		Host:    "shop.example",
		Header:  h,
		Body:    [][]byte{[]byte("one board")},
		Arrived: time.Now(),
	})
}

// sendBody sends a request with a body.
func (b *fixture) sendBody(method, path string, body []byte) *acceptor.Answer {
	return b.f.Handle(context.Background(), &acceptor.Request{
		Method: method,
		URI:    path,
		Path:   path,
		Host:   "shop.example",
		Header: http.Header{
			testRequest: {"r1"},
		},
		Body:    [][]byte{body},
		Arrived: time.Now(),
	})
}

// answerWith returns a handler that counts requests in n and answers with text.
func answerWith(n *atomic.Int32, text string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(w, text)
	}
}

// hangUp returns a handler that counts requests in n, reads them and closes the connection without an answer.
func hangUp(n *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		n.Add(1)
		_, _ = io.Copy(io.Discard, r.Body)
		conn, _, err := w.(http.Hijacker).Hijack()
		if err == nil {
			_ = conn.Close()
		}
	}
}
