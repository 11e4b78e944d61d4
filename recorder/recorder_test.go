package recorder

import (
	"expvar"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// Guards against entries lost between the stripes, and against a panic of expvar when a second host in one process
// publishes its recorder.
func TestEntriesOfAllStripesAreSummed(t *testing.T) {
	c := qt.New(t)
	var r Recorder
	r.Publish("a")
	r.Publish("a")
	var wg sync.WaitGroup
	for range 4 {
		wg.Go(func() {
			for i := range 250 {
				r.Record(Entry{
					Service: "tally",
					Class:   Write,
					Outcome: "ok",
					Latency: time.Duration(i+1) * time.Millisecond,
				})
			}
		})
	}
	wg.Wait()
	s := r.Summaries()
	c.Assert(s, qt.HasLen, 1)
	c.Assert(s[0].Count, qt.Equals, int64(1000))
	c.Assert(s[0].Outcomes["ok"], qt.Equals, int64(1000))
	c.Assert(s[0].P50 > 120_000 && s[0].P50 < 130_000, qt.IsTrue, qt.Commentf("%d", s[0].P50))
	w := httptest.NewRecorder()
	r.ServeHTTP(w, nil)
	c.Assert(w.Body.String(), qt.Matches, `tally write count=1000 .* ok=1000\n`)
	c.Assert(strings.Contains(expvar.Get("traffic").String(), `"tally.write"`), qt.IsTrue)
}
