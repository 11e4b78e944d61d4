// Package matcher holds the traffic table, an HTTP routing table: it matches a request to the route of its host with
// the longest path prefix, and holds the limits of routes and services.
package matcher

import (
	"net"
	"slices"
	"strings"
	"time"
)

// MaxTimeout is the longest timeout that a route may have.
const MaxTimeout = 10 * time.Minute

// Table is an immutable traffic table. Make it with New.
type Table struct {
	Version  uint64
	Routes   []Route
	Services map[string]Service
	Limits   Limits

	// byHost holds the routes of each HTTP host, the longest prefix first.
	byHost map[string][]*Route
	// topPriority holds the highest priority, that is the least number, of the routes to each service.
	topPriority map[string]int
}

// Route says how the requests of one HTTP host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix is the path prefix. It begins and ends with a slash.
	Prefix string
	// Repeatable says that it is safe to run a request more than once.
	Repeatable bool
	// Upload says that requests carry large bodies. They are not repeatable.
	Upload bool
	// Timeout bounds the time until the caller gets an answer.
	Timeout time.Duration
	// Objective is the latency objective: an answer that takes longer is late.
	Objective time.Duration
	// Priority is the rank among routes; zero is the most urgent.
	Priority int
	// MaxAttempts bounds the attempts of one request in which a target may have run it; zero means one.
	MaxAttempts int
	// Split lists the services that share the requests of the route. There is at least one.
	Split []Part
}

// Part is the share of the requests of a route that a service gets. Weight is relative to the other parts.
type Part struct {
	Service string
	Weight  float64
}

// Service is a group of targets that serve the same requests.
type Service struct {
	Name string
	// HealthPath is the path for health checks.
	HealthPath string
	// Connections bounds the connections to one target from all hosts together.
	Connections int
	// Keyed says that each key has one owner among the targets.
	Keyed bool
	// ColdTime is how long a target stays cold after it started, and ColdRate the requests per second that it can serve
	// meanwhile.
	ColdTime time.Duration
	ColdRate float64
	// HandoverTime is how long requests for a key take longer after the key moved to an owner without hand-over data.
	HandoverTime time.Duration
}

// Limits bound what a caller may send. Zero means the default of the acceptor.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a table. It keeps routes and services, which the caller must not modify afterwards.
func New(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	t := Table{
		Version:  version,
		Routes:   routes,
		Services: services,
		Limits:   limits,
		byHost:   make(map[string][]*Route),

		topPriority: make(map[string]int),
	}
	for i := range routes {
		host := hostName(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
		for _, p := range routes[i].Split {
			if top, ok := t.topPriority[p.Service]; !ok || routes[i].Priority < top {
				t.topPriority[p.Service] = routes[i].Priority
			}
		}
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &t
}

// MostUrgent reports whether no route to a service has a higher priority than r.
func (t *Table) MostUrgent(r *Route, service string) bool {
	return r.Priority <= t.topPriority[service]
}

// HasUploads reports whether the requests of a route carry large bodies.
func (t *Table) HasUploads() bool {
	return slices.ContainsFunc(t.Routes, func(r Route) bool { return r.Upload })
}

// TightestObjective returns the least latency objective of the routes to a service, zero if none has one.
func (t *Table) TightestObjective(service string) time.Duration {
	var least time.Duration
	for i := range t.Routes {
		r := &t.Routes[i]
		isPart := slices.ContainsFunc(r.Split, func(p Part) bool { return p.Service == service })
		if isPart && r.Objective > 0 && (least == 0 || r.Objective < least) {
			least = r.Objective
		}
	}
	return least
}

// TightestTimeout returns the least timeout of the routes with a priority that send requests to a service, MaxTimeout if there is
// none.
func (t *Table) TightestTimeout(service string, priority int) time.Duration {
	least := MaxTimeout
	sends := func(p Part) bool { return p.Service == service && p.Weight > 0 }
	for i := range t.Routes {
		r := &t.Routes[i]
		if r.Timeout > 0 && r.Priority == priority && slices.ContainsFunc(r.Split, sends) {
			least = min(least, r.Timeout)
		}
	}
	return least
}

// Match returns the route of host with the longest prefix that path has.
func (t *Table) Match(host, path string) (*Route, bool) {
	for _, r := range t.byHost[hostName(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// hostName returns host without its port, in lower case.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
