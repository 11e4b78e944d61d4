package settingsreader

import (
	"fmt"
	"path/filepath"
	"slices"
	"strings"

	"bramleyline.example/bramleyline/parser"
)

// reader turns the settings of one file into Settings and collects findings.
type reader struct {
	file     parser.File
	folder   string
	settings Settings
	findings []parser.Finding
}

func (r *reader) checkNames(sections map[string][]string) {
	for _, s := range r.file.Sections {
		names, ok := sections[s.Name]
		if !ok {
			r.findLine(s.Line, "unknown section [%s], known are %s", s.Name, sectionNames(sections))
			continue
		}
		for _, setting := range s.Settings {
			if !slices.Contains(names, setting.Name) {
				r.findLine(setting.Line, "unknown setting %s in section [%s], known are %s", setting.Name, s.Name,
					strings.Join(names, ", "))
			}
		}
	}
}

func (r *reader) findLine(line int, format string, args ...any) {
	r.findings = append(r.findings, parser.Finding{
		File:    r.file.Name,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

// find reports a finding at a setting, or at its section if the setting is missing.
func (r *reader) find(section, name, format string, args ...any) {
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
	r.findLine(line, format, args...)
}

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

func (r *reader) or(section, name, otherwise string) string {
	if v, ok := r.value(section, name); ok {
		return v
	}
	return otherwise
}

func (r *reader) choice(section, name, otherwise string, choices ...string) string {
	v := r.or(section, name, otherwise)
	if !slices.Contains(choices, v) {
		r.find(section, name, "%s = %s: wants one of %s", name, v, strings.Join(choices, ", "))
	}
	return v
}

// name reads a required name, which stands in lists, paths and counters.
func (r *reader) name(section, name string) string {
	v, _ := r.value(section, name)
	wrong := strings.ContainsFunc(v, func(c rune) bool {
		return !('a' <= c && c <= 'z' || 'A' <= c && c <= 'Z' || '0' <= c && c <= '9' || c == '-')
	})
	if v == "" || wrong {
		r.find(section, name, "section [%s] needs %s, a name of letters, digits and hyphens", section, name)
	}
	return v
}

func (r *reader) path(text string) string {
	if filepath.IsAbs(text) {
		return text
	}
	return filepath.Join(r.folder, text)
}
