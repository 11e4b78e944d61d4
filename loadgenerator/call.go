package loadgenerator

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/emulator"
)

// maxAnswerBytes bounds the answer that a caller reads.
const maxAnswerBytes = 16 << 20

// call sends one request, retries it as the options allow, and records it.
func (g *Generator) call(ctx context.Context, req request) {
	rec := req.record
	for n := 1; ; n++ {
		a := g.attempt(ctx, req, n)
		rec.Attempts = append(rec.Attempts, a)
		if n > g.opts.MaxRetries || !g.shouldRetry(a) {
			break
		}
		select {
		case <-time.After(g.opts.RetryWait):
			continue
		case <-ctx.Done():
		}
		break
	}
	rec.Ended = time.Now()
	g.addRecord(rec)
}

// shouldRetry reports whether the options allow a retry after the attempt a.
func (g *Generator) shouldRetry(a Attempt) bool {
	switch a.CallerOutcome() {
	case "notRun":
		return true
	case "unknown", "lost":
		return g.opts.RetryUnknown
	}
	return false
}

// onceReader is a request body that http.Transport cannot replay, so that no request is sent twice without a record.
type onceReader struct {
	io.Reader
}

func (g *Generator) attempt(ctx context.Context, req request, n int) Attempt {
	ctx, cancel := context.WithTimeout(ctx, g.opts.Timeout)
	defer cancel()
	a := Attempt{
		Number:  n,
		Entry:   g.pickEntry(),
		Started: time.Now(),
	}
	r, err := newRequest(ctx, a.Entry, req, n)
	if err == nil {
		err = g.exchange(r, req, &a)
	}
	if err != nil {
		a.Status = 0
		a.Fault = err.Error()
		a.Refused = errors.Is(err, syscall.ECONNREFUSED)
	}
	a.Ended = time.Now()
	return a
}

func (g *Generator) exchange(r *http.Request, req request, a *Attempt) error {
	resp, err := g.client.Do(r)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		return err
	}
	a.Status = resp.StatusCode
	a.Outcome = resp.Header.Get(emulator.HeaderOutcome)
	a.Reason = resp.Header.Get(emulator.HeaderReason)
	a.Request = resp.Header.Get(emulator.HeaderRequest)
	if resp.StatusCode == http.StatusOK {
		a.Verdict = verifyAnswer(body, req.record.Identity, a)
	}
	return nil
}

// verifyAnswer returns the verdict on body: whether it is the undamaged answer to the attempt a of the caller's request.
func verifyAnswer(body []byte, identity string, a *Attempt) string {
	var ans emulator.Answer
	if err := json.Unmarshal(body, &ans); err != nil || ans.Digest != ans.Sum() {
		return VerdictDamaged
	}
	a.Target = ans.Target
	if ans.Identity != identity || ans.Attempt != a.Number {
		return VerdictForeign
	}
	return VerdictWhole
}

func newRequest(ctx context.Context, entry netip.AddrPort, req request, n int) (*http.Request, error) {
	rec := req.record
	u := url.URL{
		Scheme: "http",
		Host:   entry.String(),
		Path:   "/" + rec.Service + "/work",
	}
	kind, name, _ := strings.Cut(req.traffic.Key, ":")
	switch kind {
	case "path":
		segments, err := strconv.Atoi(name)
		if err != nil {
			return nil, errors.Wrapf(err, "key %q", req.traffic.Key)
		}
		u.Path = "/" + rec.Service + strings.Repeat("/work", segments-1) + "/" + rec.Key
	case "query":
		u.RawQuery = url.Values{name: {rec.Key}}.Encode()
	}
	// A body that cannot be replayed keeps http.Transport from retrying a request by itself. A GET that it retried
	// after a reset reported the refused second connection, as if the first attempt had not run.
	var body io.Reader = onceReader{strings.NewReader("")}
	if rec.Method == http.MethodPost {
		text := rec.Identity + "\n" + strings.Repeat("b", req.traffic.BodyBytes)
		if rec.Poison {
			text += emulator.PoisonMark
		}
		body = onceReader{strings.NewReader(text)}
	}
	r, err := http.NewRequestWithContext(ctx, rec.Method, u.String(), body)
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	if kind == "header" {
		r.Header.Set(name, rec.Key)
	}
	r.Header.Set(emulator.HeaderIdentity, rec.Identity)
	r.Header.Set(emulator.HeaderAttempt, strconv.Itoa(n))
	r.Header.Set(emulator.HeaderKey, rec.Key)
	return r, nil
}
