// Package logger writes structured log lines without ever holding up the caller: what the output does not take in time
// is dropped and counted.
package logger

import (
	"expvar"
	"io"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/pkg/errors"
)

const (
	// queueLines is the number of lines that may wait for the output.
	queueLines = 2048
	// linesPerSecond bounds the lines of one process over time, and burstLines at once. At 200 bytes a line that is
	// 40 KB a second.
	linesPerSecond = 200
	burstLines     = 600
)

var counters = expvar.NewMap("logger")

// Writer is an io.Writer that hands lines to another one in the background. Make it with NewWriter.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	tokens float64
	at     time.Time
}

// NewWriter returns a Writer to out.
func NewWriter(out io.Writer) *Writer {
	w := Writer{
		out:    out,
		lines:  make(chan []byte, queueLines),
		done:   make(chan struct{}),
		tokens: burstLines,
		at:     time.Now(),
	}
	go w.run()
	return &w
}

// Write takes one line. It never waits and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.at).Seconds()*linesPerSecond)
	w.at = now
	if w.closed || w.tokens < 1 {
		counters.Add("dropped", 1)
		return len(line), nil
	}
	w.tokens--
	select {
	case w.lines <- append([]byte(nil), line...):
		counters.Add("lines", 1)
	default:
		counters.Add("dropped", 1)
	}
	return len(line), nil
}

// Close writes the lines that wait, for at most limit.
func (w *Writer) Close(limit time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(limit):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// A log that cannot be written cannot be reported in the log either; the counter tells.
		if _, err := w.out.Write(line); err != nil {
			counters.Add("failedWrites", 1)
		}
	}
}

// New returns a logger that writes to w at level in format text, json or logfmt, with the name of the host in each line.
func New(w io.Writer, level, format, host string) (*log.Logger, error) {
	parsed := log.InfoLevel
	if level != "" {
		var err error
		if parsed, err = log.ParseLevel(level); err != nil {
			return nil, errors.Wrap(err, "logLevel")
		}
	}
	formatters := map[string]log.Formatter{
		"":       log.TextFormatter,
		"text":   log.TextFormatter,
		"json":   log.JSONFormatter,
		"logfmt": log.LogfmtFormatter,
	}
	formatter, ok := formatters[format]
	if !ok {
		return nil, errors.Errorf("logFormat %q is none of text, json and logfmt", format)
	}
	return log.NewWithOptions(w, log.Options{
		Level:           parsed,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Fields:          []any{"host", host},
	}), nil
}
