package admittance

import (
	"context"
	"errors"
	"io"
	"time"
)

const (
	// firstBufferBytes is the size of the first buffer for a body of unknown size or of more
	// than that. Most bodies fit, so that they are neither copied nor charged again.
	firstBufferBytes = 4096
	// progressBytes is how much of a body must arrive to count as progress. Single bytes do
	// not, so that a body cannot be kept alive by them.
	progressBytes = 4096
)

// ReadBody reads a body to its end. length is the announced size or -1, and limit the largest
// size; the reader must return an error beyond it. Only memory for what has arrived is charged,
// twice as much while a buffer grows. touch is called when the body makes progress.
func ReadBody(ctx context.Context, r io.Reader, length, limit int64, c *Charge, touch func()) ([]byte, error) {
	// One byte more than the body leaves room for the call that returns io.EOF.
	largest := int(limit) + 1
	if length >= 0 {
		largest = int(min(length, limit)) + 1
	}
	size := min(largest, firstBufferBytes)
	if err := c.Grow(ctx, size, time.Now()); err != nil {
		return nil, err
	}
	data, counted := make([]byte, 0, size), 0
	for {
		if len(data) == cap(data) {
			if cap(data) == largest {
				return nil, io.ErrShortBuffer // The reader does not keep to the limit.
			}
			if size = 2 * cap(data); size+size/2 > largest {
				size = largest // One copy less for a body that is a little larger.
			}
			if err := c.Grow(ctx, size, time.Now()); err != nil {
				return nil, err
			}
			data = append(make([]byte, 0, size), data...)
			c.Shrink(len(data)) // The previous buffer was full.
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return nil, err
		}
		if len(data)-counted >= progressBytes {
			counted = len(data)
			c.Touch(time.Now())
			touch()
		}
	}
}
