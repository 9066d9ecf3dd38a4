// Package queue holds the configuration that operators publish: the queues that
// take jobs, and the services whose workers run them.
package queue

import (
	"strings"
	"sync"
	"time"
)

// Queue takes the jobs of one kind.
type Queue struct {
	Name string
	// Host and Prefix select the requests for this queue; the longest prefix
	// wins.
	Host   string
	Prefix string
	// Service names the workers that run the tasks.
	Service string
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how often a task may fail; 0 means without limit.
	MaxAttempts int
	// Stretch times the longest chain of work, plus Objective, is the time in
	// which callers want a job completed.
	Stretch   float64
	Objective time.Duration
	// Timeout bounds the answer to a caller; 0 means no bound.
	Timeout time.Duration
	// Advice is nil where every worker of the service may be used.
	Advice *AdviceCost
}

// AdviceCost is how long an adviser takes, and how long its tickets are good.
type AdviceCost struct {
	Fixed     time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// Of returns the time that one question takes.
func (c *AdviceCost) Of(workers int) time.Duration {
	return c.Fixed + time.Duration(workers)*c.PerWorker
}

// LateFactor times the objective is when a result has lost its worth.
const LateFactor = 3

// Allowance returns in which time a job with a chain of work should complete.
func (q *Queue) Allowance(chain time.Duration) time.Duration {
	return time.Duration(q.Stretch*float64(chain)) + q.Objective
}

// Service is a pool of workers.
type Service struct {
	Name string
	// ChecksRoom tells that workers refuse what does not fit.
	ChecksRoom bool
	// Standby services have no workers switched on.
	Standby bool
}

// Table is one version of the configuration.
type Table struct {
	// Version rises with each change.
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// MaxBody bounds the bodies of requests, in bytes; 0 means no bound.
	MaxBody int64
	// Text is the configuration as published, for handing on to other VMs.
	Text []byte

	// indexed guards byName and byHost, which are made of Queues on first use; Queues
	// must not change then.
	indexed sync.Once
	byName  map[string]*Queue
	byHost  map[string][]*Queue
}

// index sorts the queues by name and host: a configuration may have thousands.
func (t *Table) index() {
	t.byName, t.byHost = make(map[string]*Queue, len(t.Queues)), map[string][]*Queue{}
	for i := range t.Queues {
		q := &t.Queues[i]
		if _, known := t.byName[q.Name]; !known {
			t.byName[q.Name] = q
		}
		t.byHost[q.Host] = append(t.byHost[q.Host], q)
	}
}

// Match returns the queue for a request and the rest of its path, or nil.
func (t *Table) Match(host, path string) (*Queue, string) {
	var best *Queue
	t.indexed.Do(t.index)
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

// Queue returns a queue by name, or nil.
func (t *Table) Queue(name string) *Queue {
	t.indexed.Do(t.index)
	return t.byName[name]
}
