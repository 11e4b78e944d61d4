package loadgenerator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/emulator"
)

func run(t *testing.T, o Options) []Record {
	g := New(o)
	qt.Assert(t, g.Start(), qt.IsNil)
	<-g.Done()
	return g.Records()
}

// TestWholeAnswers guards against a load generator that loses requests or takes a whole answer for a damaged or foreign
// one.
func TestWholeAnswers(t *testing.T) {
	c := qt.New(t)
	e := emulator.New(emulator.Options{
		Warm:        true,
		Slots:       100,
		ServiceTime: time.Millisecond,
		AnswerBytes: 5000,
	})
	c.Assert(e.Start(), qt.IsNil)
	defer e.Close()
	records := run(t, Options{
		Entries: []netip.AddrPort{e.Addr()},
		Rate:    500,
		Count:   100,
		Seed:    1,
		Mix: []Traffic{{
			Service:    "payroll",
			WriteShare: 0.5,
			BodyBytes:  100,
		}},
	})
	s := Summarize(records, "")
	c.Assert(s.Requests, qt.Equals, 100)
	c.Assert(s.Served, qt.Equals, 100)
	c.Assert(e.Runs(), qt.HasLen, 100)
}

// TestVerdicts guards against answers that count as served although they belong to another request, are damaged or are
// cut off.
func TestVerdicts(t *testing.T) {
	for _, test := range []struct {
		name    string
		answer  func(w http.ResponseWriter)
		outcome string
		verdict string
	}{{
		name: "foreign",
		answer: func(w http.ResponseWriter) {
			a := emulator.Answer{Identity: "other", Attempt: 1}
			_, _ = w.Write([]byte(`{"identity":"other","attempt":1,"padding":"","digest":"` + a.Sum() + `"}`))
		},
		outcome: "ok",
		verdict: VerdictForeign,
	}, {
		name:    "damaged",
		answer:  func(w http.ResponseWriter) { _, _ = w.Write([]byte(`{"identity":"x"`)) },
		outcome: "ok",
		verdict: VerdictDamaged,
	}, {
		name: "cut",
		answer: func(w http.ResponseWriter) {
			w.Header().Set("Content-Length", "100")
			_, _ = w.Write([]byte("{"))
			panic(http.ErrAbortHandler)
		},
		outcome: "lost",
	}} {
		t.Run(test.name, func(t *testing.T) {
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				test.answer(w)
			}))
			defer srv.Close()
			records := run(t, Options{
				Entries: []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))},
				Count:   1,
			})
			qt.Assert(t, records, qt.HasLen, 1)
			qt.Assert(t, records[0].Last().CallerOutcome(), qt.Equals, test.outcome)
			qt.Assert(t, records[0].Last().Verdict, qt.Equals, test.verdict)
			qt.Assert(t, records[0].Served(), qt.IsFalse)
		})
	}
}

// TestResend guards against retries of requests whose outcome is unknown, and against retries under another identity.
func TestResend(t *testing.T) {
	c := qt.New(t)
	var received []string
	outcome := "notRun"
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = append(received, r.Header.Get(emulator.HeaderIdentity)+" "+r.Header.Get(emulator.HeaderAttempt))
		w.Header().Set(emulator.HeaderOutcome, outcome)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	defer srv.Close()
	o := Options{
		Entries:    []netip.AddrPort{netip.MustParseAddrPort(strings.TrimPrefix(srv.URL, "http://"))},
		Count:      1,
		MaxRetries: 2,
		RetryWait:  time.Millisecond,
	}
	id := run(t, o)[0].Identity
	c.Assert(received, qt.DeepEquals, []string{id + " 1", id + " 2", id + " 3"})
	received = nil
	outcome = "unknown"
	c.Assert(run(t, o)[0].Attempts, qt.HasLen, 1)
}

// TestReadiness guards against requests to hosts that are not ready, which the balancer skips.
func TestReadiness(t *testing.T) {
	c := qt.New(t)
	e := emulator.New(emulator.Options{
		Warm:  true,
		Slots: 100,
	})
	c.Assert(e.Start(), qt.IsNil)
	defer e.Close()
	unreachable := netip.MustParseAddrPort("127.0.0.1:1")
	g := New(Options{
		Entries: []netip.AddrPort{unreachable, e.Addr()},
		Count:   20,
		Rate:    100,
		Ready: func(_ context.Context, entry netip.AddrPort) bool {
			return entry == e.Addr()
		},
	})
	g.ready[0].Store(false)
	c.Assert(g.Start(), qt.IsNil)
	<-g.Done()
	c.Assert(Summarize(g.Records(), "").Served, qt.Equals, 20)
}
