// Package operator is the HTTP admin API of a host, with a status page and health checks.
//
// Operators authenticate with a shared key. Any host answers for the whole deployment: the status combines the
// replicated state with the reports of all hosts, and a change is answered as applied only after the control group has
// committed it. Retrying a change whose outcome is unknown does not apply it twice.
package operator

import (
	"context"
	"expvar"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/go-chi/chi/v5/middleware"

	"bramleyline.example/bramleyline/applier"
)

const (
	// maxBodyBytes bounds the body of a request: a base file and some overlays of at most 1 MiB each.
	maxBodyBytes = 8 << 20
	// proposeTimeout bounds the proposal of one change, including an election of a control leader.
	proposeTimeout = 5 * time.Second
	// requestTimeout bounds the handling of one request.
	requestTimeout = 8 * time.Second
	// maxRequests bounds requests in progress, so that a script that sends requests in a loop does not overload a small
	// host.
	maxRequests = 32
)

var counters = expvar.NewMap("operator")

// Source returns the replicated state up to the log index that this host has applied.
type Source interface {
	State() *applier.State
}

// Proposer proposes a command to the control leader and returns its result.
type Proposer interface {
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// Operator serves the API. Set its fields before Handler or Start.
type Operator struct {
	// Host is the name of this host.
	Host string
	// Key is the operators' key. It must not be empty: without one, every request that needs it is refused.
	Key      string
	Source   Source
	Proposer Proposer
	// Facts collects the current reports of all hosts; a nil function means that there are none.
	Facts func(ctx context.Context) Facts
	// Ready returns the reason why this host should get no requests from callers, or nil if it should; a nil function
	// means always ready.
	Ready func() error
	// Now is the clock for the time of a change; nil means time.Now.
	Now func() time.Time

	// Log logs each change that was accepted; a nil function means no log.
	Log func(message string, pairs ...any)

	server  serverState
	inForce atomic.Pointer[parsedConfig]
	cache   statusCache
}

// Handler returns the HTTP handler of the API.
func (o *Operator) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer, secureHeaders)
	// The platform's load balancer calls these two health checks without a key.
	r.Get("/v1/live", o.live)
	r.Get("/v1/ready", o.ready)
	r.Group(func(r chi.Router) {
		r.Use(o.authenticate, middleware.Throttle(maxRequests), limitBody, limitTime)
		r.Get("/", o.statusPage)
		r.Get("/v1/status", o.status)
		r.Get("/v1/status/key/{service}", o.keyStatus)
		r.Get("/v1/history", o.history)
		r.Get("/v1/configurations/{version}", o.showVersion)
		r.Post("/v1/configurations", o.apply)
		r.Post("/v1/service", o.setService)
		r.Method(http.MethodGet, "/debug/vars", expvar.Handler())
	})
	return r
}

func (o *Operator) log(message string, pairs ...any) {
	if o.Log != nil {
		o.Log(message, pairs...)
	}
}

func (o *Operator) now() time.Time {
	if o.Now == nil {
		return time.Now()
	}
	return o.Now()
}

func (o *Operator) facts(ctx context.Context) Facts {
	if o.Facts == nil {
		return Facts{}
	}
	return o.Facts(ctx)
}

// state returns the replicated state. It is empty, not nil, on a host that has pulled nothing yet, so that such a host
// answers with an empty status.
func (o *Operator) state() *applier.State {
	if st := o.Source.State(); st != nil {
		return st
	}
	return &applier.State{}
}

func (o *Operator) live(w http.ResponseWriter, _ *http.Request) {
	writeText(w, http.StatusOK, "live\n")
}

func (o *Operator) ready(w http.ResponseWriter, _ *http.Request) {
	if o.Ready != nil {
		if err := o.Ready(); err != nil {
			writeText(w, http.StatusServiceUnavailable, err.Error()+"\n")
			return
		}
	}
	writeText(w, http.StatusOK, "ready\n")
}
