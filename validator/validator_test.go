package validator

import (
	"flag"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
)

var update = flag.Bool("update", false, "write the golden files anew")

// Guards against a status line or a field name that readers of HTTP/1.1 understand differently.
func TestHeader(t *testing.T) {
	c := qt.New(t)
	var lines strings.Builder
	report := func(what string, resp http.Response) {
		fmt.Fprintf(&lines, "%s: %v\n", what, Header(&resp))
	}
	for _, status := range []int{0, 99, 100, 200, 599, 600, 999} {
		report(fmt.Sprint(status), http.Response{
			ProtoMajor: 1,
			StatusCode: status,
		})
	}
	for _, major := range []int{0, 1, 2} {
		report(fmt.Sprintf("HTTP/%d.1", major), http.Response{
			Proto:      fmt.Sprintf("HTTP/%d.1", major),
			ProtoMajor: major,
			StatusCode: http.StatusOK,
		})
	}
	for _, status := range []string{"200", "200 OK", "200 O\tK", "200 O\x80K", "200 O\x01K", "200 O\rK", "200 O\x7fK"} {
		report(fmt.Sprintf("%q", status), http.Response{
			Status:     status,
			ProtoMajor: 1,
			StatusCode: http.StatusOK,
		})
	}
	for _, name := range []string{"X", "x-y", "X!#$%&'*+.^_`|~1", "", " ", "X Y", "X ", " X", "X\t", "X\x00", "X\x7f", "X\x80", "X:", "X(", "X\"", "X/", "Xé"} {
		report(fmt.Sprintf("%q", name), http.Response{
			ProtoMajor: 1,
			StatusCode: http.StatusOK,
			Header: http.Header{
				name: {"1"},
			},
		})
	}
	file := filepath.Join("testdata", "header.golden")
	if *update {
		c.Assert(os.WriteFile(file, []byte(lines.String()), 0o600), qt.IsNil)
	}
	want, err := os.ReadFile(file)
	c.Assert(err, qt.IsNil)
	c.Assert(lines.String(), qt.Equals, string(want))
}
