package measure_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/operate/measure"
)

func TestWritePrintsCountersAndPercentiles(t *testing.T) {
	is := is.New(t)
	s := measure.New()
	s.Count(measure.Key{Name: "jobs_accepted", Label: "mail"})
	s.Count(measure.Key{Name: "jobs_accepted", Label: "mail"})
	s.Observe(measure.Key{Name: "take_over"}, 40*time.Millisecond)
	s.Observe(measure.Key{Name: "take_over"}, 24*time.Hour) // Above the range of the histogram.
	var text strings.Builder
	is.NoErr(s.Write(&text))
	is.True(strings.Contains(text.String(), "jobs_accepted{mail} 2\n"))
	is.True(strings.Contains(text.String(), "take_over_count 2\n"))
	is.True(strings.Contains(text.String(), "take_over_p50_milliseconds 40\n"))
}
