// Package parser reads INI text with the line of each section and setting.
//
// The format is that of gopkg.in/ini.v1. That library does not tell lines, so each line is given to it on its own; a
// value therefore never spans lines.
package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes bounds the text of one file. A base file for 100 services with every setting has about 100 KB.
const MaxBytes = 1 << 20

// byteOrderMark is what some editors write at the start of a file.
const byteOrderMark = "\ufeff"

// Source is the text of one file.
type Source struct {
	// Name is the file name that findings show.
	Name string
	Text string
}

// File is a Source as sections and settings, in the order of the text.
type File struct {
	Name     string
	Sections []Section
}

// Section is one section of a File.
type Section struct {
	Name     string
	Line     int
	Settings []Setting
}

// Setting is one line of a Section.
type Setting struct {
	Name  string
	Value string
	Line  int
}

// Finding is a fault with its place. Line zero means the whole file.
type Finding struct {
	File    string
	Line    int
	Message string
}

// String formats the finding as file:line: message.
func (f Finding) String() string {
	if f.Line == 0 {
		return fmt.Sprintf("%s: %s", f.File, f.Message)
	}
	return fmt.Sprintf("%s:%d: %s", f.File, f.Line, f.Message)
}

// Parse reads src. A line that cannot be read, a repeated section and a repeated setting are findings; the first of
// repeated settings counts.
func Parse(src Source) (File, []Finding) {
	r := reader{
		file: File{
			Name: src.Name,
		},
		lines: make(map[string]int),
	}
	if len(src.Text) > MaxBytes {
		r.find(0, "file has %d bytes, at most %d are read", len(src.Text), MaxBytes)
		return r.file, r.findings
	}
	text := strings.TrimPrefix(src.Text, byteOrderMark)
	for i, line := range strings.Split(text, "\n") {
		r.read(i+1, strings.TrimSpace(line))
	}
	return r.file, r.findings
}

// reader collects the sections of one file.
type reader struct {
	file     File
	findings []Finding
	// lines maps a section, or a section and a setting, to its first line.
	lines   map[string]int
	current int
	open    bool
}

func (r *reader) find(line int, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		File:    r.file.Name,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

func (r *reader) read(line int, text string) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return
	}
	section, setting, err := parseLine(text)
	switch {
	case err != nil:
		r.find(line, "%v", err)
	case text[0] == '[':
		r.section(line, section)
	case !r.open:
		r.find(line, "setting %s stands before the first section", setting.Name)
	default:
		setting.Line = line
		r.setting(setting)
	}
}

func (r *reader) section(line int, name string) {
	r.open = true
	if first, ok := r.lines[name]; ok {
		r.find(line, "section [%s] is repeated, first on line %d", name, first)
		r.current = slices.IndexFunc(r.file.Sections, func(s Section) bool { return s.Name == name })
		return
	}
	r.lines[name] = line
	r.current = len(r.file.Sections)
	r.file.Sections = append(r.file.Sections, Section{
		Name: name,
		Line: line,
	})
}

func (r *reader) setting(s Setting) {
	section := &r.file.Sections[r.current]
	id := section.Name + "\x00" + s.Name
	if first, ok := r.lines[id]; ok {
		r.find(s.Line, "setting %s is repeated, first on line %d", s.Name, first)
		return
	}
	r.lines[id] = s.Line
	section.Settings = append(section.Settings, s)
}

// parseLine returns the name of the section, or the setting, that stands on one line.
func parseLine(text string) (string, Setting, error) {
	f, err := ini.LoadSources(ini.LoadOptions{
		IgnoreContinuation:       true,
		KeyValueDelimiters:       "=",
		SpaceBeforeInlineComment: true,
	}, []byte(text))
	if err != nil {
		return "", Setting{}, errors.New(explain(text, err))
	}
	if text[0] == '[' {
		sections := f.SectionStrings()
		return strings.Join(strings.Fields(sections[len(sections)-1]), " "), Setting{}, nil
	}
	for _, key := range f.Section(ini.DefaultSection).Keys() {
		return "", Setting{
			Name:  key.Name(),
			Value: key.Value(),
		}, nil
	}
	return "", Setting{}, errors.New("line is neither a section nor a setting")
}

// explain says what is wrong with a line in the words of the pages. It does not show the line, which may be a secret.
func explain(text string, err error) string {
	switch {
	case text[0] == '[':
		return "section name must stand between [ and ]"
	case ini.IsErrDelimiterNotFound(err):
		return "line is neither a section nor a setting of the form name = value"
	case ini.IsErrEmptyKeyName(err):
		return "setting has no name before ="
	}
	return "setting has a quote that is not closed on its line"
}
