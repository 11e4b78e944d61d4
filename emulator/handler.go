package emulator

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"bramleyline.example/bramleyline/fencer"
	"bramleyline.example/bramleyline/keyer"
)

// Headers of the target protocol and of the bench's own callers.
const (
	HeaderService  = "Bramleyline-Service"
	HeaderSlot     = "Bramleyline-Slot"
	HeaderEpoch    = "Bramleyline-Epoch"
	HeaderRequest  = "Bramleyline-Request"
	HeaderDeadline = "Bramleyline-Deadline"
	HeaderOutcome  = "Bramleyline-Outcome"
	HeaderReason   = "Bramleyline-Reason"
	// HeaderIdentity carries the caller's identity of a request, HeaderAttempt the number of the caller's attempt and
	// HeaderKey the key in the clear, for the record of runs.
	HeaderIdentity = "Idempotency-Key"
	HeaderAttempt  = "Bench-Attempt"
	HeaderKey      = "Bench-Key"
	// HeaderPoison makes the target crash when it runs the request; so does PoisonMark in the body.
	HeaderPoison = "Bench-Poison"
	PoisonMark   = "poison-mark"
)

// maxBody bounds the body of a request.
const maxBody = 8 << 20

// Answer is the body of a target's answer to a request that ran.
type Answer struct {
	Identity string `json:"identity"`
	Attempt  int    `json:"attempt"`
	Target   string `json:"target"`
	Padding  string `json:"padding"`
	// Digest is the xxhash64 digest of identity, attempt and padding; it shows that the answer is whole.
	Digest string `json:"digest"`
}

// Sum returns the digest that a whole answer has.
func (a Answer) Sum() string {
	return strconv.FormatUint(xxhash.Sum64String(a.Identity+"\n"+strconv.Itoa(a.Attempt)+"\n"+a.Padding), 16)
}

type refusal struct {
	status int
	reason string
}

// ServeHTTP runs one request.
func (l *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !l.waitThaw() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	run, wait, no := l.admit(r, arrived)
	if no != nil {
		refuse(w, *no)
		return
	}
	if run == nil {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(HeaderPoison) != "" || strings.Contains(string(body), PoisonMark) {
		l.e.crash(l, l.e.opts.Restart)
		panic(http.ErrAbortHandler)
	}
	result := l.work(r, wait, arrived)
	if !l.waitThaw() {
		panic(http.ErrAbortHandler)
	}
	switch l.finish(run, result) {
	case ResultFinished:
		l.answer(w, run)
	case ResultStale:
		refuse(w, refusal{http.StatusConflict, "staleEpoch"})
	case ResultCancelled:
		// The request ran in part, so that the target cannot say notRun.
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
}

// admit begins a run or says why not. It returns neither if the target fell over or is gone.
func (l *incarnation) admit(r *http.Request, arrived time.Time) (*Run, time.Duration, *refusal) {
	run := newRun(r)
	e := l.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != l {
		return nil, 0, nil
	}
	now := time.Now()
	run.Target = e.opts.Name
	run.DataCentre = e.opts.DataCentre
	if e.opts.Service != "" {
		run.Service = e.opts.Service
	}
	run.Incarnation = l.incarnation
	run.Started = now
	run.LeaseUntil = l.lease.Until()
	run.DrainingSince = e.draining
	run.InFlight = l.inFlight
	run.ColdLimit = l.coldLimit(now)
	e.runs = append(e.runs, run)
	if no := l.refuses(run, r, arrived); no != nil {
		run.Ended = now
		run.Result = ResultRefused
		run.Reason = no.reason
		return nil, 0, no
	}
	run.Result = ResultRunning
	l.inFlight++
	run.InFlight = l.inFlight
	if run.Keyed {
		l.busy[run.Slot]++
	}
	if run.InFlight > run.ColdLimit {
		go e.crash(l, e.opts.Restart)
	}
	return run, e.serviceTime(), nil
}

// refuses says why the target does not run a request, nil if it does. The caller holds e.mu.
func (l *incarnation) refuses(run *Run, r *http.Request, arrived time.Time) *refusal {
	o := l.e.opts
	deadline, ok := deadlineOf(r, arrived)
	switch {
	case !run.DrainingSince.IsZero() && !o.AcceptsDraining:
		return &refusal{http.StatusServiceUnavailable, "draining"}
	case run.Keyed && !l.holds(run, run.Started):
		return &refusal{http.StatusConflict, "staleEpoch"}
	case l.inFlight >= o.Slots, ok && !run.Started.Before(deadline):
		return &refusal{http.StatusTooManyRequests, "overloaded"}
	case l.inFlight+1 > run.ColdLimit && l.coldAnswers < coldNotice:
		return &refusal{http.StatusTooManyRequests, "cold"}
	}
	return nil
}

// holds reports whether the target may run keyed work for the slot of run. The caller holds e.mu.
func (l *incarnation) holds(run *Run, now time.Time) bool {
	if !l.lease.Valid(now) {
		return false
	}
	if l.e.opts.IgnoresEpoch {
		return true
	}
	h, ok := l.owned[run.Slot]
	return ok && h.Epoch == run.Epoch && !l.releasing[run.Slot]
}

// coldLimit returns how many requests in progress the target can handle now. The caller holds e.mu.
func (l *incarnation) coldLimit(now time.Time) int {
	o := l.e.opts
	if l.cold && (l.coldDone >= o.ColdRequests || o.ColdTime > 0 && now.Sub(l.coldSince) >= o.ColdTime) {
		l.cold = false
	}
	if !l.cold {
		return o.Slots
	}
	return min(o.Slots, o.ColdInFlight+l.coldDone/o.ColdStep)
}

// work takes the service time, or less if the caller goes away, the deadline passes or the target crashes.
func (l *incarnation) work(r *http.Request, wait time.Duration, arrived time.Time) Result {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var late <-chan time.Time
	if deadline, ok := deadlineOf(r, arrived); ok {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		late = t.C
	}
	select {
	case <-timer.C:
		return ResultFinished
	case <-r.Context().Done():
		return ResultCancelled
	case <-late:
		return ResultCancelled
	case <-l.ctx.Done():
		return ResultCrashed
	}
}

// finish ends a run and frees its slot before the answer is written, so that a host that sends the next request after
// the answer never finds the slot taken.
func (l *incarnation) finish(run *Run, result Result) Result {
	e := l.e
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.Result != ResultRunning {
		return run.Result
	}
	now := time.Now()
	if result == ResultFinished && run.Keyed && !e.opts.IgnoresEpoch {
		h, ok := l.owned[run.Slot]
		if !ok || h.Epoch != run.Epoch || !l.lease.Valid(now) {
			result = ResultStale
		}
	}
	run.Result = result
	run.Ended = now
	l.inFlight--
	if result == ResultFinished {
		l.coldDone++
	}
	if run.Keyed {
		if l.busy[run.Slot]--; l.busy[run.Slot] == 0 {
			delete(l.busy, run.Slot)
			if l.releasing[run.Slot] {
				l.sendNow()
			}
		}
	}
	return result
}

func (l *incarnation) answer(w http.ResponseWriter, run *Run) {
	a := Answer{
		Identity: run.Identity,
		Attempt:  run.Attempt,
		Target:   run.Target,
		Padding:  strings.Repeat("p", l.e.opts.AnswerBytes),
	}
	a.Digest = a.Sum()
	b, err := json.Marshal(a)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	_, _ = w.Write(b)
}

func refuse(w http.ResponseWriter, no refusal) {
	w.Header().Set(HeaderOutcome, "notRun")
	w.Header().Set(HeaderReason, no.reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(no.status)
	fmt.Fprintf(w, `{"outcome":"notRun","reason":%q}`, no.reason)
}

func newRun(r *http.Request) *Run {
	run := Run{
		Service:  r.Header.Get(HeaderService),
		Request:  r.Header.Get(HeaderRequest),
		Identity: r.Header.Get(HeaderIdentity),
		Method:   r.Method,
		Key:      r.Header.Get(HeaderKey),
	}
	run.Attempt, _ = strconv.Atoi(r.Header.Get(HeaderAttempt))
	if s := r.Header.Get(HeaderSlot); s != "" {
		n, err := strconv.ParseUint(s, 10, 32)
		run.Keyed = err == nil
		run.Slot = keyer.Slot(n)
	}
	run.Epoch = parseEpoch(r.Header.Get(HeaderEpoch))
	return &run
}

// parseEpoch reads an epoch as a decimal number or as index and change joined by a dot; zero means none.
func parseEpoch(s string) fencer.Epoch {
	if index, change, ok := strings.Cut(s, "."); ok {
		i, _ := strconv.ParseUint(index, 10, 32)
		c, _ := strconv.ParseUint(change, 10, 32)
		return fencer.NewEpoch(uint32(i), uint32(c))
	}
	n, _ := strconv.ParseUint(s, 10, 64)
	return fencer.Epoch(n)
}

func deadlineOf(r *http.Request, arrived time.Time) (time.Time, bool) {
	s := r.Header.Get(HeaderDeadline)
	if s == "" {
		return time.Time{}, false
	}
	ms, err := strconv.ParseInt(s, 10, 64)
	if err != nil {
		return time.Time{}, false
	}
	return arrived.Add(time.Duration(ms) * time.Millisecond), true
}
