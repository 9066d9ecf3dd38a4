// Package logbuffer writes log lines in the background, so that a blocked log output
// never blocks the program. When the buffer is full, it drops and counts lines.
package logbuffer

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxPendingBytes is the maximum size of the pending lines.
	maxPendingBytes = 1 << 20
	// maxWriteBytes limits what one call of Write hands over. A pipe takes up to this
	// many bytes (PIPE_BUF) at once; readers may drop the rest of a longer write.
	maxWriteBytes = 4096
	// flushInterval is how long lines are collected before they are written.
	flushInterval = 20 * time.Millisecond
	// closeTimeout is how long Close waits for the pending lines to be written.
	closeTimeout = 200 * time.Millisecond
)

// Buffer is an io.Writer that accepts whole lines and writes them in the background.
type Buffer struct {
	out   io.Writer
	mutex sync.Mutex
	// pending holds the lines that have not been written yet.
	pending []byte
	// droppedLines counts the lines dropped since the last log_lines_dropped
	// event.
	droppedLines int
	// wake signals writeLoop that there are pending lines.
	wake chan struct{}
	// closing is closed by Close; done is closed when writeLoop returns.
	closing chan struct{}
	done    chan struct{}
}

// New returns a buffer that writes to out in the background.
func New(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go b.writeLoop()
	return b
}

// Write adds a line to the buffer, or drops it when the buffer is full. It neither
// fails nor blocks on the output.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.pending)+len(line) > maxPendingBytes {
		b.droppedLines++
		return len(line), nil
	}
	b.pending = append(b.pending, line...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// swapPending returns the pending lines, followed by a log_lines_dropped event if
// lines were dropped. It reuses the memory of spare for the next lines.
func (b *Buffer) swapPending(spare []byte) []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	lines := b.pending
	b.pending = spare[:0]
	if b.droppedLines > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), b.droppedLines)
		b.droppedLines = 0
	}
	return lines
}

// writeLoop writes pending lines to the output until Close.
func (b *Buffer) writeLoop() {
	defer close(b.done)
	var spare []byte
	for {
		select {
		case <-b.wake:
			time.Sleep(flushInterval)
		case <-b.closing:
			b.writeLines(b.swapPending(nil)) // An error cannot be reported any more.
			return
		}
		lines := b.swapPending(spare)
		if dropped := b.writeLines(lines); dropped > 0 {
			b.mutex.Lock()
			b.droppedLines += dropped
			b.mutex.Unlock()
		}
		spare = lines
	}
}

// writeLines writes lines with calls of at most maxWriteBytes that end at line ends. A
// longer line is written alone. It returns the number of lines that could not be written.
func (b *Buffer) writeLines(lines []byte) (dropped int) {
	for len(lines) > 0 {
		n := firstWriteLength(lines)
		if _, err := b.out.Write(lines[:n]); err != nil {
			dropped += bytes.Count(lines[:n], []byte{'\n'})
		}
		lines = lines[n:]
	}
	return dropped
}

// firstWriteLength returns how many bytes of the lines the next write takes.
func firstWriteLength(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if i := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); i >= 0 {
		return i + 1
	}
	if i := bytes.IndexByte(lines, '\n'); i >= 0 {
		return i + 1
	}
	return len(lines)
}

// Close writes the pending lines. It gives up after closeTimeout when the output
// blocks.
func (b *Buffer) Close() {
	close(b.closing)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
