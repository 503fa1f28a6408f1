package host

import (
	"bufio"
	"context"
	"io"
	"sync"
	"time"
)

const (
	// logBufferBytes is the size of the buffer of the log.
	logBufferBytes = 64 << 10
	// logFlushInterval is the longest time for which a line stays in the buffer.
	logFlushInterval = 100 * time.Millisecond
)

// LogBuffer gathers log lines so that a busy VM writes many of them in one
// system call. It is safe for concurrent use.
type LogBuffer struct {
	mu     sync.Mutex
	buffer *bufio.Writer
}

// NewLogBuffer returns a buffer in front of w.
func NewLogBuffer(w io.Writer) *LogBuffer {
	return &LogBuffer{buffer: bufio.NewWriterSize(w, logBufferBytes)}
}

// Write implements io.Writer.
func (b *LogBuffer) Write(line []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(line)
}

// Flush writes the gathered lines.
func (b *LogBuffer) Flush() error {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Flush()
}

// Run flushes the buffer often until ctx ends, and once more at the end. A log
// that cannot be written does not stop the VM.
func (b *LogBuffer) Run(ctx context.Context) {
	ticker := time.NewTicker(logFlushInterval)
	defer ticker.Stop()
	for {
		_ = b.Flush()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = b.Flush()
			return
		}
	}
}
