// Package explain reconstructs the history of one job from the logs of several
// processes.
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
	// KindNotFound means that no log line contains the job ID.
	KindNotFound Kind = "not_found"
)

// Error is the error type of this package.
type Error = fault.Error[Kind]

// logLine is a log line that contains an event.
type logLine struct {
	loggedAt time.Time
	// text is the rest of the log line from "event=" on.
	text string
}

// maxLineBytes is the maximum length of a log line.
const maxLineBytes = 1 << 20

var timePattern = regexp.MustCompile(`\btime=(\S+)`)

// contextEvents are events that name no job but affect all jobs.
var contextEvents = []string{"claim_gained", "claim_lost", "leader_retired", "take_over_done", "store_lost", "store_regained", "drain_started", "configuration_accepted"}

// PrintJobHistory prints the events of a job in chronological order, with the time since the
// first one. It includes the contextEvents between the first and the last event of
// the job.
func PrintJobHistory(w io.Writer, id string, logs []io.Reader) error {
	var jobLines, contextLines []logLine
	for _, l := range logs {
		if err := collectLogLines(l, id, &jobLines, &contextLines); err != nil {
			return err
		}
	}
	if len(jobLines) == 0 {
		return fault.Newf("explain", KindNotFound, "no log line contains the job ID %q", id)
	}
	byTime := func(a, b logLine) int { return a.loggedAt.Compare(b.loggedAt) }
	slices.SortStableFunc(jobLines, byTime)
	first, last := jobLines[0].loggedAt, jobLines[len(jobLines)-1].loggedAt
	for _, l := range contextLines {
		if !l.loggedAt.Before(first) && !l.loggedAt.After(last) {
			jobLines = append(jobLines, l)
		}
	}
	slices.SortStableFunc(jobLines, byTime)
	for _, l := range jobLines {
		if _, err := fmt.Fprintf(w, "%+8.3fs %s\n", l.loggedAt.Sub(first).Seconds(), l.text); err != nil {
			return err
		}
	}
	return nil
}

// collectLogLines appends the events of the job with the given ID to jobLines and the
// contextEvents to contextLines.
func collectLogLines(r io.Reader, id string, jobLines, contextLines *[]logLine) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Text()
		at, event, ok := parseLogLine(text)
		switch {
		case !ok:
		case strings.Contains(text, id):
			*jobLines = append(*jobLines, logLine{at, event})
		case slices.ContainsFunc(contextEvents, func(name string) bool { return strings.HasPrefix(event, "event="+name+" ") }):
			*contextLines = append(*contextLines, logLine{at, event})
		}
	}
	if err := scanner.Err(); err != nil {
		return fault.New("explain", KindUnreadable, err)
	}
	return nil
}

// parseLogLine returns the time of a log line and its text from "event=" on. ok is false
// when the line lacks either.
func parseLogLine(text string) (at time.Time, event string, ok bool) {
	match := timePattern.FindStringSubmatch(text)
	i := strings.Index(text, "event=")
	if match == nil || i < 0 {
		return at, "", false
	}
	at, err := time.Parse(time.RFC3339Nano, match[1])
	return at, text[i:], err == nil
}
