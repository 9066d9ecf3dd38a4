package logbuffer_test

import (
	"bytes"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
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

// recordingWriter records each write.
type recordingWriter struct{ writes []string }

func (r *recordingWriter) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// TestWritesFitIntoAPipe writes as many lines as a take-over of a large cell. A reader that
// shows at most 4,096 bytes of each write must see all of them.
func TestWritesFitIntoAPipe(t *testing.T) {
	const pipeBytes = 4096
	opened := "event=worker_opened worker=i-3df3982cd7 service=punchlist-desk zone=ne-e capacity=16000m\n"
	long := strings.Repeat("x", pipeBytes) + "\n"
	scenarios := []struct {
		testName string
		lines    []string
		writes   int
	}{
		{"no line", nil, 0},
		{"a short line", []string{opened}, 1},
		{"1,100 lines", slices.Repeat([]string{opened}, 1100), (1100 + pipeBytes/len(opened) - 1) / (pipeBytes / len(opened))},
		{"lines that fill a write", []string{strings.Repeat("x", pipeBytes-len(opened)-1) + "\n", opened}, 1},
		{"lines that fill a write but for a byte", []string{strings.Repeat("x", pipeBytes-len(opened)) + "\n", opened}, 2},
		{"a line that is too long, alone", []string{long}, 1},
		{"a line that is too long, between others", []string{opened, opened, long, opened}, 3},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				r := &recordingWriter{}
				b := logbuffer.New(r)
				for _, line := range s.lines {
					_, err := b.Write([]byte(line))
					is.NoErr(err)
				}
				synctest.Wait()
				b.Close()
				is.Equal(strings.Join(r.writes, ""), strings.Join(s.lines, ""))
				is.Equal(len(r.writes), s.writes)
				for _, w := range r.writes {
					is.True(strings.HasSuffix(w, "\n"))
					is.True(len(w) <= pipeBytes || w == long)
				}
			})
		})
	}
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
