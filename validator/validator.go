// Package validator checks the fields of HTTP/1.1 messages more strictly than the parsers of net/http, which accept blanks in
// field names.
package validator

import (
	"net/http"

	"github.com/pkg/errors"
	"golang.org/x/net/http/httpguts"
)

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
