package router

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"

	"bramleyline.example/bramleyline/asserter"
	"bramleyline.example/bramleyline/sender"
)

// answerBufferSize is the size in bytes up to which an answer is read completely before its header is passed on, so
// that a cut answer becomes a 502 and not a cut connection.
const answerBufferSize = 16 << 10

var answerBuffers = sync.Pool{
	New: func() any {
		b := make([]byte, answerBufferSize)
		return &b
	},
}

type answerJSON struct {
	Outcome string `json:"outcome"`
	Reason  string `json:"reason"`
	Message string `json:"message"`
	Request string `json:"request"`
}

// writeFault answers in place of the target and states whether the request may have run.
func (x *exchange) writeFault(f *sender.Fault) {
	outcome, status := "notRun", f.Status
	if x.mayHaveRun || f.MayHaveRun {
		outcome = "unknown"
		if status != http.StatusGatewayTimeout {
			status = http.StatusBadGateway
		}
	}
	if outcome == "notRun" && x.mayHaveRun {
		asserter.Check(false, asserter.TrueNotRun, "request %s may have run", x.identity)
	}
	x.outcome = outcome + ":" + f.Reason
	body, _ := json.Marshal(answerJSON{
		Outcome: outcome,
		Reason:  f.Reason,
		Message: f.Error(),
		Request: x.identity,
	})
	h := x.w.Header()
	h["Content-Type"] = []string{"application/json"}
	h["Bramleyline-Outcome"] = []string{outcome}
	h["Bramleyline-Reason"] = []string{f.Reason}
	h["Bramleyline-Request"] = []string{x.identity}
	h["Content-Length"] = []string{strconv.Itoa(len(body))}
	x.w.WriteHeader(status)
	if x.method != http.MethodHead {
		_, _ = x.w.Write(body)
	}
}

// copyAnswer copies the target's answer to the caller. An answer that is cut after its header was written aborts the
// caller's connection; one that is cut before is returned as a fault.
func (x *exchange) copyAnswer(resp *sender.Response) *sender.Fault {
	p := answerBuffers.Get().(*[]byte)
	defer answerBuffers.Put(p)
	buf := *p
	defer resp.Close()
	n, err := fill(resp, buf)
	if f, ok := err.(*sender.Fault); ok {
		return f
	}
	h := x.w.Header()
	stripHeaders(resp.Header)
	for name, values := range resp.Header {
		h[name] = values
	}
	h["Bramleyline-Request"] = []string{x.identity}
	x.w.WriteHeader(resp.Status)
	sent := int64(n)
	for {
		if n > 0 {
			if _, writeErr := x.w.Write(buf[:n]); writeErr != nil {
				panic(http.ErrAbortHandler)
			}
		}
		if err == io.EOF {
			break
		}
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		if resp.Length < 0 {
			_ = http.NewResponseController(x.w).Flush()
		}
		n, err = resp.Read(buf)
		sent += int64(n)
	}
	x.outcome = "ok"
	if resp.Length >= 0 && sent != resp.Length && x.method != http.MethodHead {
		asserter.Check(false, asserter.WholeAnswer, "answer to request %s has %d of %d bytes", x.identity, sent, resp.Length)
	}
	return nil
}

// fill reads until buf is full or the body has ended. It reads only the first part of a body of unknown length, unless
// that is JSON.
func fill(resp *sender.Response, buf []byte) (int, error) {
	n := 0
	for n < len(buf) {
		m, err := resp.Read(buf[n:])
		n += m
		if err != nil {
			return n, err
		}
		if resp.Length < 0 && !strings.HasPrefix(resp.Header.Get("Content-Type"), "application/json") {
			return n, nil
		}
	}
	return n, nil
}
