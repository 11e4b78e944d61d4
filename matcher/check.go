package matcher

import "fmt"

// Check validates a table. It returns one finding for each error, with the route that has it, or nil if the table can
// be put in force.
func (t *Table) Check() []string {
	var findings []string
	report := func(format string, args ...any) {
		findings = append(findings, fmt.Sprintf(format, args...))
	}
	patterns := make(map[string]string)
	for i := range t.Routes {
		r := &t.Routes[i]
		pattern := hostName(r.Host) + r.Prefix
		if first, ok := patterns[pattern]; ok {
			report("route %s: has the same host and prefix as route %s", r.Name, first)
		}
		patterns[pattern] = r.Name
		if r.Timeout <= 0 {
			report("route %s: has no timeout", r.Name)
		}
		if r.Timeout > MaxTimeout {
			report("route %s: timeout %s is over %s", r.Name, r.Timeout, MaxTimeout)
		}
		if len(r.Split) == 0 {
			report("route %s: names no service", r.Name)
		}
		total := 0.0
		for _, p := range r.Split {
			total += p.Weight
			if _, ok := t.Services[p.Service]; !ok {
				report("route %s: service %q is not known", r.Name, p.Service)
			}
			if p.Weight < 0 {
				report("route %s: weight %g of service %s is below 0", r.Name, p.Weight, p.Service)
			}
		}
		if len(r.Split) > 0 && total == 0 {
			report("route %s: no service has a weight", r.Name)
		}
	}
	return findings
}
