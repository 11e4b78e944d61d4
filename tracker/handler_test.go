package tracker

import (
	"context"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/keyer"
)

// Guards against accepting heartbeats with a wrong token, with unknown fields, invalid values or a body over the bound,
// and against answers in another form than targets expect.
func TestHandler(t *testing.T) {
	c := qt.New(t)
	reply := HeartbeatReply{
		Lease: 700*time.Millisecond + 900*time.Microsecond, Fence: 7 << 32, Version: 9,
		Owned: []Range{{From: 1, To: 3, Epoch: 5}}, Releasing: []keyer.Slot{8},
	}
	var got HeartbeatMsg
	h := Handler("secret", "a", func(_ context.Context, m HeartbeatMsg) (HeartbeatReply, error) {
		got = m
		return reply, nil
	})
	post := func(token, body string) (int, string) {
		r := httptest.NewRequest(http.MethodPost, "/v1/heartbeat", strings.NewReader(body))
		r.Header.Set("Authorization", "Bearer "+token)
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		return w.Code, strings.TrimSpace(w.Body.String())
	}
	valid := `{"name":"t1","service":"tally","dataCentre":"a","incarnation":3,"address":"127.0.0.1:80","state":"warm","released":[4]}`
	status, body := post("secret", valid)
	c.Assert(status, qt.Equals, http.StatusOK)
	c.Assert(body, qt.Equals, `{"leaseMs":700,"fence":30064771072,"version":9,"owned":[{"from":1,"to":3,"epoch":5}],"releasing":[8]}`)
	c.Assert(got.Released, qt.DeepEquals, []keyer.Slot{4})
	for body, want := range map[string]int{
		strings.Replace(valid, `"name"`, `"nane"`, 1):                                     http.StatusBadRequest,
		strings.Replace(valid, `"warm"`, `"hot"`, 1):                                      http.StatusBadRequest,
		strings.Replace(valid, `"dataCentre":"a"`, `"dataCentre":"b"`, 1):                 http.StatusBadRequest,
		strings.Replace(valid, `"dataCentre":"a",`, "", 1):                                http.StatusBadRequest,
		strings.Replace(valid, `"dataCentre":"a",`, ",", 1):                               http.StatusBadRequest,
		strings.Replace(valid, `127.0.0.1:80`, `localhost`, 1):                            http.StatusBadRequest,
		strings.Replace(valid, `"t1"`, `"`+strings.Repeat("x", maxHeartbeatBytes)+`"`, 1): http.StatusBadRequest,
	} {
		status, _ = post("secret", body)
		c.Check(status, qt.Equals, want, qt.Commentf("%.200s", body))
	}
	status, _ = post("wrong", valid)
	c.Assert(status, qt.Equals, http.StatusUnauthorized)
	reply = HeartbeatReply{RedirectHost: "h2", Announce: netip.MustParseAddrPort("127.0.0.1:7")}
	status, body = post("secret", valid)
	c.Assert(status, qt.Equals, http.StatusMisdirectedRequest)
	c.Assert(body, qt.Equals, `{"host":"h2","address":"127.0.0.1:7"}`)
	reply = HeartbeatReply{NoAuthority: true}
	status, _ = post("secret", valid)
	c.Assert(status, qt.Equals, http.StatusServiceUnavailable)
}
