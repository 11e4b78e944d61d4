package sender

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/shaper"
)

// Guards against long bodies that fill the buffers of the kernel at once, that arrive incomplete, that make short requests
// wait, or that leave the link unused.
func TestLongBodiesAreSentAtThePaceOfTheLink(t *testing.T) {
	c := qt.New(t)
	const size = 300_000
	link := shaper.New(8, nil)
	link.SetActive(true)
	w := newTestServer(t, func(rw http.ResponseWriter, r *http.Request) {
		n, _ := io.Copy(io.Discard, r.Body)
		if n == size || n < 100 {
			rw.WriteHeader(http.StatusNoContent)
			return
		}
		rw.WriteHeader(http.StatusBadRequest)
	})
	w.Start()
	s := New(nil, WithLink(link))
	defer s.Close()
	post := func(body string) (*Response, time.Duration) {
		began := time.Now()
		resp, fault := s.Send(context.Background(), w.request(body))
		if !c.Check(fault == nil, qt.IsTrue, qt.Commentf("%v", fault)) {
			return &Response{}, 0
		}
		_, fault = resp.ReadAll()
		c.Check(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
		c.Check(resp.Close(), qt.IsNil)
		c.Check(resp.Status, qt.Equals, http.StatusNoContent)
		return resp, time.Since(began)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		resp, took := post(strings.Repeat("x", size))
		// 1 MB/s take 0.3 s.
		c.Check(took > 280*time.Millisecond && took < 600*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
		c.Check(resp.LinkWait > took/2, qt.IsTrue, qt.Commentf("%s of %s", resp.LinkWait, took))
	}()
	time.Sleep(50 * time.Millisecond)
	resp, took := post("short")
	c.Check(took < 100*time.Millisecond, qt.IsTrue, qt.Commentf("%s", took))
	c.Check(resp.LinkWait, qt.Equals, time.Duration(0))
	select {
	case <-done:
		c.Error("short request waited for a long one")
	default:
	}
	<-done
}

// Guards against a request that counts as possibly run although its body got no part of the link before the deadline.
func TestBodyWithoutTheLinkHasNotRun(t *testing.T) {
	c := qt.New(t)
	link := shaper.New(0.1, nil)
	link.SetActive(true)
	w := newTestServer(t, func(http.ResponseWriter, *http.Request) { c.Error("request arrived") })
	w.Start()
	s := New(nil, WithLink(link))
	defer s.Close()
	link.Written(shaper.Short, 100_000)
	r := w.request(strings.Repeat("x", 10_000))
	r.Deadline = time.Now().Add(50 * time.Millisecond)
	_, fault := s.Send(context.Background(), r)
	c.Assert(fault != nil, qt.IsTrue)
	c.Assert(fault.Reason, qt.Equals, ReasonOverloaded)
	c.Assert(fault.MayHaveRun, qt.IsFalse)
}

// Guards against a body that holds a connection while it waits for the link, so that short requests find none, and that is then
// written to a connection which its target has closed, or with a time from before the wait.
func TestBodyTakesAConnectionAfterItsWaitForTheLink(t *testing.T) {
	c := qt.New(t)
	link := shaper.New(2.2, nil)
	link.SetActive(true)
	var late atomic.Int32
	w := newTestServer(t, func(rw http.ResponseWriter, r *http.Request) {
		if r.Header.Get("X-Late") != "" {
			late.Add(1)
		}
		echoBody(rw, r)
	})
	w.Config.IdleTimeout = 50 * time.Millisecond
	w.Start()
	s := New(nil, WithLink(link))
	defer s.Close()
	short := func() {
		r := w.request("short")
		r.Connections, r.Deadline = 1, time.Now().Add(100*time.Millisecond)
		_, fault := send(s, r)
		c.Check(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
	}
	short()
	link.Written(shaper.Short, 60_000)
	done := make(chan struct{})
	go func() {
		defer close(done)
		r := w.request(strings.Repeat("x", 10_000))
		r.Connections = 1
		began := time.Now()
		r.LateFields = func() []Field {
			c.Check(time.Since(began) > 100*time.Millisecond, qt.IsTrue)
			return []Field{{Name: "X-Late", Value: "1"}}
		}
		_, fault := send(s, r)
		c.Check(fault == nil, qt.IsTrue, qt.Commentf("%v", fault))
	}()
	time.Sleep(20 * time.Millisecond)
	short()
	<-done
	c.Assert(late.Load(), qt.Equals, int32(1))
}
