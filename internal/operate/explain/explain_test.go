package explain_test

import (
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/explain"
)

const firstLogText = `time=2026-02-14T03:02:33.500Z level=INFO event=job_accepted vm=a job=0123 queue=mail
time=2026-02-14T03:02:33.100Z level=INFO event=claim_gained vm=a epoch=1
time=2026-02-14T03:02:34.050Z level=INFO event=leader_retired vm=b epoch=1
time=2026-02-14T03:02:34.100Z level=INFO event=claim_gained vm=a epoch=2
not a log line`

const secondLogText = `  1.2 b time=2026-02-14T03:02:33.600Z level=INFO event=start_ordered vm=b task=0123.0.0.0 run=1
  1.2 b time=2026-02-14T03:02:34.600Z level=INFO event=job_completed vm=b job=0123
  1.2 b time=2026-02-14T03:02:34.700Z level=INFO event=job_completed vm=b job=4567`

func TestJobPrintsEventsInOrder(t *testing.T) {
	is := is.New(t)
	var text strings.Builder
	is.NoErr(explain.PrintJobHistory(&text, "0123", []io.Reader{strings.NewReader(secondLogText), strings.NewReader(firstLogText)}))
	is.Equal(text.String(), `  +0.000s event=job_accepted vm=a job=0123 queue=mail
  +0.100s event=start_ordered vm=b task=0123.0.0.0 run=1
  +0.550s event=leader_retired vm=b epoch=1
  +0.600s event=claim_gained vm=a epoch=2
  +1.100s event=job_completed vm=b job=0123
`)
}

func TestJobNotFound(t *testing.T) {
	is := is.New(t)
	err := explain.PrintJobHistory(io.Discard, "89ab", []io.Reader{strings.NewReader(firstLogText)})
	is.Equal(fault.KindOf[explain.Kind](err), explain.KindNotFound)
}
