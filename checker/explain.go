package checker

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/merger"
)

// Setting describes one setting of the base file, for the pages and the explanation.
type Setting struct {
	// Section is deployment, timing or service.
	Section string
	Name    string
	// Unit says what values look like.
	Unit string
	// Default is the value without a line in the files; empty for settings that have none.
	Default string
	// Common settings must be the same in all data centres.
	Common bool
	// Kind is keyed or shared for a setting that has an effect only there.
	Kind string
}

// Settings lists all settings in the order of the pages.
func Settings() []Setting {
	timing := configurer.DefaultTiming()
	service := configurer.DefaultService("")
	list := describe(deploymentSection, deploymentRules(), &configurer.Config{})
	list = append(list, describe(timingSection, timingRules(), &timing)...)
	list = append(list, describe(serviceKind, serviceRules(), &service)...)
	for i := range list {
		// These have no default: the files must set them.
		if slices.Contains([]string{"kind", "key", "slots"}, list[i].Name) {
			list[i].Default = ""
		}
	}
	return list
}

func describe[T any](section string, rules []rule[T], defaults *T) []Setting {
	list := make([]Setting, 0, len(rules))
	for _, r := range rules {
		list = append(list, Setting{
			Section: section,
			Name:    r.name,
			Unit:    r.unit,
			Default: r.show(defaults),
			Common:  r.common,
			Kind:    string(r.scope),
		})
	}
	return list
}

// Explain writes each setting of one data centre with its value and the place that it comes from.
func (r *Report) Explain(w io.Writer, dataCentre string) error {
	cfg, ok := r.Configs[dataCentre]
	if !ok {
		return nil
	}
	m := r.Merged[dataCentre]
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "data centre %s\n", dataCentre)
	explainEach(tw, &m, deploymentSection, deploymentRules(), cfg, anyKind)
	explainEach(tw, &m, timingSection, timingRules(), &cfg.Timing, anyKind)
	for i := range cfg.Services {
		s := &cfg.Services[i]
		kind := sharedOnly
		if s.Keyed {
			kind = keyedOnly
		}
		explainEach(tw, &m, serviceKind+" "+s.Name, serviceRules(), s, kind)
	}
	return tw.Flush()
}

func explainEach[T any](w io.Writer, m *merger.Merged, section string, rules []rule[T], target *T, kind scope) {
	fmt.Fprintf(w, "  [%s]\n", section)
	for _, r := range rules {
		if r.scope != anyKind && r.scope != kind {
			continue
		}
		origin := "default"
		if v, ok := m.Value(section, r.name); ok {
			origin = fmt.Sprintf("%s:%d", v.File, v.Line)
		}
		fmt.Fprintf(w, "    %s\t= %s\t%s\n", r.name, r.show(target), origin)
	}
}

// DataCentres returns the names of the data centres in the order of the base file.
func (r *Report) DataCentres() []string {
	for _, cfg := range r.Configs {
		return cfg.DataCentres
	}
	return nil
}

// Any returns the configuration of the first data centre, for what is the same in all of them; nil if there are
// findings.
func (r *Report) Any() *configurer.Config {
	for _, name := range r.DataCentres() {
		return r.Configs[name]
	}
	return nil
}
