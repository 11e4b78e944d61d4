package checker

import (
	"fmt"
	"slices"
	"strings"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/merger"
)

// Diff returns the changes from old to r: one line for each data centre and service that is added or removed, and one
// for each setting that changes, with the data centres in which it changes. Both reports must have no findings.
func (r *Report) Diff(old *Report) []string {
	d := differ{
		from: old,
		to:   r,
	}
	d.diffNames(dataCentreKind, old.DataCentres(), r.DataCentres())
	d.diffNames(serviceKind, serviceNames(old), serviceNames(r))
	for _, dc := range r.DataCentres() {
		if before, ok := old.Configs[dc]; ok {
			d.diffDataCentre(dc, before, r.Configs[dc])
		}
	}
	return d.formatLines()
}

// change is a changed setting, as a line of the diff, and the data centres in which it changes.
type change struct {
	text        string
	dataCentres []string
}

type differ struct {
	from, to *Report
	lines    []string
	changes  []change
}

// diffNames adds a line for each data centre or service that was added or removed.
func (d *differ) diffNames(kind string, from, to []string) {
	for _, name := range to {
		if !slices.Contains(from, name) {
			d.lines = append(d.lines, fmt.Sprintf("+ [%s %s]", kind, name))
		}
	}
	for _, name := range from {
		if !slices.Contains(to, name) {
			d.lines = append(d.lines, fmt.Sprintf("- [%s %s]", kind, name))
		}
	}
}

func (d *differ) diffDataCentre(dc string, from, to *configurer.Config) {
	m := d.to.Merged[dc]
	diffSection(d, dc, &m, deploymentSection, deploymentRules(), from, to)
	diffSection(d, dc, &m, timingSection, timingRules(), &from.Timing, &to.Timing)
	for i := range to.Services {
		if before, ok := from.Service(to.Services[i].Name); ok {
			diffSection(d, dc, &m, serviceKind+" "+before.Name, serviceRules(), before, &to.Services[i])
		}
	}
}

func diffSection[T any](d *differ, dc string, m *merger.Merged, section string, rules []rule[T], from, to *T) {
	for _, r := range rules {
		before, after := r.show(from), r.show(to)
		if before == after {
			continue
		}
		origin := "default"
		if v, ok := m.Value(section, r.name); ok {
			origin = fmt.Sprintf("%s:%d", v.File, v.Line)
		}
		d.addChange(fmt.Sprintf("~ [%s] %s: %s -> %s (%s)", section, r.name, before, after, origin), dc)
	}
}

func (d *differ) addChange(text, dc string) {
	i := slices.IndexFunc(d.changes, func(c change) bool { return c.text == text })
	if i < 0 {
		i = len(d.changes)
		d.changes = append(d.changes, change{
			text: text,
		})
	}
	d.changes[i].dataCentres = append(d.changes[i].dataCentres, dc)
}

func (d *differ) formatLines() []string {
	for _, c := range d.changes {
		where := "in " + strings.Join(c.dataCentres, ", ")
		if len(c.dataCentres) == len(d.to.DataCentres()) {
			where = "in all data centres"
		}
		d.lines = append(d.lines, c.text+" "+where)
	}
	return d.lines
}

func serviceNames(r *Report) []string {
	var names []string
	if cfg := r.FirstConfig(); cfg != nil {
		for _, s := range cfg.Services {
			names = append(names, s.Name)
		}
	}
	return names
}
