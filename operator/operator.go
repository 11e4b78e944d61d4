// Package operator is the HTTP API and the status page of operators.
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
	// maxBody bounds a request: a base file and some overlays of at most 1 MiB each.
	maxBody = 8 << 20
	// proposeTimeout bounds one change, elections included.
	proposeTimeout = 5 * time.Second
	// requestTimeout bounds the work for one request.
	requestTimeout = 8 * time.Second
	// maxRequests bounds requests in progress, so that a loop in a script leaves room on a small host.
	maxRequests = 32
)

var counters = expvar.NewMap("operator")

// Source has the replicated state as this host knows it.
type Source interface {
	State() *applier.State
}

// Proposer brings a command to the control leader.
type Proposer interface {
	Propose(ctx context.Context, cmd applier.Command) (applier.Result, error)
}

// Operator answers operators. Set its fields before Handler or Start; Key must not be empty.
type Operator struct {
	// Host is the name of this host.
	Host string
	// Key is the bearer key of operators.
	Key      string
	Source   Source
	Proposer Proposer
	// Facts returns what is known of all hosts now; nil means nothing is known.
	Facts func(ctx context.Context) Facts
	// Ready returns why this host should get no callers' requests, nil if it should; a nil function means always ready.
	Ready func() error
	// Now is the clock of the status; nil means time.Now.
	Now func() time.Time

	// Log writes one line for each change that was accepted; nil means none.
	Log func(message string, pairs ...any)

	server  serverState
	inForce atomic.Pointer[parsed]
	last    lastStatus
}

// Handler returns the routes of the operator address.
func (o *Operator) Handler() http.Handler {
	r := chi.NewRouter()
	r.Use(middleware.Recoverer, secureHeaders)
	// The platform's balancer asks these two without a key.
	r.Get("/v1/live", o.live)
	r.Get("/v1/ready", o.ready)
	r.Group(func(r chi.Router) {
		r.Use(o.authenticate, middleware.Throttle(maxRequests), limitBody, limitTime)
		r.Get("/", o.page)
		r.Get("/v1/status", o.status)
		r.Get("/v1/status/key/{service}", o.keyStatus)
		r.Get("/v1/history", o.history)
		r.Get("/v1/configurations/{version}", o.show)
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

// state never returns nil, so that a host that has pulled nothing yet answers with an empty status.
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
