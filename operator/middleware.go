package operator

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"encoding/json"
	"io"
	"net/http"
	"strings"

	"bramleyline.example/bramleyline/presenter"
)

// authenticate requires the operators' key as a bearer token. Browsers, which cannot send a bearer token, send it as
// the password of basic authentication.
func (o *Operator) authenticate(next http.Handler) http.Handler {
	want := sha256.Sum256([]byte(o.Key))
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		key, ok := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
		if !ok {
			_, key, _ = r.BasicAuth()
		}
		// Equal lengths make the comparison take the same time for every wrong key.
		got := sha256.Sum256([]byte(key))
		if o.Key == "" || subtle.ConstantTimeCompare(got[:], want[:]) != 1 {
			counters.Add("refusedKeys", 1)
			w.Header().Set("WWW-Authenticate", `Basic realm="bramleyline", charset="UTF-8"`)
			writeAnswer(w, http.StatusUnauthorized, presenter.Answer{
				Outcome: presenter.Refused,
				Message: "the operators' key is missing or wrong",
			})
			return
		}
		counters.Add("requests", 1)
		next.ServeHTTP(w, r)
	})
}

// secureHeaders sets headers that keep the status page out of frames and caches. It also refuses changes whose content
// type is not JSON, against cross-site request forgery: a browser that has stored the password adds it to a form that
// another site submits, but such a form cannot have the content type JSON.
func secureHeaders(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		h := w.Header()
		h.Set("X-Frame-Options", "DENY")
		h.Set("X-Content-Type-Options", "nosniff")
		h.Set("Cache-Control", "no-store")
		h.Set("Content-Security-Policy", "default-src 'none'; style-src 'unsafe-inline'")
		if r.Method == http.MethodPost && r.Header.Get("Content-Type") != jsonType {
			writeAnswer(w, http.StatusUnsupportedMediaType, presenter.Answer{
				Outcome: presenter.Refused,
				Message: "a change must have the content type " + jsonType,
			})
			return
		}
		next.ServeHTTP(w, r)
	})
}

func limitBody(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		next.ServeHTTP(w, r)
	})
}

func limitTime(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), requestTimeout)
		defer cancel()
		next.ServeHTTP(w, r.WithContext(ctx))
	})
}

const jsonType = "application/json"

func writeJSON(w http.ResponseWriter, code int, v any) {
	w.Header().Set("Content-Type", jsonType)
	w.WriteHeader(code)
	// An error means that the connection to the operator is broken.
	_ = json.NewEncoder(w).Encode(v)
}

func writeAnswer(w http.ResponseWriter, code int, a presenter.Answer) {
	writeJSON(w, code, a)
}

func writeText(w http.ResponseWriter, code int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(code)
	_, _ = io.WriteString(w, text)
}

// readJSON decodes the body of a request into v and reports whether it could; if not, it has sent the answer. Unknown
// fields are refused: a misspelt "force" must not count as a change without force.
func readJSON(w http.ResponseWriter, r *http.Request, v any) bool {
	d := json.NewDecoder(r.Body)
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		writeAnswer(w, http.StatusBadRequest, presenter.Answer{
			Outcome: presenter.Refused,
			Message: "request cannot be read: " + err.Error(),
		})
		return false
	}
	return true
}
