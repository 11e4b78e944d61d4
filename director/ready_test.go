package director

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/shaper"
	"bramleyline.example/bramleyline/viewer"
)

// agedSource is a source whose last contact with the leader is some time ago.
type agedSource struct {
	source
	age time.Duration
}

func (s agedSource) Contact() (leader string, age time.Duration) {
	return "c", s.age
}

// Guards against new callers at a host whose overloaded link holds up its configuration, and against hosts without link
// scheduling that become unready when they are out of touch.
func TestHostWithAnOverloadedLinkIsNotReady(t *testing.T) {
	for name, tc := range map[string]struct {
		age    time.Duration
		shaped bool
		status int
	}{
		"fresh":              {age: maxHeldUp / 2, shaped: true, status: http.StatusOK},
		"held up":            {age: 2 * maxHeldUp, shaped: true, status: http.StatusServiceUnavailable},
		"held up, no shaper": {age: 2 * maxHeldUp, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			link := shaper.New(2, nil)
			link.SetActive(tc.shaped)
			e := entry{
				d: &Director{
					link: link,
					source: agedSource{
						age: tc.age,
					},
				},
				view: &viewer.View{
					Table: &matcher.Table{},
				},
			}
			w := httptest.NewRecorder()
			e.serveReady(w, nil)
			c.Assert(w.Code, qt.Equals, tc.status)
		})
	}
}
