package node

import (
	"io"
	"log/slog"
	"strconv"
	"sync"
	"time"
)

const (
	// maxLogBytes bounds the log lines that wait to be written.
	maxLogBytes = 256 << 10
	// flushInterval is the time between two writes.
	flushInterval = 200 * time.Millisecond
)

// LogWriter writes log lines in the background, so that a blocked reader of the
// log never delays a request. It drops lines that do not fit into its buffer; the
// next write reports their number.
type LogWriter struct {
	output io.Writer

	mu       sync.Mutex
	buffered []byte
	dropped  int
	spare    []byte
}

// NewLogWriter returns a writer to output. Run writes its lines.
func NewLogWriter(output io.Writer) *LogWriter { return &LogWriter{output: output} }

// Write implements io.Writer. It never blocks and never fails.
func (w *LogWriter) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.buffered)+len(line) > maxLogBytes {
		w.dropped++
		return len(line), nil
	}
	w.buffered = append(w.buffered, line...)
	return len(line), nil
}

// Run flushes the buffer at intervals until stop is closed, and then once more.
func (w *LogWriter) Run(stop <-chan struct{}) {
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			w.Flush()
		case <-stop:
			w.Flush()
			return
		}
	}
}

// Flush writes the buffered lines and the number of dropped ones.
func (w *LogWriter) Flush() {
	w.mu.Lock()
	lines, dropped := w.buffered, w.dropped
	w.buffered, w.dropped, w.spare = w.spare[:0], 0, nil
	w.mu.Unlock()
	if dropped > 0 {
		lines = append(lines, `{"level":"WARN","msg":"log lines dropped","count":`+strconv.Itoa(dropped)+"}\n"...)
	}
	if len(lines) > 0 {
		// An error of the log can't be logged.
		_, _ = w.output.Write(lines)
	}
	w.mu.Lock()
	w.spare = lines
	w.mu.Unlock()
}

// NewLogger returns a logger that writes JSON lines with the name of the VM.
func NewLogger(w io.Writer, vm string, level slog.Leveler) *slog.Logger {
	handler := slog.NewJSONHandler(w, &slog.HandlerOptions{Level: level})
	return slog.New(handler).With("vm", vm)
}
