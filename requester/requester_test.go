package requester

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
)

// Guards against a command that fails because one host answers that the outcome of a change is unknown, although the
// next one can apply it.
func TestPostAsksTheNextHost(t *testing.T) {
	c := qt.New(t)
	requests := 0
	undecided := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		requests++
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"outcome": "unknown", "message": "no leader"}`))
	}))
	defer undecided.Close()
	applied := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer key")
		_, _ = w.Write([]byte(`{"outcome": "applied", "message": "yes"}`))
	}))
	defer applied.Close()
	r := Requester{
		Hosts: []string{undecided.Listener.Addr().String(), applied.Listener.Addr().String()},
		Key:   "key",
	}
	a, err := r.Post(t.Context(), "/", struct{}{})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	c.Assert(requests, qt.Equals, 1)
	// Without the second host the error has to report that the change may have been accepted.
	r.Hosts = r.Hosts[:1]
	_, err = r.Post(t.Context(), "/", struct{}{})
	c.Assert(errors.Is(err, ErrOutcomeUnknown), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*send the same command again.*no leader")
}

// Guards against following a redirect, which would send the key to an address that the operator did not name.
func TestRedirectIsNotFollowed(t *testing.T) {
	c := qt.New(t)
	other := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		c.Error("redirect was followed")
	}))
	defer other.Close()
	host := httptest.NewServer(http.RedirectHandler(other.URL, http.StatusTemporaryRedirect))
	defer host.Close()
	r := Requester{
		Hosts: []string{host.Listener.Addr().String()},
		Key:   "key",
	}
	_, err := r.Post(t.Context(), "/", struct{}{})
	c.Assert(err, qt.ErrorMatches, "host answered with HTTP status 307")
}

// Guards against an error that conceals that a host may have accepted the change. Operators decide by the cause whether
// to send the change again, so the worst cause of all hosts counts.
func TestFailureHasWorstCause(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		causes []error
		want   error
	}{
		{causes: []error{ErrNoHost, ErrNoHost}, want: ErrNoHost},
		{causes: []error{ErrNoHost, ErrNoLeader, ErrNoHost}, want: ErrNoLeader},
		{causes: []error{ErrOutcomeUnknown, ErrNoLeader, ErrNoHost}, want: ErrOutcomeUnknown},
		{causes: []error{ErrNoLeader, ErrOutcomeUnknown}, want: ErrOutcomeUnknown},
	} {
		failure := hostsError{cause: ErrNoHost}
		for _, cause := range test.causes {
			failure.add("host", "what", cause)
		}
		c.Check(errors.Is(&failure, test.want), qt.IsTrue, qt.Commentf("%v", test.causes))
	}
	_, cause := parseFailure(503, []byte(`{"outcome": "noLeader", "message": "none"}`))
	c.Check(cause, qt.Equals, ErrNoLeader)
	_, cause = parseFailure(503, []byte("not JSON"))
	c.Check(cause, qt.Equals, ErrOutcomeUnknown)
}
