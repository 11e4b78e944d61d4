package checker

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/merger"
)

// Setting describes one setting of the base file, as docs/OPERATING.md documents it.
type Setting struct {
	// Section is deployment, timing or service.
	Section string
	Name    string
	// ValidValues describes the values that the setting accepts, such as "true or false".
	ValidValues string
	// Default is the value if no file sets one; it is empty for a setting without a default.
	Default string
	// Common says that the value must be the same in all data centres.
	Common bool
	// Kind is keyed or shared for a setting that has an effect only on services of that kind, otherwise empty.
	Kind string
}

// Settings returns all settings in the order of docs/OPERATING.md.
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
			Section:     section,
			Name:        r.name,
			ValidValues: r.validValues,
			Default:     r.show(defaults),
			Common:      r.common,
			Kind:        string(r.scope),
		})
	}
	return list
}

// Explain writes each setting of one data centre with its value and its origin: file and line, or "default".
func (r *Report) Explain(w io.Writer, dataCentre string) error {
	cfg, ok := r.Configs[dataCentre]
	if !ok {
		return nil
	}
	m := r.Merged[dataCentre]
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(tw, "data centre %s\n", dataCentre)
	explainSection(tw, &m, deploymentSection, deploymentRules(), cfg, anyKind)
	explainSection(tw, &m, timingSection, timingRules(), &cfg.Timing, anyKind)
	for i := range cfg.Services {
		s := &cfg.Services[i]
		kind := sharedOnly
		if s.Keyed {
			kind = keyedOnly
		}
		explainSection(tw, &m, serviceKind+" "+s.Name, serviceRules(), s, kind)
	}
	return tw.Flush()
}

func explainSection[T any](w io.Writer, m *merger.Merged, section string, rules []rule[T], settings *T, kind scope) {
	fmt.Fprintf(w, "  [%s]\n", section)
	for _, r := range rules {
		if r.scope != anyKind && r.scope != kind {
			continue
		}
		origin := "default"
		if v, ok := m.Value(section, r.name); ok {
			origin = fmt.Sprintf("%s:%d", v.File, v.Line)
		}
		fmt.Fprintf(w, "    %s\t= %s\t%s\n", r.name, r.show(settings), origin)
	}
}

// DataCentres returns the names of the data centres in the order of the base file.
func (r *Report) DataCentres() []string {
	for _, cfg := range r.Configs {
		return cfg.DataCentres
	}
	return nil
}

// FirstConfig returns the configuration of the first data centre, for callers that need only what is the same in all
// data centres. It returns nil if there are findings.
func (r *Report) FirstConfig() *configurer.Config {
	for _, name := range r.DataCentres() {
		return r.Configs[name]
	}
	return nil
}
