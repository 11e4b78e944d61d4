package platformemulator

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/lessor"
	"bramleyline.example/bramleyline/platform"
	"bramleyline.example/bramleyline/registrar"
)

// Guards against an emulator that is more lenient than real targets. It has to run requests only for keys that it holds
// and only if they are addressed to it, to reject a grant under a lower fence, and to give a hand-over with a release.
func TestTargetHoldsToItsGrants(t *testing.T) {
	c := qt.New(t)
	var addr netip.AddrPort
	m := New(Options{
		ID:         "i-1",
		Service:    "tally",
		DataCentre: "a",
		Keyed:      true,
		Controls:   []string{"http://127.0.0.1:1"},
		Advertise: func(listen netip.AddrPort) (netip.AddrPort, error) {
			addr = listen
			return listen, nil
		},
	})
	c.Assert(m.Start(), qt.IsNil)
	defer m.Close()
	targets := platform.NewTargets()
	defer targets.Close()
	callTarget := func(fence uint64, grant bool) lessor.CallResultMsg {
		call := lessor.CallMsg{
			Incarnation: registrar.Incarnation{
				ID: "i-1",
			},
			Addr: addr,
			Span: registrar.Span{
				From: 10,
				To:   20,
			},
			Fence: fence,
		}
		if grant {
			call.Grant = &lessor.GrantCall{
				Hold: time.Minute,
			}
		}
		return targets.Call(context.Background(), call, func() bool { return true })
	}
	request := func(id string, key uint16) int {
		req, err := http.NewRequest(http.MethodPost, "http://"+addr.String()+"/x", nil)
		c.Assert(err, qt.IsNil)
		req.Header = platform.Counterpart{}.RequestHeaders(id, key, time.Second)
		resp, err := http.DefaultClient.Do(req)
		c.Assert(err, qt.IsNil)
		_ = resp.Body.Close()
		return resp.StatusCode
	}
	c.Assert(request("r1", 15), qt.Equals, http.StatusMisdirectedRequest)
	c.Assert(callTarget(7, true).OK, qt.IsTrue)
	c.Assert(m.HeldKeys(), qt.Equals, 11)
	c.Assert(request("r2", 15), qt.Equals, http.StatusOK)
	c.Assert(request("r3", 21), qt.Equals, http.StatusMisdirectedRequest)
	c.Assert(callTarget(6, true).Fenced, qt.IsTrue)
	c.Assert(callTarget(7, false).Handover, qt.Not(qt.Equals), "")
	c.Assert(request("r4", 15), qt.Equals, http.StatusMisdirectedRequest)
	c.Assert(m.Runs(), qt.DeepEquals, map[string]int{
		"r2": 1,
	})
}

// Guards against a check of limits that takes an absurd text for one, or counts the time of such a text to the limit after
// it.
func TestArrivalsTellOnlyWhatLimits(t *testing.T) {
	c := qt.New(t)
	var got ArrivalMsg
	m := New(Options{
		ID:        "i-1",
		Service:   "tally",
		Controls:  []string{"http://127.0.0.1:1"},
		OnArrival: func(a ArrivalMsg) { got = a },
	})
	arrive := func(text string) ArrivalMsg {
		m.SetLimit(text)
		w := httptest.NewRecorder()
		m.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/", nil))
		return got
	}
	for _, text := range []string{"", "-1", "NaN", "Inf", "6.3.1", "much"} {
		c.Assert(arrive(text).LimitSince.IsZero(), qt.IsTrue, qt.Commentf("%q", text))
	}
	first := arrive("10.3")
	c.Assert(first.Limit, qt.Equals, 10.3)
	c.Assert(time.Since(first.LimitSince) < time.Minute, qt.IsTrue)
	second := arrive("0")
	c.Assert(second.Limit, qt.Equals, 0.0)
	c.Assert(second.LimitSince.Equal(first.LimitSince), qt.IsTrue)
}

// Guards against an endless answer that ends as a whole one when its target ends, which callers then take for theirs.
func TestEndlessBodyIsCutWhenTheTargetEnds(t *testing.T) {
	c := qt.New(t)
	var addr netip.AddrPort
	m := New(Options{
		ID:       "i-1",
		Service:  "tally",
		Controls: []string{"http://127.0.0.1:1"},
		Advertise: func(listen netip.AddrPort) (netip.AddrPort, error) {
			addr = listen
			return listen, nil
		},
	})
	c.Assert(m.Start(), qt.IsNil)
	m.SetEndlessBodies(true)
	resp, err := http.Get("http://" + addr.String() + "/x")
	c.Assert(err, qt.IsNil)
	defer resp.Body.Close()
	time.AfterFunc(50*time.Millisecond, m.Close)
	_, err = io.Copy(io.Discard, resp.Body)
	c.Assert(err, qt.IsNotNil)
}
