package measure_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/operate/measure"
)

func TestWritePrintsTheLastValueOfAGauge(t *testing.T) {
	is := is.New(t)
	s := measure.New()
	write := func() string {
		var text strings.Builder
		is.NoErr(s.Write(&text))
		return text.String()
	}
	k := measure.Key{Name: "runs_without_session"}
	s.Set(k, 12)
	s.Set(k, 3)
	is.Equal(write(), "runs_without_session 3\n")
	s.Set(k, 0)
	is.Equal(write(), "runs_without_session 0\n") // 0 is a value.
	s.Unset(k)
	is.Equal(write(), "")
}

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
