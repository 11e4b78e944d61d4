package forwarder

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"testing"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/quarantiner"
)

// BenchmarkHandle measures a request to a keyed service on a host that has lost nothing, with the target in this process.
func BenchmarkHandle(b *testing.B) {
	f := newFixture(qt.New(b))
	f.f.opts.Quarantiner = &quarantiner.Quarantiner{}
	f.putTable()
	f.target("a", "tally", func(_ http.ResponseWriter, r *http.Request) { _, _ = io.Copy(io.Discard, r.Body) })
	f.own("tally", "a")
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		a := f.send(context.Background(), http.MethodPost, "/tally/1", testKey, "7", testRequest, strconv.Itoa(n))
		if a.Status != http.StatusOK {
			b.Fatalf("status %d", a.Status)
		}
	}
}
