package acceptor

import (
	"net/http"
	"strconv"
)

// appendAnswer appends the answer to a request of method, encoded as HTTP/1.1. If it is the last one on its connection,
// it says so in the header.
func appendAnswer(b []byte, a *Answer, method string, last bool) []byte {
	bodiless := method == http.MethodHead || a.Status == http.StatusNoContent || a.Status == http.StatusNotModified
	if b == nil {
		b = make([]byte, 0, 512+len(a.Body))
	}
	b = append(b, "HTTP/1.1 "...)
	b = strconv.AppendInt(b, int64(a.Status), 10)
	b = append(b, ' ')
	b = append(b, http.StatusText(a.Status)...)
	b = append(b, '\r', '\n')
	for name, values := range a.Header {
		if name == "Content-Length" && !bodiless {
			continue
		}
		for _, v := range values {
			b = append(b, name...)
			b = append(b, ':', ' ')
			b = append(b, v...)
			b = append(b, '\r', '\n')
		}
	}
	if !bodiless {
		b = append(b, "Content-Length: "...)
		b = strconv.AppendInt(b, int64(len(a.Body)), 10)
		b = append(b, '\r', '\n')
	}
	if last {
		b = append(b, "Connection: close\r\n"...)
	}
	b = append(b, '\r', '\n')
	if bodiless {
		return b
	}
	return append(b, a.Body...)
}
