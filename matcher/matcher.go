// Package matcher holds the traffic table: which route a request takes, and what the route and its services allow.
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

	// byHost has the routes of each host, the longest prefix first.
	byHost map[string][]*Route
}

// Route says how the requests of one host and path prefix are handled.
type Route struct {
	Name string
	Host string
	// Prefix begins the path; it begins and ends with a slash.
	Prefix string
	// Repeatable says that a request may run more than once.
	Repeatable bool
	// Timeout is the longest time that a caller is kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is on time.
	Objective time.Duration
	// Priority is the rank among routes, zero the most urgent.
	Priority int
	// MaxAttempts is the number of targets to which one request may be sent, zero for one.
	MaxAttempts int
	// Split has the services of the route. There is at least one.
	Split []Part
}

// Part is the share of a route that a service gets.
type Part struct {
	Service string
	Weight  float64
}

// Service is a group of targets that do the same work.
type Service struct {
	Name string
	// HealthPath answers health checks.
	HealthPath string
	// Connections bounds the connections to one target from all hosts together.
	Connections int
	// Keyed says that each key has one owner among the targets.
	Keyed bool
	// ColdTime is how long a target stays cold after it started, and ColdRate the requests a second that it bears.
	ColdTime time.Duration
	ColdRate float64
	// HandoverTime is how long keys that arrive without a handover are slow.
	HandoverTime time.Duration
}

// Limits bound what a caller may send. Zero means the default of the acceptor.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// New returns a table. It takes over routes and services.
func New(version uint64, routes []Route, services map[string]Service, limits Limits) *Table {
	t := Table{
		Version:  version,
		Routes:   routes,
		Services: services,
		Limits:   limits,
		byHost:   make(map[string][]*Route),
	}
	for i := range routes {
		host := hostName(routes[i].Host)
		t.byHost[host] = append(t.byHost[host], &routes[i])
	}
	for _, list := range t.byHost {
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	return &t
}

// Match returns the route with the longest prefix of path among those of host.
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
