// Package logbuffer stands between a program and its log output: writing a line
// never waits for the reader. Lines that find no room are dropped and counted.
package logbuffer

import (
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// capacity bounds the lines that wait, in bytes.
	capacity = 1 << 20
	// flushInterval is how long lines gather before they are written.
	flushInterval = 20 * time.Millisecond
	// closeTimeout bounds the wait for the reader at the end.
	closeTimeout = 200 * time.Millisecond
)

// Buffer is an io.Writer of whole lines.
type Buffer struct {
	out   io.Writer
	mutex sync.Mutex
	// waiting holds the lines that are not written yet.
	waiting []byte
	// dropped counts the lines that found no room since the last report.
	dropped int
	wake    chan struct{}
	closing chan struct{}
	done    chan struct{}
}

// New returns a buffer that writes to out in the background.
func New(out io.Writer) *Buffer {
	b := &Buffer{out: out, wake: make(chan struct{}, 1), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write takes a line. It never fails and never waits for the reader.
func (b *Buffer) Write(line []byte) (int, error) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	if len(b.waiting)+len(line) > capacity {
		b.dropped++
		return len(line), nil
	}
	b.waiting = append(b.waiting, line...)
	select {
	case b.wake <- struct{}{}:
	default:
	}
	return len(line), nil
}

// take returns what waits, with a line about what was dropped.
func (b *Buffer) take(spare []byte) []byte {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	lines := b.waiting
	b.waiting = spare[:0]
	if b.dropped > 0 {
		lines = fmt.Appendf(lines, "time=%s level=WARN event=log_lines_dropped lines=%d\n", time.Now().UTC().Format(time.RFC3339Nano), b.dropped)
		b.dropped = 0
	}
	return lines
}

func (b *Buffer) run() {
	defer close(b.done)
	var spare []byte
	for {
		select {
		case <-b.wake:
			time.Sleep(flushInterval)
		case <-b.closing:
			_, _ = b.out.Write(b.take(nil)) // There is nowhere left to report an error.
			return
		}
		lines := b.take(spare)
		if _, err := b.out.Write(lines); err != nil {
			b.mutex.Lock()
			b.dropped++
			b.mutex.Unlock()
		}
		spare = lines
	}
}

// Close writes what waits, as far as the reader takes it in a short time.
func (b *Buffer) Close() {
	close(b.closing)
	select {
	case <-b.done:
	case <-time.After(closeTimeout):
	}
}
