// Package explain tells the life of one job from the logs of many processes.
package explain

import (
	"bufio"
	"fmt"
	"io"
	"regexp"
	"slices"
	"strings"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
)

// Kind classifies the errors of this package.
type Kind string

// The kinds of Error.
const (
	KindUnreadable Kind = "unreadable"
	KindNotFound   Kind = "not_found"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// line is an event that concerns the job.
type line struct {
	at   time.Time
	text string
}

// maxLine bounds a log line, in bytes.
const maxLine = 1 << 20

var timeField = regexp.MustCompile(`\btime=(\S+)`)

// context are events without a job that decide what happens to all.
var context = []string{"claim_gained", "claim_lost", "take_over_done", "store_lost", "store_regained", "drain_started", "configuration_accepted"}

// Job prints the events of a job in the order of time, with the changes of leader,
// store and configuration from its first event to its last.
func Job(w io.Writer, id string, logs []io.Reader) error {
	var own, around []line
	for _, l := range logs {
		if err := read(l, id, &own, &around); err != nil {
			return err
		}
	}
	if len(own) == 0 {
		return fault.Newf("explain", KindNotFound, "no line names %q", id)
	}
	byTime := func(a, b line) int { return a.at.Compare(b.at) }
	slices.SortStableFunc(own, byTime)
	first, last := own[0].at, own[len(own)-1].at
	for _, v := range around {
		if !v.at.Before(first) && !v.at.After(last) {
			own = append(own, v)
		}
	}
	slices.SortStableFunc(own, byTime)
	for _, v := range own {
		if _, err := fmt.Fprintf(w, "%+8.3fs %s\n", v.at.Sub(first).Seconds(), v.text); err != nil {
			return err
		}
	}
	return nil
}

func read(r io.Reader, id string, own, around *[]line) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
	for scanner.Scan() {
		text := scanner.Text()
		at, event, ok := parse(text)
		switch {
		case !ok:
		case strings.Contains(text, id):
			*own = append(*own, line{at, event})
		case slices.ContainsFunc(context, func(name string) bool { return strings.HasPrefix(event, "event="+name+" ") }):
			*around = append(*around, line{at, event})
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.New("explain", KindUnreadable, err)
	}
	return nil
}

// parse finds the time and the event of a line; what stands before them is left
// out.
func parse(text string) (at time.Time, event string, ok bool) {
	m := timeField.FindStringSubmatch(text)
	i := strings.Index(text, "event=")
	if m == nil || i < 0 {
		return at, "", false
	}
	at, err := time.Parse(time.RFC3339Nano, m[1])
	return at, text[i:], err == nil
}
