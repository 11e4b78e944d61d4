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

// Headers of the target protocol, and those that only the load generator sends.
const (
	HeaderService  = "Bramleyline-Service"
	HeaderSlot     = "Bramleyline-Slot"
	HeaderEpoch    = "Bramleyline-Epoch"
	HeaderRequest  = "Bramleyline-Request"
	HeaderDeadline = "Bramleyline-Deadline"
	HeaderOutcome  = "Bramleyline-Outcome"
	HeaderReason   = "Bramleyline-Reason"
	HeaderLimit    = "Bramleyline-Limit"
	// HeaderIdentity carries the caller's identity of a request, HeaderAttempt the number of the caller's attempt and
	// HeaderKey the key as plain text, for the record of runs.
	HeaderIdentity = "Idempotency-Key"
	HeaderAttempt  = "Bench-Attempt"
	HeaderKey      = "Bench-Key"
	// HeaderPoison makes the target crash when it runs the request, and so does PoisonMark in the body.
	HeaderPoison = "Bench-Poison"
	PoisonMark   = "poison-mark"
)

// maxBodyBytes bounds the body of a request.
const maxBodyBytes = 8 << 20

// Answer is the body of a target's answer to a request that ran.
type Answer struct {
	Identity string `json:"identity"`
	Attempt  int    `json:"attempt"`
	Target   string `json:"target"`
	Padding  string `json:"padding"`
	// Digest is the xxhash64 digest of identity, attempt and padding, by which a caller detects a damaged answer.
	Digest string `json:"digest"`
}

// Sum computes the digest from the other fields; it equals Digest unless the answer is damaged.
func (a Answer) Sum() string {
	return strconv.FormatUint(xxhash.Sum64String(a.Identity+"\n"+strconv.Itoa(a.Attempt)+"\n"+a.Padding), 16)
}

// rejection is the HTTP status and the reason of an answer with the outcome notRun.
type rejection struct {
	status int
	reason string
}

// ServeHTTP runs one request. It aborts the connection if the incarnation ends meanwhile.
func (inc *incarnation) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrived := time.Now()
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if !inc.waitUntilThawed() {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(HeaderRequest, r.Header.Get(HeaderRequest))
	if limit := inc.emulator.opts.Limit; limit != "" {
		w.Header().Set(HeaderLimit, limit)
	}
	run, serviceTime, rej := inc.admit(r, arrived)
	if rej != nil {
		writeRejection(w, *rej)
		return
	}
	if run == nil {
		panic(http.ErrAbortHandler)
	}
	if r.Header.Get(HeaderPoison) != "" || strings.Contains(string(body), PoisonMark) {
		inc.emulator.crash(inc, inc.emulator.opts.Restart)
		panic(http.ErrAbortHandler)
	}
	result := inc.waitServiceTime(r, serviceTime, arrived)
	if !inc.waitUntilThawed() {
		panic(http.ErrAbortHandler)
	}
	switch inc.finish(run, result) {
	case ResultFinished:
		inc.writeAnswer(w, run)
	case ResultStale:
		writeRejection(w, rejection{http.StatusConflict, "staleEpoch"})
	case ResultCancelled:
		// The request ran in part, so the answer must not say notRun.
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		panic(http.ErrAbortHandler)
	}
}

// admit starts a run and draws its service time, or returns why the target rejects the request. Run and rejection are
// both nil if the incarnation has ended.
func (inc *incarnation) admit(r *http.Request, arrived time.Time) (*Run, time.Duration, *rejection) {
	run := newRun(r)
	e := inc.emulator
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.current != inc {
		return nil, 0, nil
	}
	now := time.Now()
	run.Target = e.opts.Name
	run.DataCentre = e.opts.DataCentre
	if e.opts.Service != "" {
		run.Service = e.opts.Service
	}
	run.Incarnation = inc.id
	run.Started = now
	run.LeaseUntil = inc.lease.Until()
	run.DrainingSince = e.drainingSince
	run.InFlight = inc.inFlight
	run.ColdLimit = inc.coldLimit(now)
	e.runs = append(e.runs, run)
	if rej := inc.checkAdmission(run, r, arrived); rej != nil {
		run.Ended = now
		run.Result = ResultRejected
		run.Reason = rej.reason
		return nil, 0, rej
	}
	run.Result = ResultRunning
	inc.inFlight++
	run.InFlight = inc.inFlight
	if run.Keyed {
		inc.inFlightBySlot[run.Slot]++
	}
	if run.InFlight > run.ColdLimit {
		go e.crash(inc, e.opts.Restart)
	}
	return run, e.drawServiceTime(), nil
}

// checkAdmission returns why the target rejects a request, nil if it does not. The caller holds emulator.mu.
func (inc *incarnation) checkAdmission(run *Run, r *http.Request, arrived time.Time) *rejection {
	o := inc.emulator.opts
	deadline, ok := deadlineOf(r, arrived)
	switch {
	case !run.DrainingSince.IsZero() && !o.AcceptsWhileDraining:
		return &rejection{http.StatusServiceUnavailable, "draining"}
	case run.Keyed && !inc.mayRunKeyed(run, run.Started):
		return &rejection{http.StatusConflict, "staleEpoch"}
	case inc.inFlight >= o.Slots, ok && !run.Started.Before(deadline):
		return &rejection{http.StatusTooManyRequests, "overloaded"}
	case inc.inFlight+1 > run.ColdLimit && inc.coldReports < coldGraceReports:
		return &rejection{http.StatusTooManyRequests, "cold"}
	}
	return nil
}

// mayRunKeyed reports whether the target may run a keyed request for the slot and epoch of run. The caller holds
// emulator.mu.
func (inc *incarnation) mayRunKeyed(run *Run, now time.Time) bool {
	if !inc.lease.Valid(now) {
		return false
	}
	if inc.emulator.opts.IgnoresEpoch {
		return true
	}
	h, ok := inc.owned[run.Slot]
	return ok && h.Epoch == run.Epoch && !inc.releasing[run.Slot]
}

// coldLimit returns how many requests in progress the target can handle now, and ends the cold start if it is over. The
// caller holds emulator.mu.
func (inc *incarnation) coldLimit(now time.Time) int {
	o := inc.emulator.opts
	if inc.cold && (inc.coldFinished >= o.ColdRequests || o.ColdTime > 0 && now.Sub(inc.coldSince) >= o.ColdTime) {
		inc.cold = false
	}
	if !inc.cold {
		return o.Slots
	}
	return min(o.Slots, o.ColdInFlight+inc.coldFinished/o.ColdStep)
}

// waitServiceTime waits for the service time, or less if the caller disconnects, the deadline passes or the target
// crashes.
func (inc *incarnation) waitServiceTime(r *http.Request, serviceTime time.Duration, arrived time.Time) Result {
	timer := time.NewTimer(serviceTime)
	defer timer.Stop()
	var deadlinePassed <-chan time.Time
	if deadline, ok := deadlineOf(r, arrived); ok {
		t := time.NewTimer(time.Until(deadline))
		defer t.Stop()
		deadlinePassed = t.C
	}
	select {
	case <-timer.C:
		return ResultFinished
	case <-r.Context().Done():
		return ResultCancelled
	case <-deadlinePassed:
		return ResultCancelled
	case <-inc.ctx.Done():
		return ResultCrashed
	}
}

// finish ends a run and frees its request slot before the answer is written, so that a host that sends the next request
// after the answer never finds the request slot taken.
func (inc *incarnation) finish(run *Run, result Result) Result {
	e := inc.emulator
	e.mu.Lock()
	defer e.mu.Unlock()
	if run.Result != ResultRunning {
		return run.Result
	}
	now := time.Now()
	if result == ResultFinished && run.Keyed && !e.opts.IgnoresEpoch {
		h, ok := inc.owned[run.Slot]
		if !ok || h.Epoch != run.Epoch || !inc.lease.Valid(now) {
			result = ResultStale
		}
	}
	run.Result = result
	run.Ended = now
	inc.inFlight--
	if result == ResultFinished {
		inc.coldFinished++
	}
	if run.Keyed {
		if inc.inFlightBySlot[run.Slot]--; inc.inFlightBySlot[run.Slot] == 0 {
			delete(inc.inFlightBySlot, run.Slot)
			if inc.releasing[run.Slot] {
				inc.triggerHeartbeat()
			}
		}
	}
	return result
}

func (inc *incarnation) writeAnswer(w http.ResponseWriter, run *Run) {
	a := Answer{
		Identity: run.Identity,
		Attempt:  run.Attempt,
		Target:   run.Target,
		Padding:  strings.Repeat("p", inc.emulator.opts.AnswerBytes),
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

func writeRejection(w http.ResponseWriter, rej rejection) {
	w.Header().Set(HeaderOutcome, "notRun")
	w.Header().Set(HeaderReason, rej.reason)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(rej.status)
	fmt.Fprintf(w, `{"outcome":"notRun","reason":%q}`, rej.reason)
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

// parseEpoch parses an epoch, either a decimal number or index and change joined by a dot. It returns zero for none.
func parseEpoch(s string) fencer.Epoch {
	if index, change, ok := strings.Cut(s, "."); ok {
		i, _ := strconv.ParseUint(index, 10, 32)
		c, _ := strconv.ParseUint(change, 10, 32)
		return fencer.NewEpoch(uint32(i), uint32(c))
	}
	n, _ := strconv.ParseUint(s, 10, 64)
	return fencer.Epoch(n)
}

// deadlineOf returns the deadline of a request, which the header states in milliseconds from its arrival.
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
