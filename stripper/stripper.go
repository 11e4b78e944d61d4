// Package stripper removes the headers that a proxy must not forward.
package stripper

import (
	"net/http"
	"strings"
)

// hopByHop is the set of headers that apply to one connection only (RFC 9110, section 7.6.1). Expect is answered by the
// HTTP server.
var hopByHop = map[string]bool{
	"Connection":          true,
	"Keep-Alive":          true,
	"Proxy-Authenticate":  true,
	"Proxy-Authorization": true,
	"Proxy-Connection":    true,
	"Te":                  true,
	"Trailer":             true,
	"Transfer-Encoding":   true,
	"Upgrade":             true,
	"Expect":              true,
}

// EndToEnd returns h without its hop-by-hop headers, those that its Connection header names, and those for which exclude
// returns true.
func EndToEnd(h http.Header, exclude func(name string) bool) http.Header {
	out := make(http.Header, len(h))
	options := connectionOptions(h)
	for name, values := range h {
		if hopByHop[name] || options[name] || exclude(name) {
			continue
		}
		out[name] = values
	}
	return out
}

// connectionOptions returns the names of the headers that the Connection header lists.
func connectionOptions(h http.Header) map[string]bool {
	values := h["Connection"]
	if len(values) == 0 {
		return nil
	}
	options := make(map[string]bool)
	for _, v := range values {
		for name := range strings.SplitSeq(v, ",") {
			options[http.CanonicalHeaderKey(strings.TrimSpace(name))] = true
		}
	}
	return options
}
