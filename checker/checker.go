// Package checker turns a base file and its overlays into the configuration of each data centre, or says what is wrong
// with them.
package checker

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"bramleyline.example/bramleyline/configurer"
	"bramleyline.example/bramleyline/merger"
	"bramleyline.example/bramleyline/parser"
)

// Checker checks configurations. The zero value compares with no configuration in force.
type Checker struct {
	// InForce has the services in force; their kind and their number of slots cannot change.
	InForce []configurer.Service
}

// Report is the result of one check.
type Report struct {
	// Findings are all faults, sorted by place. The configuration is usable only if there are none.
	Findings []parser.Finding
	// Notes are consequences that an operator should know, without being faults.
	Notes []parser.Finding
	// Configs has the configuration of each data centre by name; empty if there are findings.
	Configs map[string]*configurer.Config
	// Merged has the settings of each data centre with their origin.
	Merged map[string]merger.Merged
}

// OK reports whether there are no findings.
func (r *Report) OK() bool {
	return len(r.Findings) == 0
}

// OverlayName returns the data centre of an overlay file: its name without folder and .ini.
func OverlayName(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".ini")
}

// Check reads base and overlays and reports all findings of one pass. The overlay of a data centre has its name.
func (c Checker) Check(base parser.Source, overlays []parser.Source) Report {
	p := pass{
		report: Report{
			Configs: make(map[string]*configurer.Config),
			Merged:  make(map[string]merger.Merged),
		},
		inForce: c.InForce,
	}
	p.base = p.parse(base)
	p.checkBase()
	texts := make(map[string]string, len(overlays))
	files := make(map[string]*parser.File, len(overlays))
	for _, o := range overlays {
		f := p.parse(o)
		name := OverlayName(o.Name)
		if first, ok := files[name]; ok {
			p.find(f.Name, 0, "data centre %s has two overlays, the other is %s", name, first.Name)
			continue
		}
		files[name] = f
		texts[name] = o.Text
		p.checkOverlay(f, name)
	}
	for _, dc := range p.dataCentres {
		p.build(dc, files[dc], merger.Digest(base.Text, texts))
	}
	p.report.Findings = parser.SortFindings(p.report.Findings)
	p.report.Notes = parser.SortFindings(p.report.Notes)
	if !p.report.OK() {
		p.report.Configs = nil
	}
	return p.report
}

// pass is the state of one check.
type pass struct {
	report      Report
	inForce     []configurer.Service
	base        *parser.File
	dataCentres []string
	services    []string
}

func (p *pass) parse(src parser.Source) *parser.File {
	f, findings := parser.Parse(src)
	p.report.Findings = append(p.report.Findings, findings...)
	return &f
}

func (p *pass) find(file string, line int, format string, args ...any) {
	p.report.Findings = append(p.report.Findings, parser.Finding{
		File:    file,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

func (p *pass) findAt(v merger.Value, format string, args ...any) {
	p.find(v.File, v.Line, format, args...)
}

func (p *pass) note(v merger.Value, format string, args ...any) {
	p.report.Notes = append(p.report.Notes, parser.Finding{
		File:    v.File,
		Line:    v.Line,
		Message: fmt.Sprintf(format, args...),
	})
}

// splitSection returns the kind of a section and the name that follows it.
func splitSection(section string) (kind, name string) {
	kind, name, _ = strings.Cut(section, " ")
	return kind, name
}

func (p *pass) checkBase() {
	for _, s := range p.base.Sections {
		kind, name := splitSection(s.Name)
		switch {
		case s.Name == deploymentSection, s.Name == timingSection:
		case kind == dataCentreKind && validName(name):
			p.dataCentres = append(p.dataCentres, name)
		case kind == serviceKind && validName(name):
			p.services = append(p.services, name)
		case kind == dataCentreKind || kind == serviceKind:
			p.find(p.base.Name, s.Line, "section [%s] needs a name of letters, digits and hyphens after %s", s.Name, kind)
			continue
		default:
			p.findUnknownSection(p.base.Name, s)
			continue
		}
		p.checkSettings(p.base.Name, s, false)
	}
	if len(p.dataCentres) == 0 {
		p.find(p.base.Name, 0, "no section [dataCentre NAME]")
	}
	if len(p.services) == 0 {
		p.find(p.base.Name, 0, "no section [service NAME]")
	}
}

func (p *pass) checkOverlay(f *parser.File, dc string) {
	known := slices.Contains(p.dataCentres, dc)
	if !known {
		p.find(f.Name, 0, "overlay is for data centre %s, which the base file does not have", dc)
	}
	for _, s := range f.Sections {
		kind, name := splitSection(s.Name)
		switch {
		case s.Name == deploymentSection, s.Name == timingSection:
		case kind == serviceKind && slices.Contains(p.services, name):
		case kind == serviceKind:
			p.find(f.Name, s.Line, "overlay names service %s, which the base file does not have", name)
			continue
		case kind == dataCentreKind && name == dc && known:
		case kind == dataCentreKind:
			p.find(f.Name, s.Line, "overlay of data centre %s has a section for data centre %s", dc, name)
			continue
		default:
			p.findUnknownSection(f.Name, s)
			continue
		}
		p.checkSettings(f.Name, s, true)
	}
}

func (p *pass) findUnknownSection(file string, s parser.Section) {
	p.find(file, s.Line, "unknown section [%s], known are [deployment], [timing], [dataCentre NAME] and [service NAME]",
		s.Name)
}

// checkSettings reads each setting of a section on its own.
func (p *pass) checkSettings(file string, s parser.Section, overlay bool) {
	kind, name := splitSection(s.Name)
	switch kind {
	case deploymentSection:
		checkEach(p, file, s, deploymentRules(), overlay, &configurer.Config{})
	case timingSection:
		checkEach(p, file, s, timingRules(), overlay, &configurer.Timing{})
	case serviceKind:
		service := configurer.DefaultService(name)
		checkEach(p, file, s, serviceRules(), overlay, &service)
	case dataCentreKind:
		checkEach(p, file, s, nil, overlay, &struct{}{})
	}
}

func checkEach[T any](p *pass, file string, s parser.Section, rules []rule[T], overlay bool, scratch *T) {
	for _, setting := range s.Settings {
		i := slices.IndexFunc(rules, func(r rule[T]) bool { return r.name == setting.Name })
		if i < 0 {
			p.find(file, setting.Line, "unknown setting %s in section [%s]%s", setting.Name, s.Name,
				suggest(setting.Name, rules))
			continue
		}
		if err := rules[i].set(scratch, setting.Value); err != nil {
			p.find(file, setting.Line, "%s = %s: %v", setting.Name, setting.Value, err)
		}
		if overlay && rules[i].common {
			p.find(file, setting.Line, "%s must be the same in all data centres, set it in the base file", setting.Name)
		}
	}
}

// suggest finds a setting that differs from name only in case, which is the most frequent slip in camel case.
func suggest[T any](name string, rules []rule[T]) string {
	for _, r := range rules {
		if strings.EqualFold(r.name, strings.NewReplacer("_", "", "-", "").Replace(name)) {
			return ", did you mean " + r.name
		}
	}
	return ""
}
