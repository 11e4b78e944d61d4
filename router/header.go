package router

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
)

// systemHeaderPrefix is the prefix of the header names that are reserved for the system.
const systemHeaderPrefix = "Bramleyline-"

// defaultKeyHeader is the header from which the key is read if the service configures no key source. It is part of the
// caller's request, so it is forwarded to the target although it has the system prefix.
var defaultKeyHeader = strings.TrimPrefix(configurer.DefaultService("").KeySource, "header:")

// hopByHopHeaders apply to one connection only (RFC 9110, section 7.6.1). Expect is answered by the HTTP server.
var hopByHopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// stripHeaders removes the headers that must not be forwarded: hop-by-hop headers and those of the system.
func stripHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopByHopHeaders {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, systemHeaderPrefix) && name != defaultKeyHeader {
			delete(h, name)
		}
	}
}

// headerSize returns the size of the URI, the host and the headers of a request in bytes.
func headerSize(req *http.Request) int {
	n := len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// splitService splits off the first segment of the path of u, which names the service. uri is the rest of the path,
// still escaped, with the query, as it is sent to the target and to other hosts. The path is split in its escaped form:
// an escaped slash is part of a segment, and the dispatching host has to find the same key as this one.
func splitService(u *url.URL) (service, uri string, err error) {
	segment, rest := cutSegment(u.EscapedPath())
	service, err = url.PathUnescape(segment)
	if err != nil {
		return "", "", errors.Wrap(err, "first segment of the path")
	}
	if u.RawQuery != "" || u.ForceQuery {
		rest += "?" + u.RawQuery
	}
	return service, rest, nil
}

func cutSegment(path string) (segment, rest string) {
	path = strings.TrimPrefix(path, "/")
	i := strings.IndexByte(path, '/')
	if i < 0 {
		return path, "/"
	}
	return path[:i], path[i:]
}
