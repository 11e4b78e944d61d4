// Package parser parses INI files and keeps the line number of each section and setting.
//
// The syntax is that of gopkg.in/ini.v1. That library does not report line numbers, so Parse passes it one line at a
// time; a value therefore never spans lines.
package parser

import (
	"fmt"
	"slices"
	"strings"

	"github.com/pkg/errors"
	"gopkg.in/ini.v1"
)

// MaxBytes bounds the length of one file. A base file for 100 services with every setting has about 100 KB.
const MaxBytes = 1 << 20

// byteOrderMark is the Unicode byte order mark, which some editors write at the start of a file.
const byteOrderMark = "\ufeff"

// Source is the text of one file.
type Source struct {
	// Name is the file name that findings show.
	Name string
	Text string
}

// File is a parsed Source: its sections and their settings in the order of the text.
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

// Finding is a fault in a file with its position. Line zero means the whole file.
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

// Parse parses src. A line that cannot be parsed, a repeated section and a repeated setting are findings. The first
// value of a repeated setting counts.
func Parse(src Source) (File, []Finding) {
	r := reader{
		file: File{
			Name: src.Name,
		},
		lines: make(map[string]int),
	}
	if len(src.Text) > MaxBytes {
		r.addFinding(0, "file has %d bytes, at most %d are read", len(src.Text), MaxBytes)
		return r.file, r.findings
	}
	text := strings.TrimPrefix(src.Text, byteOrderMark)
	for i, line := range strings.Split(text, "\n") {
		r.readLine(i+1, strings.TrimSpace(line))
	}
	return r.file, r.findings
}

// reader collects the sections of one file.
type reader struct {
	file     File
	findings []Finding
	// lines maps a section name, or a section name and a setting name separated by a zero byte, to the line of the
	// first occurrence.
	lines map[string]int
	// currentSection is the index in file.Sections of the section that is being read; inSection is false before the
	// first one.
	currentSection int
	inSection      bool
}

func (r *reader) addFinding(line int, format string, args ...any) {
	r.findings = append(r.findings, Finding{
		File:    r.file.Name,
		Line:    line,
		Message: fmt.Sprintf(format, args...),
	})
}

func (r *reader) readLine(line int, text string) {
	if text == "" || text[0] == '#' || text[0] == ';' {
		return
	}
	section, setting, err := parseLine(text)
	switch {
	case err != nil:
		r.addFinding(line, "%v", err)
	case text[0] == '[':
		r.startSection(line, section)
	case !r.inSection:
		r.addFinding(line, "setting %s stands before the first section", setting.Name)
	default:
		setting.Line = line
		r.addSetting(setting)
	}
}

func (r *reader) startSection(line int, name string) {
	r.inSection = true
	if first, ok := r.lines[name]; ok {
		r.addFinding(line, "section [%s] is repeated, first on line %d", name, first)
		r.currentSection = slices.IndexFunc(r.file.Sections, func(s Section) bool { return s.Name == name })
		return
	}
	r.lines[name] = line
	r.currentSection = len(r.file.Sections)
	r.file.Sections = append(r.file.Sections, Section{
		Name: name,
		Line: line,
	})
}

func (r *reader) addSetting(s Setting) {
	section := &r.file.Sections[r.currentSection]
	key := section.Name + "\x00" + s.Name
	if first, ok := r.lines[key]; ok {
		r.addFinding(s.Line, "setting %s is repeated, first on line %d", s.Name, first)
		return
	}
	r.lines[key] = s.Line
	section.Settings = append(section.Settings, s)
}

// parseLine parses one line and returns the name of its section, or its setting.
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

// explain returns the fault of a line that the library cannot parse, in the terms of the documentation. It does not
// quote the line, which may hold a secret.
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
