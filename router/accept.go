package router

import (
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/keyer"
	"bramleyline.example/bramleyline/sender"
)

const (
	// maxDeadline bounds the deadline that a caller may ask for.
	maxDeadline = 5 * time.Minute
	// maxIdentity bounds the identity that a caller gives, which is kept in suspect records.
	maxIdentity = 256
)

func refusal(status int, reason string, cause error) *sender.Fault {
	return sender.NewFault(reason, status, cause)
}

// accept reads a caller's request and checks it against the limits of its service.
func (x *exchange) accept(req *http.Request) *sender.Fault {
	service, uri, err := splitService(req.URL)
	if err != nil {
		return refusal(http.StatusBadRequest, "badRequest", err)
	}
	if f := x.find(service); f != nil {
		return f
	}
	h := req.Header
	x.caller = h.Get("Idempotency-Key")
	if x.caller == "" {
		x.caller = h.Get("Bramleyline-Request")
	}
	if len(x.caller) > maxIdentity {
		return refusal(http.StatusBadRequest, "badRequest", errors.New("identity of the request is too long"))
	}
	x.deadline = x.start.Add(x.service.Deadline)
	if v := h.Get("Bramleyline-Deadline"); v != "" {
		ms, err := strconv.ParseInt(v, 10, 64)
		if err != nil || ms <= 0 {
			return refusal(http.StatusBadRequest, "badRequest", errors.New("deadline is not a positive number of milliseconds"))
		}
		x.deadline = x.start.Add(min(time.Duration(min(ms, maxDeadline.Milliseconds()))*time.Millisecond, maxDeadline))
	}
	if limit := x.service.Limits.MaxHeader; limit > 0 && size(req) > limit {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "headerTooLong", errors.Errorf("header is longer than %d bytes", limit))
	}
	strip(h)
	x.method, x.uri, x.host, x.header = req.Method, uri, req.Host, h
	if f := x.findKey(); f != nil {
		return f
	}
	return x.readBody(req)
}

// find looks the service up.
func (x *exchange) find(name string) *sender.Fault {
	cfg := x.router.opts.Config()
	if cfg == nil || x.router.opts.Locator.Load() == nil {
		return sender.Refused("notReady", "host has no configuration yet")
	}
	svc, ok := cfg.Service(name)
	if !ok {
		return refusal(http.StatusNotFound, "unknownService", errors.Errorf("no service %q", name))
	}
	x.service = svc
	x.state = x.router.services.find(name, x.router)
	if !x.router.room.enter(x.state, cfg, svc.Limits.Weight) {
		return sender.Refused(sender.ReasonOverloaded, "host has no room for more requests of the service")
	}
	x.inRoom = true
	return nil
}

// findKey finds the key in the request as it goes to the target, so that each host finds the same one. A shared service
// needs none.
func (x *exchange) findKey() *sender.Fault {
	u, err := url.ParseRequestURI(x.uri)
	if err != nil {
		return refusal(http.StatusBadRequest, "badRequest", err)
	}
	k, err := x.keyer()
	if err != nil {
		return sender.NewFault("notReady", http.StatusServiceUnavailable, err)
	}
	view := http.Request{
		Header: x.header,
		URL:    u,
	}
	key, err := k.Key(&view)
	if err != nil && x.service.Keyed {
		return refusal(http.StatusBadRequest, "badKey", err)
	}
	x.key = key
	return nil
}

func (x *exchange) keyer() (keyer.Keyer, error) {
	if t, ok := x.router.opts.Locator.Load().Table(x.service.Name); ok && t.Keyed {
		return t.Keyer, nil
	}
	return keyer.New(x.service.KeySource, x.service.Slots)
}

// readBody reads the whole body before anything is sent, so that a limit or a caller that breaks off cannot leave half
// a request at a target.
func (x *exchange) readBody(req *http.Request) *sender.Fault {
	limit := x.service.Limits.MaxBody
	if limit <= 0 {
		limit = configurer.DefaultService("").Limits.MaxBody
	}
	if req.ContentLength > limit {
		return tooLong(limit)
	}
	if req.ContentLength != 0 && req.Body != nil {
		n := req.ContentLength
		if n < 0 {
			n = limit
		}
		if !x.router.room.reserve(n) {
			return sender.Refused(sender.ReasonOverloaded, "host has no room for more request bodies")
		}
		x.reserved = n
		rc := http.NewResponseController(x.w)
		_ = rc.SetReadDeadline(x.deadline)
		body, err := readAll(req.Body, req.ContentLength, limit)
		_ = rc.SetReadDeadline(time.Time{})
		if err != nil {
			return refusal(http.StatusBadRequest, "badRequest", errors.Wrap(err, "body cannot be read"))
		}
		if int64(len(body)) > limit {
			return tooLong(limit)
		}
		x.body = body
	}
	d := xxhash.New()
	for _, part := range []string{x.method, "\n", x.uri, "\n", x.key, "\n"} {
		_, _ = d.WriteString(part)
	}
	_, _ = d.Write(x.body)
	x.fingerprint = d.Sum64()
	return nil
}

func tooLong(limit int64) *sender.Fault {
	return refusal(http.StatusRequestEntityTooLarge, "bodyTooLong", errors.Errorf("body is longer than %d bytes", limit))
}

func readAll(r io.Reader, length, limit int64) ([]byte, error) {
	if length > 0 {
		b := make([]byte, length)
		_, err := io.ReadFull(r, b)
		return b, err
	}
	return io.ReadAll(io.LimitReader(r, limit+1))
}
