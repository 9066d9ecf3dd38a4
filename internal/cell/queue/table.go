// Package queue holds the configuration that operators publish: the queues to
// which callers submit jobs, and the services whose workers run the tasks.
package queue

import (
	"strings"
	"sync"
	"time"
)

// Queue accepts jobs and determines how their tasks are scheduled.
type Queue struct {
	Name string
	// Host and Prefix select the requests for this queue by host name and URL
	// path. If several prefixes match, the longest applies.
	Host   string
	Prefix string
	// Service is the name of the service whose workers run the tasks.
	Service string
	// Priority orders queues; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failures of a task after which its job
	// fails; 0 means no limit.
	MaxAttempts int
	// Stretch and Objective define how soon a job should complete: Stretch
	// times the declared run time of its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout is the time within which a caller gets an answer; 0 means no
	// limit.
	Timeout time.Duration
	// Advice is nil if tasks may run on any worker of the service. Otherwise an
	// adviser must be asked which workers a step may use.
	Advice *AdviceCost
}

// AdviceCost describes the requests to an adviser: a service that returns which
// of the given workers may run a step, with a ticket for each of them. A
// request is expected to take Fixed, plus PerWorker for each worker in it.
// Tickets expire after Validity.
type AdviceCost struct {
	Fixed     time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// RequestDuration returns the expected duration of a request to the adviser about a number
// of workers.
func (c *AdviceCost) RequestDuration(workers int) time.Duration {
	return c.Fixed + time.Duration(workers)*c.PerWorker
}

// LateFactor is the multiple of Allowance after which the result of a job has
// no more value to its caller.
const LateFactor = 3

// Allowance returns the time within which a job should complete, given the
// declared run time of its critical path.
func (q *Queue) Allowance(criticalPath time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(criticalPath)) + q.Objective
}

// Service is a pool of workers.
type Service struct {
	Name string
	// ChecksRoom is set when workers refuse tasks that do not fit their free
	// capacity.
	ChecksRoom bool
	// Standby is set when no workers of the service are switched on.
	Standby bool
}

// Table is one version of the configuration.
type Table struct {
	// Version increases with each change.
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBody is the largest size of a request body in bytes; 0 means no limit.
	MaxBody int64
	// Text is the configuration as it was published. Entry VMs pass it on to
	// each other.
	Text []byte

	// indexOnce guards byName and byHost, which are built from Queues on first
	// use. Queues must not change after that.
	indexOnce sync.Once
	byName    map[string]*Queue
	byHost    map[string][]*Queue
}

// buildIndex indexes the queues by name and host, since a configuration may
// have thousands of queues.
func (t *Table) buildIndex() {
	t.byName, t.byHost = make(map[string]*Queue, len(t.Queues)), map[string][]*Queue{}
	for i := range t.Queues {
		q := &t.Queues[i]
		if _, known := t.byName[q.Name]; !known {
			t.byName[q.Name] = q
		}
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
}

// Match returns the queue for a request with this host and path, and the part
// of the path after the prefix of the queue. It returns nil when no queue
// matches.
func (t *Table) Match(host, path string) (*Queue, string) {
	var best *Queue
	t.indexOnce.Do(t.buildIndex)
	for _, q := range t.byHost[host] {
		if !strings.HasPrefix(path, q.Prefix) {
			continue
		}
		if best == nil || len(q.Prefix) > len(best.Prefix) {
			best = q
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, path[len(best.Prefix):]
}

// Queue returns a queue by name, or nil when there is none.
func (t *Table) Queue(name string) *Queue {
	t.indexOnce.Do(t.buildIndex)
	return t.byName[name]
}
