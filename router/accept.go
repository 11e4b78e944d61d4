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
	// maxDeadline bounds the time until the deadline that a caller may ask for.
	maxDeadline = 5 * time.Minute
	// maxIdentityBytes bounds the identity that a caller gives a request, because suspect records keep it.
	maxIdentityBytes = 256
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
	if f := x.admit(service); f != nil {
		return f
	}
	h := req.Header
	x.callerIdentity = h.Get("Idempotency-Key")
	if x.callerIdentity == "" {
		x.callerIdentity = h.Get("Bramleyline-Request")
	}
	if len(x.callerIdentity) > maxIdentityBytes {
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
	if limit := x.service.Limits.MaxHeader; limit > 0 && headerSize(req) > limit {
		return refusal(http.StatusRequestHeaderFieldsTooLarge, "headerTooLong", errors.Errorf("header is longer than %d bytes", limit))
	}
	stripHeaders(h)
	x.method, x.uri, x.hostHeader, x.header = req.Method, uri, req.Host, h
	if f := x.findKey(); f != nil {
		return f
	}
	return x.readBody(req)
}

// admit looks up the service and takes a place for the request.
func (x *exchange) admit(name string) *sender.Fault {
	cfg := x.router.opts.Config()
	if cfg == nil || x.router.opts.Locator.Load() == nil {
		return sender.NewRefusal("notReady", "host has no configuration yet")
	}
	svc, ok := cfg.Service(name)
	if !ok {
		return refusal(http.StatusNotFound, "unknownService", errors.Errorf("no service %q", name))
	}
	x.service = svc
	x.state = x.router.services.get(name, x.router)
	if !x.router.admission.acquire(x.state, cfg, svc.Limits.Weight) {
		return sender.NewRefusal(sender.ReasonOverloaded, "host has no room for more requests of the service")
	}
	x.admitted = true
	return nil
}

// findKey finds the key in the request as it is sent to the target, so that each host finds the same one. A request of
// a shared service needs no key.
func (x *exchange) findKey() *sender.Fault {
	u, err := url.ParseRequestURI(x.uri)
	if err != nil {
		return refusal(http.StatusBadRequest, "badRequest", err)
	}
	k, err := x.serviceKeyer()
	if err != nil {
		return sender.NewFault("notReady", http.StatusServiceUnavailable, err)
	}
	keyReq := http.Request{
		Header: x.header,
		URL:    u,
	}
	key, err := k.Key(&keyReq)
	if err != nil && x.service.Keyed {
		return refusal(http.StatusBadRequest, "badKey", err)
	}
	x.key = key
	return nil
}

func (x *exchange) serviceKeyer() (keyer.Keyer, error) {
	if t, ok := x.router.opts.Locator.Load().Table(x.service.Name); ok && t.Keyed {
		return t.Keyer, nil
	}
	return keyer.New(x.service.KeySource, x.service.Slots)
}

// readBody reads the whole body, and computes the fingerprint of the request. Nothing is sent before the body is
// complete, so that neither a size limit nor a caller that disconnects can leave half a request at a target.
func (x *exchange) readBody(req *http.Request) *sender.Fault {
	limit := x.service.Limits.MaxBody
	if limit <= 0 {
		limit = configurer.DefaultService("").Limits.MaxBody
	}
	if req.ContentLength > limit {
		return bodyTooLong(limit)
	}
	if req.ContentLength != 0 && req.Body != nil {
		n := req.ContentLength
		if n < 0 {
			n = limit
		}
		if !x.router.admission.reserveBody(n) {
			return sender.NewRefusal(sender.ReasonOverloaded, "host has no room for more request bodies")
		}
		x.reservedBytes = n
		rc := http.NewResponseController(x.w)
		_ = rc.SetReadDeadline(x.deadline)
		body, err := readAll(req.Body, req.ContentLength, limit)
		_ = rc.SetReadDeadline(time.Time{})
		if err != nil {
			return refusal(http.StatusBadRequest, "badRequest", errors.Wrap(err, "body cannot be read"))
		}
		if int64(len(body)) > limit {
			return bodyTooLong(limit)
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

func bodyTooLong(limit int64) *sender.Fault {
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
