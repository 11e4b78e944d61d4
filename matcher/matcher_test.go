package matcher

import (
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

func table(routes ...Route) *Table {
	return New(1, routes, map[string]Service{"tally": {
		Name: "tally",
	}}, Limits{})
}

func route(name, host, prefix string) Route {
	return Route{
		Name:    name,
		Host:    host,
		Prefix:  prefix,
		Timeout: time.Second,
		Split: []Part{{
			Service: "tally",
			Weight:  1,
		}},
	}
}

// Guards against a request that gets a route although another one has a longer prefix of its path.
func TestMatchTakesLongestPrefix(t *testing.T) {
	c := qt.New(t)
	tb := table(route("all", "a.example", "/"), route("deep", "a.example", "/x/y/"), route("mid", "a.example", "/x/"))
	for path, want := range map[string]string{
		"/":      "all",
		"/x":     "all",
		"/x/":    "mid",
		"/x/yz":  "mid",
		"/x/y/z": "deep",
	} {
		r, ok := tb.Match("A.example:8080", path)
		c.Assert(ok, qt.IsTrue)
		c.Check(r.Name, qt.Equals, want, qt.Commentf("%s", path))
	}
	_, ok := tb.Match("b.example", "/")
	c.Assert(ok, qt.IsFalse)
}

// Guards against the objective of a route to another service, or of one that is not the tightest.
func TestTightestObjective(t *testing.T) {
	c := qt.New(t)
	slow, fast := route("slow", "a", "/s/"), route("fast", "a", "/f/")
	none, other := route("none", "a", "/n/"), route("other", "a", "/o/")
	slow.Objective, fast.Objective, none.Objective, other.Objective = time.Second, 200*time.Millisecond, 0, time.Millisecond
	service := slow.Split[0].Service
	other.Split[0].Service = "another"
	c.Check(table(slow, fast, none, other).TightestObjective(service), qt.Equals, 200*time.Millisecond)
	c.Check(table(slow).TightestObjective("unknown"), qt.Equals, time.Duration(0))
}

// Guards against the timeout of a route with another priority, or of one that sends nothing to the service.
func TestTightestTimeout(t *testing.T) {
	c := qt.New(t)
	slow, fast := route("slow", "a", "/s/"), route("fast", "a", "/f/")
	urgent, idle := route("urgent", "a", "/u/"), route("idle", "a", "/i/")
	slow.Timeout, urgent.Timeout, idle.Timeout = 2*time.Second, time.Millisecond, time.Millisecond
	slow.Priority, fast.Priority, idle.Priority = 1, 1, 1
	idle.Split[0].Weight = 0
	tb := table(slow, fast, urgent, idle)
	c.Check(tb.TightestTimeout(slow.Split[0].Service, 1), qt.Equals, time.Second)
	c.Check(tb.TightestTimeout(slow.Split[0].Service, 2), qt.Equals, MaxTimeout)
}

// Guards against an invalid table being put in force: all errors are reported together, each with its route.
func TestCheckFindsEveryFault(t *testing.T) {
	c := qt.New(t)
	long := route("long", "a.example", "/l/")
	long.Timeout = time.Hour
	lost := route("lost", "a.example", "/n/")
	lost.Split[0] = Part{
		Service: "nowhere",
		Weight:  -1,
	}
	none := route("none", "a.example", "/o/")
	none.Split = nil
	still := route("still", "a.example", "/p/")
	still.Timeout, still.Split[0].Weight = 0, 0
	tb := table(route("one", "a.example", "/x/"), route("two", "A.example", "/x/"), long, lost, none, still)
	c.Assert(tb.Check(), qt.DeepEquals, []string{
		"route two: has the same host and prefix as route one",
		"route long: timeout 1h0m0s is over 10m0s",
		`route lost: service "nowhere" is not known`,
		"route lost: weight -1 of service nowhere is below 0",
		"route none: names no service",
		"route still: has no timeout",
		"route still: no service has a weight",
	})
	c.Assert(table(route("one", "a.example", "/x/")).Check(), qt.IsNil)
}
