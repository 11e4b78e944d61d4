package forwarder

import (
	"net/http"
	"time"

	"bramleyline.example/bramleyline/matcher"
	"bramleyline.example/bramleyline/shaper"
)

// Allowance returns the time that a request has, by its route and its header. It is zero for requests that get an answer
// without being sent: those without a table or a route, or with an invalid header.
func (f *Forwarder) Allowance(host, path string, h http.Header) shaper.Allowance {
	v, _ := f.opts.View()
	if v == nil || v.Table == nil {
		return shaper.Allowance{}
	}
	route, ok := v.Table.Match(host, path)
	if !ok {
		return shaper.Allowance{}
	}
	call, err := f.opts.Codec.Call(h)
	if err != nil {
		return shaper.Allowance{}
	}
	return shaper.Allowance{
		Objective: route.Objective,
		Deadline:  timeout(route, call),
		Work:      f.serviceTime(route.Name).expected(),
	}
}

// timeout returns the time from its arrival in which a request must be answered.
func timeout(r *matcher.Route, c Call) time.Duration {
	t := r.Timeout
	if c.CallerTimeout > 0 && (t == 0 || c.CallerTimeout < t) {
		t = c.CallerTimeout
	}
	if t == 0 {
		t = matcher.MaxTimeout
	}
	return t
}
