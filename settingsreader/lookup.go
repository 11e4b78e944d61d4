package settingsreader

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"bramleyline.example/bramleyline/parser"
)

// reader converts one settings file into Settings and collects findings.
type reader struct {
	file parser.File
	// folder is the folder of the file, to which relative paths refer.
	folder   string
	settings Settings
	findings []parser.Finding
}

// checkNames reports sections and settings that are not in sections, which maps the name of a section to its settings.
func (r *reader) checkNames(sections map[string][]string) {
	for _, s := range r.file.Sections {
		names, ok := sections[s.Name]
		if !ok {
			r.addFindingAtLine(s.Line, "unknown section [%s], known are %s", s.Name, sectionNames(sections))
			continue
		}
		for _, setting := range s.Settings {
			if !slices.Contains(names, setting.Name) {
				r.addFindingAtLine(setting.Line, "unknown setting %s in section [%s], known are %s", setting.Name, s.Name,
					strings.Join(names, ", "))
			}
		}
	}
}

// addFindingAtLine adds a finding at a line, zero for none.
func (r *reader) addFindingAtLine(line int, format string, args ...any) {
	r.findings = append(r.findings, parser.Finding{
		File:    r.file.Name,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

// addFinding adds a finding at the line of a setting, or of its section if the setting is missing.
func (r *reader) addFinding(section, name, format string, args ...any) {
	line := 0
	for _, s := range r.file.Sections {
		if s.Name != section {
			continue
		}
		line = s.Line
		for _, setting := range s.Settings {
			if setting.Name == name {
				line = setting.Line
			}
		}
	}
	r.addFindingAtLine(line, format, args...)
}

// value returns the value of a setting, and false if the setting is missing.
func (r *reader) value(section, name string) (string, bool) {
	for _, s := range r.file.Sections {
		if s.Name != section {
			continue
		}
		for _, setting := range s.Settings {
			if setting.Name == name {
				return setting.Value, true
			}
		}
	}
	return "", false
}

// valueOr returns the value of a setting, or defaultValue if the setting is missing.
func (r *reader) valueOr(section, name, defaultValue string) string {
	if v, ok := r.value(section, name); ok {
		return v
	}
	return defaultValue
}

// readChoice reads a setting that must have one of the values choices.
func (r *reader) readChoice(section, name, defaultValue string, choices ...string) string {
	v := r.valueOr(section, name, defaultValue)
	if !slices.Contains(choices, v) {
		r.addFinding(section, name, "%s = %s: wants one of %s", name, v, strings.Join(choices, ", "))
	}
	return v
}

// readName reads a required name. Names have restricted characters because they are part of lists, paths and counters.
func (r *reader) readName(section, name string) string {
	v, _ := r.value(section, name)
	invalid := strings.ContainsFunc(v, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-')
	})
	if v == "" || invalid {
		r.addFinding(section, name, "section [%s] needs %s, a name of letters, digits and hyphens", section, name)
	}
	return v
}

// resolvePath resolves a relative path from the folder of the settings file.
func (r *reader) resolvePath(text string) string {
	if filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(r.folder, text)
}
