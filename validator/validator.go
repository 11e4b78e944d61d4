// Package validator checks HTTP/1.1 messages more strictly than the parsers of net/http, which accept any version, status and
// reason, and blanks in field names.
package validator

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

// Header returns an error that quotes what is not valid in the status line or in a field name of an answer, nil if both are valid.
func Header(resp *http.Response) error {
	if err := statusLine(resp); err != nil {
		return err
	}
	return FieldNames(resp.Header)
}

// FieldNames returns an error that quotes a field name of h which is not a token (RFC 9110, section 5.1), nil if there is none.
// Another reader of the message may take such a field for one that frames it, such as "Content-Length ".
func FieldNames(h http.Header) error {
	for name := range h {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Errorf("field name %q is not a token", name)
		}
	}
	return nil
}

// statusLine returns an error for a version other than HTTP/1, a status without one of the classes 1xx to 5xx, and a reason with
// control bytes.
func statusLine(resp *http.Response) error {
	switch {
	case resp.ProtoMajor != 1:
		return errors.Errorf("version %q is not HTTP/1", resp.Proto)
	case resp.StatusCode < 100 || resp.StatusCode > 599:
		return errors.Errorf("status %03d is not valid", resp.StatusCode)
	case !httpguts.ValidHeaderFieldValue(resp.Status):
		return errors.Errorf("reason in %q has control bytes", resp.Status)
	}
	return nil
}
