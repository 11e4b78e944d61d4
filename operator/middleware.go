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

// authenticate wants the operators' key as bearer token, or as password for browsers, which cannot send a bearer token.
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

// secureHeaders keep the status page out of frames and caches. A form on another site cannot send JSON with a key, but
// a browser that knows the password would send it, so changes must say that they are JSON.
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
		r.Body = http.MaxBytesReader(w, r.Body, maxBody)
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
	// An error means that the operator's connection is gone.
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

// readJSON reads a request and refuses unknown fields: a misspelt force must not be taken for its absence.
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
