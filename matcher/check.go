package matcher

import "fmt"

// Check returns what is wrong with a table, each with its place, nil if it can be put in force.
func (t *Table) Check() []string {
	var findings []string
	find := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf(format, args...))
	}
	places := make(map[string]string)
	for i := range t.Routes {
		r := &t.Routes[i]
		place := hostName(r.Host) + r.Prefix
		if first, ok := places[place]; ok {
			find("route %s: has the same host and prefix as route %s", r.Name, first)
		}
		places[place] = r.Name
		if r.Timeout <= 0 {
			find("route %s: has no timeout", r.Name)
		}
		if r.Timeout > MaxTimeout {
			find("route %s: timeout %s is over %s", r.Name, r.Timeout, MaxTimeout)
		}
		if len(r.Split) == 0 {
			find("route %s: names no service", r.Name)
		}
		total := 0.0
		for _, p := range r.Split {
			total += p.Weight
			if _, ok := t.Services[p.Service]; !ok {
				find("route %s: service %q is not known", r.Name, p.Service)
			}
			if p.Weight < 0 {
				find("route %s: weight %g of service %s is below 0", r.Name, p.Weight, p.Service)
			}
		}
		if len(r.Split) > 0 && total == 0 {
			find("route %s: no service has a weight", r.Name)
		}
	}
	return findings
}
