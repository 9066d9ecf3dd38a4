// Package queue holds the configuration that operators publish: the queues to which
// callers submit jobs, and the services whose workers run the tasks of these jobs.
package queue

import (
	"strings"
	"sync"
	"time"

	"github.com/almondpost/almondpost/internal/cell/team"
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
	// Priority orders the queues: jobs of a queue with a lower number are placed
	// first. 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of failed runs of one task after which the whole job
	// fails; 0 means no limit.
	MaxAttempts int
	// Stretch and Objective define the time within which a job should complete:
	// Stretch times the declared run time of its critical path, plus Objective.
	Stretch   float64
	Objective time.Duration
	// Timeout is the time within which a caller gets an answer; 0 means no
	// limit.
	Timeout time.Duration
	// Advice is nil if tasks may run on any worker of the service. Otherwise the
	// scheduler must ask an adviser service which workers a step may use.
	Advice *AdviceCost
	// Public is set when callers need no key of a team. It does not matter for stored jobs,
	// whose definition leaves it out.
	Public bool `json:",omitempty"`
}

// Validate returns what is wrong with the numbers of a queue, or an empty string.
func (q *Queue) Validate() string {
	if q.Service == "" {
		return "there is no service"
	}
	if q.Priority < 0 || q.MaxAttempts < 0 || q.Stretch < 0 || q.Objective < 0 || q.Timeout < 0 {
		return "a number is negative"
	}
	if a := q.Advice; a != nil && (a.Fixed < 0 || a.PerWorker < 0 || a.Validity < 0) {
		return "a duration of advice is negative"
	}
	return ""
}

// AdviceCost describes how long requests to the adviser take. The adviser is a
// service that returns which of the given workers may run a step, with a ticket for
// each of them. A request is expected to take Fixed, plus PerWorker for each worker
// in it. A ticket expires when it is older than Validity.
type AdviceCost struct {
	Fixed     time.Duration
	PerWorker time.Duration
	Validity  time.Duration
}

// RequestDuration returns the time that a request about this number of workers is
// expected to take.
func (c *AdviceCost) RequestDuration(workers int) time.Duration {
	return c.Fixed + time.Duration(workers)*c.PerWorker
}

// AllowancesUntilUseless is the multiple of Allowance after which the result of a job
// is useless to its caller.
const AllowancesUntilUseless = 3

// maxAllowance limits the result of Allowance, so that multiples of it do not overflow.
const maxAllowance = 10 * 365 * 24 * time.Hour

// Allowance returns the time within which a job should complete, from 0 to maxAllowance.
// criticalPath is the declared run time of its critical path.
func (q *Queue) Allowance(criticalPath time.Duration) time.Duration {
	stretched := min(max(q.Stretch*float64(criticalPath), 0), float64(maxAllowance))
	return min(max(time.Duration(stretched)+min(q.Objective, maxAllowance), 0), maxAllowance)
}

// Service is a pool of workers that run tasks for the same queues.
type Service struct {
	Name string
	// ChecksRoom is set when the workers themselves refuse tasks that do not fit into
	// their free capacity.
	ChecksRoom bool
	// Standby is set when all workers of the service are switched off.
	Standby bool
}

// Table is one version of the configuration.
type Table struct {
	// Version is increased with each change of the configuration.
	Version  int64
	Queues   []Queue
	Services map[string]Service
	// Teams holds the teams of the configuration. It is nil or empty if there are none:
	// callers then need no keys, and quotas and shares don't apply.
	Teams *team.Directory
	// MaxBody is the largest size of a request body in bytes; 0 means no limit.
	MaxBody int64
	// MaxHeader is the largest size of the head of a request in bytes; 0 means no limit.
	MaxHeader int64
	// HeaderTimeout is the time within which the head of a request must arrive, and
	// IdleTimeout how long a connection stays open between requests; 0 means no limit.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	// Text is the configuration as the operator published it. Entry VMs pass this
	// text on to each other.
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
