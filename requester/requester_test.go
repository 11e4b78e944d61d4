package requester

import (
	"net/http"
	"net/http/httptest"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/pkg/errors"

	"bramleyline.example/bramleyline/presenter"
)

// A host that cannot settle a change must not end the command while another one can.
func TestPostAsksTheNextHost(t *testing.T) {
	c := qt.New(t)
	asked := 0
	unsettled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		asked++
		w.WriteHeader(http.StatusServiceUnavailable)
		_, _ = w.Write([]byte(`{"outcome": "unknown", "message": "no leader"}`))
	}))
	defer unsettled.Close()
	settled := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c.Check(r.Header.Get("Authorization"), qt.Equals, "Bearer key")
		_, _ = w.Write([]byte(`{"outcome": "applied", "message": "yes"}`))
	}))
	defer settled.Close()
	r := Requester{
		Hosts: []string{unsettled.Listener.Addr().String(), settled.Listener.Addr().String()},
		Key:   "key",
	}
	a, err := r.Post(t.Context(), "/", struct{}{})
	c.Assert(err, qt.IsNil)
	c.Assert(a.Outcome, qt.Equals, presenter.Applied)
	c.Assert(asked, qt.Equals, 1)
	// Without the second host the operator must be told that the change may have been accepted.
	r.Hosts = r.Hosts[:1]
	_, err = r.Post(t.Context(), "/", struct{}{})
	c.Assert(errors.Is(err, ErrUnsettled), qt.IsTrue)
	c.Assert(err, qt.ErrorMatches, ".*send the same command again.*no leader")
}

// The key must not follow a redirect to an address that the operator did not name.
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

// What is left open decides whether the operator sends the change again, so the worst case of all hosts counts.
func TestFailureNamesWhatIsLeftOpen(t *testing.T) {
	c := qt.New(t)
	for _, test := range []struct {
		causes []error
		want   error
	}{
		{causes: []error{ErrNoHost, ErrNoHost}, want: ErrNoHost},
		{causes: []error{ErrNoHost, ErrNoLeader, ErrNoHost}, want: ErrNoLeader},
		{causes: []error{ErrUnsettled, ErrNoLeader, ErrNoHost}, want: ErrUnsettled},
		{causes: []error{ErrNoLeader, ErrUnsettled}, want: ErrUnsettled},
	} {
		failure := failedError{cause: ErrNoHost}
		for _, cause := range test.causes {
			failure.add("host", "what", cause)
		}
		c.Check(errors.Is(&failure, test.want), qt.IsTrue, qt.Commentf("%v", test.causes))
	}
	_, cause := read(503, []byte(`{"outcome": "noLeader", "message": "none"}`))
	c.Check(cause, qt.Equals, ErrNoLeader)
	_, cause = read(503, []byte("not JSON"))
	c.Check(cause, qt.Equals, ErrUnsettled)
}
