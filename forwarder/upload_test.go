package forwarder

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/acceptor"
	"bramleyline.example/bramleyline/registrar"
	"bramleyline.example/bramleyline/selector"
	"bramleyline.example/bramleyline/sender"
	"bramleyline.example/bramleyline/shaper"
)

// sendLong sends a body that waits for the link of a fixture, and calls during while it waits.
func sendLong(b *fixture, path string, during func(), header ...string) *acceptor.Answer {
	link := b.f.opts.Link
	b.f.opts.Sender = sender.New(nil, sender.WithLink(link))
	link.Written(shaper.Short, 40_000)
	done := make(chan struct{})
	time.AfterFunc(50*time.Millisecond, func() {
		defer close(done)
		during()
	})
	defer func() { <-done }()
	h := http.Header{
		testRequest: {"r1"},
	}
	for i := 0; i+1 < len(header); i += 2 {
		h.Set(header[i], header[i+1])
	}
	return b.f.Handle(context.Background(), &acceptor.Request{
		Method:  http.MethodPost,
		URI:     path,
		Path:    path,
		Host:    "shop.example",
		Header:  h,
		Body:    [][]byte{make([]byte, 10_000)},
		Arrived: time.Now(),
	})
}

// Guards against an upload that goes, after its wait for the link, to a target that drains or has lost the key meanwhile, or on
// in a stop that leaves no time.
func TestTargetIsCheckedAgainAfterTheWaitForTheLink(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var old, next atomic.Int32
	first := b.target("desk-1", "desk", answerWith(&old, "old"))
	second := first
	a := sendLong(b, "/order/1", func() {
		first.Draining = true
		b.commit(registrar.Change{
			Announce: &first,
		})
		second = b.target("desk-2", "desk", answerWith(&next, "next"))
	})
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(old.Load() == 0 && next.Load() == 1, qt.IsTrue)
	a = sendLong(b, "/order/1", func() {
		second.Cold = true
		b.commit(registrar.Change{
			Announce: &second,
		})
	})
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(old.Load() == 0 && next.Load() == 1, qt.IsTrue)
	b.target("tally-1", "tally", answerWith(&old, "old"))
	b.target("tally-2", "tally", answerWith(&next, "next"))
	b.own("tally", "tally-1")
	a = sendLong(b, "/tally/1", func() { b.own("tally", "tally-2") }, testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusOK)
	c.Assert(old.Load() == 0 && next.Load() == 2, qt.IsTrue, qt.Commentf("%d, %d", old.Load(), next.Load()))
	b.stopIn(0, 2*time.Second)
	a = sendLong(b, "/tally/1", func() { b.stopIn(0, 300*time.Millisecond) }, testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(next.Load(), qt.Equals, int32(2))
}

// Guards against a target that is told the time which its request had before the wait for the link.
func TestTargetIsToldTheTimeThatIsLeftAfterTheWait(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var left atomic.Value
	b.target("desk-1", "desk", func(w http.ResponseWriter, r *http.Request) {
		left.Store(r.Header.Get(testDeadline))
		w.WriteHeader(http.StatusNoContent)
	})
	c.Assert(sendLong(b, "/order/1", func() {}).Status, qt.Equals, http.StatusNoContent)
	ms, err := strconv.Atoi(left.Load().(string))
	c.Assert(err, qt.IsNil)
	c.Assert(ms > 0 && ms < 900, qt.IsTrue, qt.Commentf("%d ms", ms))
}

// uploadFixture returns a fixture whose routes are all uploads, with a narrow link.
func uploadFixture(c *qt.C) *fixture {
	b := newFixture(c)
	for i := range b.table.Routes {
		b.table.Routes[i].Upload = true
	}
	b.f.opts.Link = shaper.New(2.2, nil)
	b.f.opts.Link.SetActive(b.table.HasUploads())
	b.putTable()
	return b
}

// peakHandler returns a handler that takes a while and records the greatest number of requests at the same time.
func peakHandler(running, peak *atomic.Int32) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n := running.Add(1)
		defer running.Add(-1)
		if n > peak.Load() {
			peak.Store(n)
		}
		time.Sleep(50 * time.Millisecond)
		w.WriteHeader(http.StatusNoContent)
	}
}

func sendAll(c *qt.C, b *fixture, n int, path string, header ...string) {
	var wg sync.WaitGroup
	for range n {
		wg.Go(func() {
			c.Check(b.send(context.Background(), "POST", path, header...).Status, qt.Equals, http.StatusNoContent)
		})
	}
	wg.Wait()
}

// Guards against two uploads of this host at one target while another target is free, and against uploads that are refused
// because all have one.
func TestUploadsGoToTargetsWithoutOne(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var running, peak [3]atomic.Int32
	for i, id := range []string{"desk-1", "desk-2", "desk-3"} {
		b.target(id, "desk", peakHandler(&running[i], &peak[i]))
	}
	sendAll(c, b, 3, "/order/1")
	for i := range peak {
		c.Check(peak[i].Load(), qt.Equals, int32(1))
	}
	sendAll(c, b, 6, "/order/1")
	c.Assert(b.f.uploads.current, qt.HasLen, 0)
}

// Guards against more than one upload of this host at a keyed target, and against one that waits longer than it may.
func TestUploadsToAnOwnerFollowEachOther(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var running, peak atomic.Int32
	b.target("tally-1", "tally", peakHandler(&running, &peak))
	b.own("tally", "tally-1")
	sendAll(c, b, 3, "/tally/1", testKey, "7")
	c.Assert(peak.Load(), qt.Equals, int32(1))
	place, _ := b.f.uploads.enter(registrar.Incarnation{
		ID: "tally-1",
	}, false)
	began := time.Now()
	a := b.send(context.Background(), "POST", "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(time.Since(began) < 400*time.Millisecond, qt.IsTrue)
	b.f.uploads.leave(place)
	c.Assert(b.f.uploads.current, qt.HasLen, 0)
}

// Guards against further uploads to a target that ended with one, and against a target that is avoided for ever.
func TestTargetThatEndedWithAnUploadIsAvoided(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var lost, served atomic.Int32
	b.target("desk-1", "desk", hangUp(&lost))
	c.Assert(b.send(context.Background(), "POST", "/order/1").Status, qt.Equals, http.StatusBadGateway)
	b.target("desk-2", "desk", answerWith(&served, "done"))
	for range 10 {
		c.Assert(b.send(context.Background(), "POST", "/order/1").Status, qt.Equals, http.StatusOK)
	}
	c.Assert(lost.Load(), qt.Equals, int32(1))
	inc := registrar.Incarnation{
		ID: "desk-1",
	}
	now := time.Now()
	c.Assert(b.f.uploads.mayTake(now, inc), qt.IsFalse)
	c.Assert(b.f.uploads.mayTake(now.Add(uploadBackoff), inc), qt.IsTrue)
}

// Guards against an upload that goes to an owner whose time to drain ended while it waited for the one before it, and against one
// that keeps its place there while it waits for the next owner.
func TestOwnerIsCheckedAfterTheWaitForTheUploadBeforeIt(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var served atomic.Int32
	owner := b.target("tally-1", "tally", answerWith(&served, "done"))
	b.own("tally", "tally-1")
	owner.Draining = true
	b.commit(registrar.Change{
		Announce: &owner,
	})
	place, _ := b.f.uploads.enter(owner.Incarnation, true)
	time.AfterFunc(150*time.Millisecond, func() { b.f.uploads.leave(place) })
	time.AfterFunc(250*time.Millisecond, func() {
		c.Check(b.f.uploads.mayTake(time.Now(), owner.Incarnation), qt.IsTrue)
	})
	a := b.send(context.Background(), "POST", "/tally/1", testKey, "7")
	c.Assert(a.Status, qt.Equals, http.StatusServiceUnavailable)
	c.Assert(served.Load(), qt.Equals, int32(0))
}

// Guards against uploads to a target that does not answer while others have an upload.
func TestUploadsPreferBusyTargetsToDeadOnes(t *testing.T) {
	c := qt.New(t)
	b := uploadFixture(c)
	var lost, served atomic.Int32
	dead := b.target("desk-1", "desk", hangUp(&lost)).Incarnation
	busy := b.target("desk-2", "desk", answerWith(&served, "done")).Incarnation
	b.f.opts.Selector.Begin(time.Now(), dead)
	b.f.opts.Selector.End(time.Now(), dead, selector.Result{
		Unanswered: true,
	})
	place, _ := b.f.uploads.enter(busy, true)
	defer b.f.uploads.leave(place)
	c.Assert(b.send(context.Background(), "POST", "/order/1").Status, qt.Equals, http.StatusOK)
	c.Assert(lost.Load(), qt.Equals, int32(0))
}

// Guards against an upload that is judged by a wrong time: that of its route, or the caller's if it is shorter.
func TestAllowance(t *testing.T) {
	c := qt.New(t)
	b := newFixture(c)
	h := http.Header{
		testRequest: {"r1"},
	}
	c.Assert(b.f.Allowance("shop.example", "/order/1", h), qt.Equals, shaper.Allowance{})
	b.putTable()
	want := shaper.Allowance{
		Objective: 500 * time.Millisecond,
		Deadline:  time.Second,
		Work:      initialServiceTime,
	}
	c.Assert(b.f.Allowance("shop.example", "/order/1", h), qt.Equals, want)
	h.Set(testDeadline, "300")
	want.Deadline = 300 * time.Millisecond
	c.Assert(b.f.Allowance("shop.example", "/order/1", h), qt.Equals, want)
	c.Assert(b.f.Allowance("shop.example", "/other", h), qt.Equals, shaper.Allowance{})
}
