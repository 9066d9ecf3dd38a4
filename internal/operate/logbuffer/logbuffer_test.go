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

// reader takes nothing until it is released.
type reader struct {
	mutex    sync.Mutex
	text     bytes.Buffer
	released chan struct{}
}

func (r *reader) Write(p []byte) (int, error) {
	<-r.released
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.Write(p)
}

func (r *reader) String() string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.text.String()
}

func TestStuckReaderBlocksNothing(t *testing.T) {
	is := is.New(t)
	r := &reader{released: make(chan struct{})}
	b := logbuffer.New(r)
	line := []byte(strings.Repeat("x", 1<<10) + "\n")
	begun := time.Now()
	for range 10_000 {
		_, err := b.Write(line)
		is.NoErr(err)
	}
	is.True(time.Since(begun) < 2*time.Second)
	close(r.released)
	end := time.Now().Add(5 * time.Second)
	for !strings.Contains(r.String(), "event=log_lines_dropped") && time.Now().Before(end) {
		_, _ = b.Write([]byte("more\n"))
		time.Sleep(10 * time.Millisecond)
	}
	is.True(strings.Contains(r.String(), "event=log_lines_dropped lines="))
	is.True(r.text.Len() < 3<<20) // The memory for lines is bounded.
}

func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	r := &reader{released: make(chan struct{})}
	close(r.released)
	b := logbuffer.New(r)
	_, _ = b.Write([]byte("event=stopped\n"))
	b.Close()
	is.Equal(r.String(), "event=stopped\n")
}
