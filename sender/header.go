package sender

import "bytes"

// headerScanner looks at the headers of answers as they are read, for what net/http does not report: it replaces line folds by
// blanks, and removes the Transfer-Encoding of HTTP/1.0 without applying it. The zero value is ready for the bytes of an answer,
// beginning with its first one.
type headerScanner struct {
	// versionRead is true after the blank behind the version, and class is the first digit of the status, zero before it is read.
	versionRead bool
	class       byte
	// lines is the number of complete lines of the header so far, and length that of the bytes of the current line.
	lines  int
	length int
	// start holds the first bytes of the current line, and last is the last byte of it.
	start [len(transferEncoding)]byte
	last  byte
	// ended is true after the header of the final answer.
	ended bool
	// folded is true if a line begins with a blank, as a field does whose name begins with one.
	folded bool
	// coded is true if the header has a Transfer-Encoding.
	coded bool
}

// transferEncoding is the beginning of a field.
const transferEncoding = "Transfer-Encoding:"

// scan reads the next bytes of the answer.
func (s *headerScanner) scan(b []byte) {
	for len(b) > 0 && !s.ended && !s.folded {
		part, rest, complete := bytes.Cut(b, []byte{'\n'})
		s.scanPart(part)
		if complete {
			s.endLine()
		}
		b = rest
	}
}

// scanPart reads the next bytes of a line, without its line break.
func (s *headerScanner) scanPart(part []byte) {
	if len(part) == 0 {
		return
	}
	if s.lines == 0 {
		s.readClass(part)
	} else if s.length == 0 && (part[0] == ' ' || part[0] == '\t') {
		s.folded = true
	}
	if s.length < len(s.start) {
		copy(s.start[s.length:], part)
	}
	s.length += len(part)
	s.last = part[len(part)-1]
}

func (s *headerScanner) endLine() {
	empty := s.length == 0 || s.length == 1 && s.last == '\r'
	if s.length >= len(s.start) && bytes.EqualFold(s.start[:], []byte(transferEncoding)) {
		s.coded = true
	}
	s.length = 0
	s.lines++
	if !empty {
		return
	}
	if s.class != '1' {
		s.ended = true
		return
	}
	// Another header follows that of an informational answer.
	*s = headerScanner{}
}

// readClass reads the next bytes of the status line.
func (s *headerScanner) readClass(part []byte) {
	for _, b := range part {
		switch {
		case s.class != 0:
			return
		case s.versionRead && b != ' ':
			s.class = b
		case b == ' ':
			s.versionRead = true
		}
	}
}
