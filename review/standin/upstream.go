package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// heartbeatInterval is the heartbeat_ms of the settings in the pages.
const heartbeatInterval = 870 * time.Millisecond

const defaultSlots = 4

// span is a span of keys that an upstream holds.
type span struct {
	from, to uint16
	fence    uint64
	until    time.Time
}

// upstream is one life of an upstream of the platform.
type upstream struct {
	f       *fleet
	id      string
	service string
	zone    string
	addr    string
	born    time.Time
	// firstBeat is the delay with which the first heartbeat arrives.
	firstBeat time.Duration
	// work is how long a request is worked on, slots the number of requests at the same time; zero means 4.
	work  time.Duration
	slots int
	// onRun is called when a request begins to run, onGrant when a grant arrives that is accepted.
	onRun   func(u *upstream, id string)
	onGrant func(u *upstream, g span)

	server *http.Server
	cancel context.CancelFunc

	mu   sync.Mutex
	held []span
	seq  int
}

// start listens at addr and begins with the heartbeats.
func (u *upstream) start() error {
	ln, err := net.Listen("tcp", u.addr)
	if err != nil {
		return err
	}
	u.addr, u.born = ln.Addr().String(), time.Now()
	u.server = &http.Server{
		Handler:           u,
		ReadHeaderTimeout: orderTimeout,
	}
	ctx, cancel := context.WithCancel(context.Background())
	u.cancel = cancel
	go func() { _ = u.server.Serve(ln) }()
	go u.beat(ctx)
	return nil
}

// crash ends the life: its connections are reset or closed, and nothing is announced.
func (u *upstream) crash() {
	u.cancel()
	_ = u.server.Close()
}

func (u *upstream) beat(ctx context.Context) {
	client := &http.Client{
		Timeout: orderTimeout,
	}
	wait := u.firstBeat
	for i := 0; ; i++ {
		select {
		case <-ctx.Done():
			return
		case <-time.After(wait):
		}
		wait = heartbeatInterval
		for range u.f.controls {
			i++
			if u.announce(ctx, client, u.f.controls[i%len(u.f.controls)]) {
				break
			}
		}
	}
}

func (u *upstream) announce(ctx context.Context, client *http.Client, h *host) bool {
	u.mu.Lock()
	u.seq++
	seq := u.seq
	u.mu.Unlock()
	text, err := json.Marshal(map[string]any{
		"address": u.addr, "born": u.born.UnixMilli(),
		"info":   map[string]any{"service": u.service, "version": "v1", "zone": u.zone, "slots": u.slotCount()},
		"status": map[string]any{"state": "ready", "seq": seq, "warmup_left_ms": 0},
	})
	if err != nil {
		return false
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+u.f.control(h)+"/instances/"+u.id, bytes.NewReader(text))
	if err != nil {
		return false
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode == http.StatusOK
}

// ServeHTTP takes grants, releases, health checks and requests.
func (u *upstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if want := r.Header.Get("Expect-Instance"); want != "" && want != u.id {
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/grant", "/release":
		u.takeOrder(w, r)
		return
	case "/health":
		w.Header().Set("Instance-Id", u.id)
		w.Header().Set("Upstream-Load", "0,0,"+strconv.Itoa(u.slotCount()))
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	id := r.Header.Get("Request-Id")
	w.Header().Set("Request-Id", id)
	w.Header().Set("Upstream-Load", "0,0,"+strconv.Itoa(u.slotCount()))
	if u.service == keyedService && !u.holds(r.Header.Get("Shard-Key")) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	u.onRun(u, id)
	time.Sleep(u.work)
	w.Header().Set("Upstream-Seal", u.id+"."+id)
	_, _ = fmt.Fprintf(w, "%s ran %s", u.id, id)
}

func (u *upstream) slotCount() int { return max(u.slots, defaultSlots) }

func (u *upstream) holds(keyText string) bool {
	key, err := strconv.ParseUint(keyText, 10, 16)
	if err != nil {
		return false
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.ContainsFunc(u.held, func(s span) bool {
		return uint64(s.from) <= key && key <= uint64(s.to) && time.Now().Before(s.until)
	})
}

// takeOrder carries out a grant or a release.
func (u *upstream) takeOrder(w http.ResponseWriter, r *http.Request) {
	var b struct {
		From   uint16 `json:"from"`
		Target uint16 `json:"target"`
		Fence  uint64 `json:"fence"`
		HoldMs int64  `json:"hold_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	g := span{
		from:  b.From,
		to:    b.Target,
		fence: b.Fence,
		until: time.Now().Add(time.Duration(b.HoldMs) * time.Millisecond),
	}
	grant := r.URL.Path == "/grant"
	if !u.replace(g, grant) {
		w.WriteHeader(http.StatusConflict)
		return
	}
	if !grant {
		w.Header().Set("Handover", "from-"+u.id)
		return
	}
	if u.onGrant != nil {
		u.onGrant(u, g)
	}
}

// replace takes the keys of g from what is held, and adds g if it is a grant. It returns false, and changes nothing, for a
// grant with a lower fence than one that was seen on one of its keys.
func (u *upstream) replace(g span, grant bool) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	var kept []span
	for _, h := range u.held {
		if h.to < g.from || g.to < h.from {
			kept = append(kept, h)
			continue
		}
		if grant && h.fence > g.fence {
			return false
		}
		if h.from < g.from {
			left := h
			left.to = g.from - 1
			kept = append(kept, left)
		}
		if h.to > g.to {
			right := h
			right.from = g.to + 1
			kept = append(kept, right)
		}
	}
	if grant {
		kept = append(kept, g)
	}
	u.held = kept
	return true
}
