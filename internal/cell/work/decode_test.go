package work_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/almondpost/almondpost/internal/cell/work"
)

// A leader restores steps and tasks by the indexes in the progress records. An index below
// 0 would end the process, and so would every later leader.
func TestOddProgressIsMalformed(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		ok       bool
	}{
		{"as a leader writes it", `{"state":"running","started":true,"steps":[{"occurrence":1,"step":2,"tasks":[{"i":3,"run":4,"failed":[1,2],"worker":"i-1","born":5,"checkpoint":"ck"}]}]}`, true},
		{"ended", `{"state":"completed","started":true,"ended":1800000000000}`, true},
		{"occurrence below 0", `{"state":"running","steps":[{"occurrence":-1}]}`, false},
		{"step below 0", `{"state":"running","steps":[{"step":-1}]}`, false},
		{"orphaned run", `{"state":"running","orphaned":[{"step":1,"i":2,"run":3,"worker":"i-1","born":5}]}`, true},
		{"orphaned run of a step below 0", `{"state":"running","orphaned":[{"step":-1,"worker":"i-1"}]}`, false},
		{"orphaned run on no worker", `{"state":"running","orphaned":[{"run":1}]}`, false},
		{"task below 0", `{"state":"running","steps":[{"tasks":[{"i":-1}]}]}`, false},
		{"run 2^63-1", `{"state":"running","steps":[{"tasks":[{"run":9223372036854775807}]}]}`, false},
		{"run below 0", `{"state":"running","steps":[{"tasks":[{"run":-1}]}]}`, false},
		{"step 1e30", `{"state":"running","steps":[{"step":1e30}]}`, false},
		{"unknown state", `{"state":"resting"}`, false},
		{"no state", `{"steps":[{"step":1}]}`, false},
		{"renewal of a claim", `{"state":""}`, true},
		{"not JSON", "[\xff", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := work.Decode[work.Progress]([]byte(s.text))
			is.New(t).Equal(err == nil, s.ok)
		})
	}
}

// The scheduler relies on what Validate checks when a job is submitted.
func TestOddJobIsMalformed(t *testing.T) {
	scenarios := []struct {
		testName string
		text     string
		ok       bool
	}{
		{"as an entry VM writes it", `{"id":"j","queue":"q","steps":[{"count":2,"size":{"milliprocessors":1,"memory_mebibytes":1,"slots":0,"connections":0}},{"count":1,"after":[0]}],"accepted":"2026-12-05T00:00:00Z"}`, true},
		{"no ID", `{"queue":"q","steps":[{"count":1}]}`, false},
		{"no steps", `{"id":"j"}`, false},
		{"2^62 tasks", `{"id":"j","steps":[{"count":4611686018427387904},{"count":4611686018427387904}]}`, false},
		{"1 and 2^63-1 tasks", `{"id":"j","steps":[{"count":1},{"count":9223372036854775807}]}`, false},
		{"tasks below 0", `{"id":"j","steps":[{"count":-1}]}`, false},
		{"size of 2^63-1", `{"id":"j","steps":[{"count":1,"size":{"milliprocessors":9223372036854775807}}]}`, false},
		{"dependency below 0", `{"id":"j","steps":[{"count":1},{"count":1,"after":[-1]}]}`, false},
		{"dependency on a later step", `{"id":"j","steps":[{"count":1,"after":[1]},{"count":1}]}`, false},
		{"no occurrence", `{"id":"j","steps":[{"count":1}],"repeat":{"count":-1,"start":"2026-12-05T00:00:00Z"}}`, false},
		{"year 99999", `{"id":"j","steps":[{"count":1}],"accepted":"99999-12-05T00:00:00Z"}`, false},
		{"null", `null`, false},
		{"not JSON", "[\xff", false},
	}
	for _, s := range scenarios {
		t.Run(s.testName, func(t *testing.T) {
			_, err := work.Decode[work.Job]([]byte(s.text))
			is.New(t).Equal(err == nil, s.ok)
		})
	}
}
