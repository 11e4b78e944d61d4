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

// page shows the status to people. It refreshes by itself and needs no script.
func (o *Operator) page(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := pageTemplate.Execute(w, o.recent(r.Context())); err != nil {
		// The head has been sent; what is left is to count the cut page.
		counters.Add("pageErrors", 1)
	}
}
