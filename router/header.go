package router

import (
	"net/http"
	"net/textproto"
	"net/url"
	"strings"

	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/configurer"
)

// systemPrefix starts the names of the headers that belong to the system.
const systemPrefix = "Bramleyline-"

// keyHeader is the header from which a key is taken if the service names none, so it passes on to the target.
var keyHeader = strings.TrimPrefix(configurer.DefaultService("").KeySource, "header:")

// hopHeaders concern one connection only (RFC 9110, section 7.6.1). Expect is answered by the HTTP server.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect",
}

// strip removes the headers that must not pass through the host: those of one connection and those of the system.
func strip(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			if name = textproto.TrimString(name); name != "" {
				h.Del(name)
			}
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
	for name := range h {
		if strings.HasPrefix(name, systemPrefix) && name != keyHeader {
			delete(h, name)
		}
	}
}

// size returns the number of bytes that the headers of a request take.
func size(req *http.Request) int {
	n := len(req.RequestURI) + len(req.Host)
	for name, values := range req.Header {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// splitService takes the first segment, which names the service, from the path of u. It returns the rest of the path
// escaped, with the query, as it goes to the target and to other hosts. It cuts the escaped path: an escaped slash is
// part of a segment, and the dispatching host has to find the same key as this one.
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
