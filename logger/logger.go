// Package logger is a structured logger whose writer is asynchronous and rate-limited. It never blocks the caller:
// lines beyond the rate limit, and lines that the output does not take in time, are dropped and counted.
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
	// queueLines is the capacity, in lines, of the queue to the output.
	queueLines = 2048
	// linesPerSecond is the rate, and burstLines the burst size, of the token bucket that limits the lines of one process.
	// At 200 bytes a line, the rate is 40 KB per second.
	linesPerSecond = 200
	burstLines     = 600
)

var counters = expvar.NewMap("logger")

// Writer is an io.Writer that passes lines to another io.Writer in the background. Make it with NewWriter.
type Writer struct {
	out   io.Writer
	lines chan []byte
	done  chan struct{}

	mu     sync.Mutex
	closed bool
	// tokens is the content of the token bucket at refilledAt: the number of lines that may be written at once.
	tokens     float64
	refilledAt time.Time
}

// NewWriter returns a Writer that passes lines to out.
func NewWriter(out io.Writer) *Writer {
	w := Writer{
		out:        out,
		lines:      make(chan []byte, queueLines),
		done:       make(chan struct{}),
		tokens:     burstLines,
		refilledAt: time.Now(),
	}
	go w.run()
	return &w
}

// Write queues one line, or drops and counts it. It never blocks and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	w.tokens = min(burstLines, w.tokens+now.Sub(w.refilledAt).Seconds()*linesPerSecond)
	w.refilledAt = now
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

// Close drops later lines, and waits until the queued lines are written, but no longer than timeout.
func (w *Writer) Close(timeout time.Duration) {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(timeout):
	}
}

func (w *Writer) run() {
	defer close(w.done)
	for line := range w.lines {
		// A failed write of the log cannot be reported in the log, so it is only counted.
		if _, err := w.out.Write(line); err != nil {
			counters.Add("failedWrites", 1)
		}
	}
}

// New returns a logger that writes to w at level in format text, json or logfmt, with the name of the host in each
// line. An empty level means info, an empty format means text.
func New(w io.Writer, level, format, host string) (*log.Logger, error) {
	parsedLevel := log.InfoLevel
	if level != "" {
		var err error
		if parsedLevel, err = log.ParseLevel(level); err != nil {
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
		Level:           parsedLevel,
		Formatter:       formatter,
		ReportTimestamp: true,
		TimeFormat:      time.RFC3339Nano,
		Fields:          []any{"host", host},
	}), nil
}
