package logbuffer_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/operate/logbuffer"
)

// blockingWriter blocks every Write until released is closed.
type blockingWriter struct {
	mutex    sync.Mutex
	text     bytes.Buffer
	released chan struct{}
}

func (r *blockingWriter) Write(p []byte) (int, error) {
	<-r.released
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(p)
}

func (r *blockingWriter) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String()
}

// TestStuckReaderBlocksNothing guards against a program that blocks, or that uses
// more and more memory, when nothing reads its log output.
func TestStuckReaderBlocksNothing(t *testing.T) {
	is := is.New(t)
	r := &blockingWriter{released: make(chan struct{})}
	b := logbuffer.New(r)
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	start := time.Now()
	for range 10_000 {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(start) < 2*time.Second)
	close(r.released)
	end := time.Now().Add(5 * time.Second)
	for !strings.Contains(r.String(), "event=log_lines_dropped") && time.Now().Before(end) {
		_, _ = b.Write([]byte("more\n"))
		time.Sleep(10 * time.Millisecond)
	}
	is.True(strings.Contains(r.String(), "event=log_lines_dropped lines="))
	is.True(len(r.String()) < 3<<20) // Pending lines use a bounded amount of memory.
}

func TestCloseWritesPendingLines(t *testing.T) {
	is := is.New(t)
	r := &blockingWriter{released: make(chan struct{})}
	close(r.released)
	b := logbuffer.New(r)
	_, _ = b.Write([]byte("event=stopped\n"))
	b.Close()
	is.Equal(r.String(), "event=stopped\n")
}
