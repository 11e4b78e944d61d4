// Package merger merges layered settings: those of the overlay file of one data centre override those of the base file.
// Each value keeps the file and line that it comes from.
package merger

import (
	"slices"

	"bramleyline.example/bramleyline/parser"
)

// Merged is the base file with one overlay, as settings by section.
type Merged struct {
	// Base and Overlay are the names of the files; Overlay is empty if there is none.
	Base    string
	Overlay string
	// Sections lists the names of all sections: those of the base file in its order, then the others in the overlay's
	// order.
	Sections []string

	values map[string]map[string]Value
}

// Value is the text of one setting, and the file and line that it comes from.
type Value struct {
	Text string
	File string
	Line int
}

// Merge returns base with the settings of overlay in place of its own. A nil overlay changes nothing.
func Merge(base, overlay *parser.File) Merged {
	m := Merged{
		Base:   base.Name,
		values: make(map[string]map[string]Value),
	}
	m.add(base)
	if overlay != nil {
		m.Overlay = overlay.Name
		m.add(overlay)
	}
	return m
}

// add overrides the settings in m with those of f.
func (m *Merged) add(f *parser.File) {
	for _, s := range f.Sections {
		settings, ok := m.values[s.Name]
		if !ok {
			settings = make(map[string]Value)
			m.values[s.Name] = settings
			m.Sections = append(m.Sections, s.Name)
		}
		for _, setting := range s.Settings {
			settings[setting.Name] = Value{
				Text: setting.Value,
				File: f.Name,
				Line: setting.Line,
			}
		}
	}
}

// Has reports whether the section is in one of the files.
func (m *Merged) Has(section string) bool {
	_, ok := m.values[section]
	return ok
}

// Value returns the value of a setting, and whether it is in one of the files.
func (m *Merged) Value(section, name string) (Value, bool) {
	v, ok := m.values[section][name]
	return v, ok
}

// Names returns the names of the settings of a section, sorted.
func (m *Merged) Names(section string) []string {
	names := make([]string, 0, len(m.values[section]))
	for name := range m.values[section] {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}
