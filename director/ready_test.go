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

// Guards against new callers at a host whose overloaded link holds up its configuration, and against hosts without link
// scheduling that become unready when no control host answers.
func TestHostWithAnOverloadedLinkIsNotReady(t *testing.T) {
	for name, tc := range map[string]struct {
		silence time.Duration
		shaped  bool
		status  int
	}{
		"fresh":              {silence: maxSilence / 2, shaped: true, status: http.StatusOK},
		"held up":            {silence: 2 * maxSilence, shaped: true, status: http.StatusServiceUnavailable},
		"held up, no shaper": {silence: 2 * maxSilence, status: http.StatusOK},
	} {
		t.Run(name, func(t *testing.T) {
			c := qt.New(t)
			link := shaper.New(2, nil)
			link.SetActive(tc.shaped)
			e := entry{
				d: &Director{
					link: link,
				},
				silence: func() time.Duration { return tc.silence },
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
