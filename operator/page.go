package operator

import (
	"embed"
	"html/template"
	"net/http"
	"time"
)

//go:embed status.html
var pageFiles embed.FS

var pageTemplate = template.Must(template.New("status.html").Funcs(template.FuncMap{
	"ms":   func(ms int64) string { return (time.Duration(ms) * time.Millisecond).String() },
	"time": formatTime,
}).ParseFS(pageFiles, "status.html"))

// statusPage serves the status as an HTML page, which reloads itself without a script.
func (o *Operator) statusPage(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := pageTemplate.Execute(w, o.recentStatus(r.Context())); err != nil {
		// The header has been sent, so the incomplete page can only be counted.
		counters.Add("pageErrors", 1)
	}
}
