package admittance_test

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/almondpost/almondpost/internal/node/admittance"
	"github.com/almondpost/almondpost/internal/node/fault"
)

// begin is an arbitrary time. Tests pass times to charges, so that none depends on a clock.
var begin = time.Date(2026, 12, 6, 0, 0, 0, 0, time.UTC)

func kind(err error) admittance.Kind { return fault.KindOf[admittance.Kind](err) }

// The budget must never be exceeded, must not lose bytes, and must evict the bodies that have
// waited longest.
func TestBudgetHoldsItsLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		is := is.New(t)
		const limit = 100
		b := admittance.NewBudget(limit)
		type body struct {
			charge   *admittance.Charge
			bytes    int
			progress int
			closing  sync.WaitGroup
			evicted  bool
		}
		var bodies []*body
		steps := rapid.IntRange(1, 40).Draw(t, "steps")
		for step := range steps {
			now := begin.Add(time.Duration(step) * time.Second)
			if len(bodies) == 0 || rapid.IntRange(0, 2).Draw(t, "open") == 0 {
				o := &body{progress: step}
				o.charge = b.Open(now, func() {
					o.evicted = true
					o.closing.Go(o.charge.Close)
				})
				bodies = append(bodies, o)
				continue
			}
			i := rapid.IntRange(0, len(bodies)-1).Draw(t, "body")
			o := bodies[i]
			n := rapid.IntRange(1, limit).Draw(t, "bytes")
			err := o.charge.Grow(t.Context(), n, now)
			oldestEvicted, newestEvicted, oldestKept := steps, -1, steps
			kept, used := bodies[:0:0], 0
			if err == nil {
				o.bytes += n
				o.progress = step
			}
			for _, v := range bodies {
				if v.evicted {
					v.closing.Wait()
					oldestEvicted, newestEvicted = min(oldestEvicted, v.progress), max(newestEvicted, v.progress)
					continue
				}
				if v != o && v.bytes > 0 {
					oldestKept = min(oldestKept, v.progress)
				}
				kept, used = append(kept, v), used+v.bytes
			}
			is.True(newestEvicted <= oldestKept)                                              // the stalest give way
			is.True(err == nil || kind(err) == admittance.KindExhausted && o.bytes+n > limit) // others always give way
			is.Equal(b.Used(), used)
			is.True(used <= limit)
			bodies = kept
		}
		for _, o := range bodies {
			o.charge.Close()
			o.charge.Close()
		}
		is.Equal(b.Used(), 0)
	})
}

// A body that waits for room must notice that it has given way itself, and that its request
// has ended.
func TestGrowEndsItsWait(t *testing.T) {
	is := is.New(t)
	b := admittance.NewBudget(10)
	first := b.Open(begin, func() {}) // Gives way, but does not close.
	is.NoErr(first.Grow(t.Context(), 6, begin))
	second := b.Open(begin, func() {})
	is.NoErr(second.Grow(t.Context(), 4, begin.Add(time.Second)))
	errs := make(chan error, 1)
	go func() { errs <- second.Grow(t.Context(), 5, begin.Add(time.Second)) }()
	for !first.Evicted() {
		time.Sleep(time.Millisecond)
	}
	third := b.Open(begin, func() {})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		if kind(<-errs) != admittance.KindEvicted { // first leaves too few bytes.
			t.Error("the second one has not given way")
		}
		cancel()
	}()
	err := third.Grow(ctx, 8, begin.Add(2*time.Second))
	is.Equal(kind(err), admittance.KindExhausted)
	is.True(errors.Is(err, context.Canceled))
	is.True(second.Evicted())
	is.Equal(kind(second.Grow(t.Context(), 1, begin)), admittance.KindEvicted)
	first.Close()
	is.NoErr(third.Grow(t.Context(), 6, begin))
}

// Bodies must be read whole whatever their pieces, within a known amount of memory.
func TestReadBody(t *testing.T) {
	const limit = 262144
	scenarios := []struct {
		testName string
		size     int
		// announced is the announced size, and most the largest charge.
		announced int64
		most      int
		wrap      func(io.Reader) io.Reader
	}{
		{"empty", 0, 0, 1, nil},
		{"ordinary", 2000, 2000, 2001, nil},
		{"ordinary, size unknown", 2000, -1, 4096, nil},
		{"of one buffer, size unknown", 4096, -1, 4096 + 8192, nil},
		{"largest", limit, limit, limit + 1 + limit/2, nil},
		{"largest, size unknown", limit, -1, limit + 1 + limit/2, nil},
		{"largest, byte by byte", limit, limit, limit + 1 + limit/2, iotest.OneByteReader},
		{"end with the last bytes", limit, limit, limit + 1 + limit/2, iotest.DataErrReader},
		{"a small announced size", 5000, 1000, 1001, nil},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			is := is.New(t)
			body := bytes.Repeat([]byte("x"), s.size)
			b := admittance.NewBudget(2 * limit)
			c := b.Open(begin, func() {})
			defer c.Close()
			most := 0
			var r io.Reader = bytes.NewReader(body)
			if s.wrap != nil {
				r = s.wrap(r)
			}
			r = io.TeeReader(r, writerFunc(func(p []byte) (int, error) {
				most = max(most, b.Used())
				return len(p), nil
			}))
			data, err := admittance.ReadBody(t.Context(), r, s.announced, limit, c, func() {})
			is.True(max(most, b.Used()) <= s.most)
			if s.announced >= 0 && int64(s.size) > s.announced {
				is.Equal(err, io.ErrShortBuffer)
				return
			}
			is.NoErr(err)
			is.True(bytes.Equal(data, body))
			is.True(b.Used() <= s.size+4096) // Only the last buffer is in use.
		})
	}
}

type writerFunc func(p []byte) (int, error)

func (f writerFunc) Write(p []byte) (int, error) { return f(p) }

// A body that dribbles must not count as one that makes progress.
func TestSingleBytesAreNoProgress(t *testing.T) {
	is := is.New(t)
	c := admittance.NewBudget(1<<20).Open(begin, func() {})
	defer c.Close()
	touched := 0
	_, err := admittance.ReadBody(t.Context(), iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 4000))), -1, 1<<20, c, func() { touched++ })
	is.NoErr(err)
	is.Equal(touched, 0)
	_, err = admittance.ReadBody(t.Context(), iotest.OneByteReader(strings.NewReader(strings.Repeat("x", 9000))), -1, 1<<20, c, func() { touched++ })
	is.NoErr(err)
	is.Equal(touched, 2)
}
