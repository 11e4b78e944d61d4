// Package checker validates the configuration files of a deployment: a base file and one overlay for each data centre.
// It returns the merged configuration of each data centre, or all faults of the files with file and line. It also lists
// the differences between two configurations and the origin of each value.
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

// Checker checks configurations. The zero value checks files without a configuration in force.
type Checker struct {
	// InForce holds the services of the configuration in force. A new configuration cannot change their kind or their
	// number of slots.
	InForce []configurer.Service
}

// Report is the result of one check.
type Report struct {
	// Findings are all faults, sorted by file and line. The configuration is usable only if there are none.
	Findings []parser.Finding
	// Notes are consequences of valid settings that an operator should know of, sorted like Findings.
	Notes []parser.Finding
	// Configs maps the name of each data centre to its configuration; it is empty if there are findings.
	Configs map[string]*configurer.Config
	// Merged maps the name of each data centre to its settings with their origin.
	Merged map[string]merger.Merged
}

// OK reports whether there are no findings.
func (r *Report) OK() bool {
	return len(r.Findings) == 0
}

// OverlayDataCentre returns the name of the data centre that an overlay file is for: the file name without folder and
// .ini.
func OverlayDataCentre(file string) string {
	return strings.TrimSuffix(filepath.Base(file), ".ini")
}

// Check parses and checks base and overlays, and reports all findings, not only the first. An overlay file has the name
// of its data centre; see OverlayDataCentre.
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
		name := OverlayDataCentre(o.Name)
		if first, ok := files[name]; ok {
			p.addFinding(f.Name, 0, "data centre %s has two overlays, the other is %s", name, first.Name)
			continue
		}
		files[name] = f
		texts[name] = o.Text
		p.checkOverlay(f, name)
	}
	for _, dc := range p.dataCentres {
		p.buildConfig(dc, files[dc], merger.Digest(base.Text, texts))
	}
	p.report.Findings = parser.SortFindings(p.report.Findings)
	p.report.Notes = parser.SortFindings(p.report.Notes)
	if !p.report.OK() {
		p.report.Configs = nil
	}
	return p.report
}

// pass holds the state of one call of Check.
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

func (p *pass) addFinding(file string, line int, format string, args ...any) {
	p.report.Findings = append(p.report.Findings, parser.Finding{
		File:    file,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

func (p *pass) addFindingAt(v merger.Value, format string, args ...any) {
	p.addFinding(v.File, v.Line, format, args...)
}

func (p *pass) addNote(v merger.Value, format string, args ...any) {
	p.report.Notes = append(p.report.Notes, parser.Finding{
		File:    v.File,
		Line:    v.Line,
		Message: fmt.Sprintf(format, args...),
	})
}

// splitSection splits a section header, such as "service tally", into the kind of the section and the name after it.
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
			p.addFinding(p.base.Name, s.Line, "section [%s] needs a name of letters, digits and hyphens after %s", s.Name, kind)
			continue
		default:
			p.reportUnknownSection(p.base.Name, s)
			continue
		}
		p.checkSettings(p.base.Name, s, false)
	}
	if len(p.dataCentres) == 0 {
		p.addFinding(p.base.Name, 0, "no section [dataCentre NAME]")
	}
	if len(p.services) == 0 {
		p.addFinding(p.base.Name, 0, "no section [service NAME]")
	}
}

func (p *pass) checkOverlay(f *parser.File, dc string) {
	known := slices.Contains(p.dataCentres, dc)
	if !known {
		p.addFinding(f.Name, 0, "overlay is for data centre %s, which the base file does not have", dc)
	}
	for _, s := range f.Sections {
		kind, name := splitSection(s.Name)
		switch {
		case s.Name == deploymentSection, s.Name == timingSection:
		case kind == serviceKind && slices.Contains(p.services, name):
		case kind == serviceKind:
			p.addFinding(f.Name, s.Line, "overlay names service %s, which the base file does not have", name)
			continue
		case kind == dataCentreKind && name == dc && known:
		case kind == dataCentreKind:
			p.addFinding(f.Name, s.Line, "overlay of data centre %s has a section for data centre %s", dc, name)
			continue
		default:
			p.reportUnknownSection(f.Name, s)
			continue
		}
		p.checkSettings(f.Name, s, true)
	}
}

func (p *pass) reportUnknownSection(file string, s parser.Section) {
	p.addFinding(file, s.Line,
		"unknown section [%s], known are [deployment], [timing], [dataCentre NAME] and [service NAME]", s.Name)
}

// checkSettings checks each setting of a section by itself. Combinations of settings are checked in buildConfig.
func (p *pass) checkSettings(file string, s parser.Section, overlay bool) {
	kind, name := splitSection(s.Name)
	switch kind {
	case deploymentSection:
		checkSection(p, file, s, deploymentRules(), overlay, &configurer.Config{})
	case timingSection:
		checkSection(p, file, s, timingRules(), overlay, &configurer.Timing{})
	case serviceKind:
		service := configurer.DefaultService(name)
		checkSection(p, file, s, serviceRules(), overlay, &service)
	case dataCentreKind:
		checkSection(p, file, s, nil, overlay, &struct{}{})
	}
}

func checkSection[T any](p *pass, file string, s parser.Section, rules []rule[T], overlay bool, scratch *T) {
	for _, setting := range s.Settings {
		i := slices.IndexFunc(rules, func(r rule[T]) bool { return r.name == setting.Name })
		if i < 0 {
			p.addFinding(file, setting.Line, "unknown setting %s in section [%s]%s", setting.Name, s.Name,
				suggest(setting.Name, rules))
			continue
		}
		if err := rules[i].set(scratch, setting.Value); err != nil {
			p.addFinding(file, setting.Line, "%s = %s: %v", setting.Name, setting.Value, err)
		}
		if overlay && rules[i].common {
			p.addFinding(file, setting.Line, "%s must be the same in all data centres, set it in the base file", setting.Name)
		}
	}
}

// suggest proposes the setting whose name differs from an unknown one only in case, underscores or hyphens: the most
// frequent mistake with camel case names.
func suggest[T any](name string, rules []rule[T]) string {
	for _, r := range rules {
		if strings.EqualFold(r.name, strings.NewReplacer("_", "", "-", "").Replace(name)) {
			return ", did you mean " + r.name
		}
	}
	return ""
}
