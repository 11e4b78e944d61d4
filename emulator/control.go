package emulator

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"
	"github.com/pkg/errors"
)

// startControl serves the control API, through which tests in other processes read the records and inject faults.
func (e *Emulator) startControl() error {
	ln, err := net.Listen("tcp", e.opts.Control.String())
	if err != nil {
		return errors.Wrapf(err, "start the control API of target %s", e.opts.Name)
	}
	srv := &http.Server{
		Handler:           e.controlHandler(),
		ReadHeaderTimeout: 10 * time.Second,
	}
	e.mu.Lock()
	e.controlServer = srv
	e.controlAddr = ln.Addr().(*net.TCPAddr).AddrPort()
	e.wg.Add(1)
	e.mu.Unlock()
	go func() {
		defer e.wg.Done()
		_ = srv.Serve(ln)
	}()
	return nil
}

// controlHandler routes GET /v1/runs, /v1/holdings and /v1/state, and POST /v1/freeze?for=, /v1/thaw, /v1/crash?for=,
// /v1/slow?factor=, /v1/drain?on= and /v1/cold. A freeze without a duration lasts until /v1/thaw.
func (e *Emulator) controlHandler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/runs", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, toRunWires(e.Runs()))
	})
	r.Get("/v1/holdings", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, toHoldingWires(e.Holdings()))
	})
	r.Get("/v1/state", func(w http.ResponseWriter, _ *http.Request) {
		writeJSON(w, e.state())
	})
	r.Post("/v1/freeze", e.handleFreeze)
	r.Post("/v1/thaw", func(http.ResponseWriter, *http.Request) {
		e.Thaw()
	})
	r.Post("/v1/crash", func(w http.ResponseWriter, r *http.Request) {
		after, ok := durationParameter(w, r, e.opts.Restart)
		if ok {
			e.Crash(after)
		}
	})
	r.Post("/v1/slow", func(w http.ResponseWriter, r *http.Request) {
		factor, err := strconv.ParseFloat(r.URL.Query().Get("factor"), 64)
		if err != nil {
			http.Error(w, "factor must be a number", http.StatusBadRequest)
			return
		}
		e.Slow(factor)
	})
	r.Post("/v1/drain", func(_ http.ResponseWriter, r *http.Request) {
		e.Drain(r.URL.Query().Get("on") != "false")
	})
	r.Post("/v1/cold", func(http.ResponseWriter, *http.Request) {
		e.TurnCold()
	})
	return r
}

func (e *Emulator) handleFreeze(w http.ResponseWriter, r *http.Request) {
	d, ok := durationParameter(w, r, 0)
	if !ok {
		return
	}
	e.Freeze()
	if d > 0 {
		time.AfterFunc(d, e.Thaw)
	}
}

// durationParameter returns the query parameter "for", or def if there is none. If it is malformed, it answers with
// status 400 and returns false.
func durationParameter(w http.ResponseWriter, r *http.Request, def time.Duration) (time.Duration, bool) {
	s := r.URL.Query().Get("for")
	if s == "" {
		return def, true
	}
	d, err := time.ParseDuration(s)
	if err != nil {
		http.Error(w, "for must be a duration such as 2s", http.StatusBadRequest)
		return 0, false
	}
	return d, true
}

// stateWire is the current state of the target, the answer to GET /v1/state.
type stateWire struct {
	Name        string    `json:"name"`
	Incarnation uint64    `json:"incarnation"`
	Up          bool      `json:"up"`
	Frozen      bool      `json:"frozen"`
	Cold        bool      `json:"cold"`
	Draining    bool      `json:"draining"`
	InFlight    int       `json:"inFlight"`
	Owned       int       `json:"owned"`
	LeaseUntil  time.Time `json:"leaseUntil"`
	Runs        int       `json:"runs"`
	Crashes     int       `json:"crashes"`
}

func (e *Emulator) state() stateWire {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := stateWire{
		Name:     e.opts.Name,
		Frozen:   e.thawed != nil,
		Draining: !e.drainingSince.IsZero(),
		Runs:     len(e.runs),
		Crashes:  e.crashes,
	}
	if inc := e.current; inc != nil {
		s.Up = true
		s.Incarnation = inc.id
		s.Cold = inc.cold
		s.InFlight = inc.inFlight
		s.Owned = len(inc.owned)
		s.LeaseUntil = inc.lease.Until()
	}
	return s
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
