package sender

import "bytes"

// foldDetector finds line folds in the headers of answers, which net/http replaces by blanks. A field whose name begins with a
// blank is such a fold. The zero value is ready for the bytes of an answer, beginning with its first one.
type foldDetector struct {
	// versionRead is true after the blank behind the version, and class is the first digit of the status, zero before it is read.
	versionRead bool
	class       byte
	// lines is the number of complete lines of the header so far, length that of the bytes of the current line, and last is the
	// last one of them.
	lines  int
	length int
	last   byte
	// ended is true after the header of the final answer.
	ended bool
	found bool
}

// scan reads the next bytes of the answer.
func (d *foldDetector) scan(b []byte) {
	for len(b) > 0 && !d.ended && !d.found {
		part, rest, complete := bytes.Cut(b, []byte{'\n'})
		d.scanPart(part)
		if complete {
			d.endLine()
		}
		b = rest
	}
}

// scanPart reads the next bytes of a line, without its line break.
func (d *foldDetector) scanPart(part []byte) {
	if len(part) == 0 {
		return
	}
	if d.lines == 0 {
		d.readClass(part)
	} else if d.length == 0 && (part[0] == ' ' || part[0] == '\t') {
		d.found = true
	}
	d.length += len(part)
	d.last = part[len(part)-1]
}

func (d *foldDetector) endLine() {
	empty := d.length == 0 || d.length == 1 && d.last == '\r'
	d.length = 0
	d.lines++
	if !empty {
		return
	}
	if d.class != '1' {
		d.ended = true
		return
	}
	// Another header follows that of an informational answer.
	*d = foldDetector{}
}

// readClass reads the next bytes of the status line.
func (d *foldDetector) readClass(part []byte) {
	for _, b := range part {
		switch {
		case d.class != 0:
			return
		case d.versionRead && b != ' ':
			d.class = b
		case b == ' ':
			d.versionRead = true
		}
	}
}
