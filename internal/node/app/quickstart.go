package app

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/examples"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/common"
	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/node/request"
	"github.com/almondpost/almondpost/internal/node/settings"
	"github.com/almondpost/almondpost/internal/operate/deployment"
	"github.com/almondpost/almondpost/internal/operate/report"
	"github.com/almondpost/almondpost/internal/peer/vmlist"
	"github.com/almondpost/almondpost/internal/state/configuration"
	"github.com/almondpost/almondpost/internal/state/job"
	"github.com/almondpost/almondpost/internal/state/plan"
	"github.com/almondpost/almondpost/internal/state/resource"
)

const quickstartTimeout = 25 * time.Second

// quickstart runs a small deployment in one process: stand-ins for the platform
// and the workers, several entry VMs, and example requests and jobs of
// customers.
type quickstart struct {
	platform      standin.ServerGroup
	entryVMs      []*entryVM
	output        io.Writer
	logAddress    netip.AddrPort
	vmListAddress netip.AddrPort
	logService    *standin.Log
}

func runQuickstart(c *invocation) error {
	verbose := c.flags.Bool("verbose", false, "show the logs of the entry VMs")
	if err := c.parse(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), quickstartTimeout)
	defer cancel()
	logs := io.Discard
	if *verbose {
		logs = c.stderr
	}
	q := &quickstart{output: c.stdout}
	defer q.close()
	if err := q.start(ctx, logs); err != nil {
		return fault.New("quickstart", KindFailed, err)
	}
	if err := q.runExamples(ctx); err != nil {
		return fault.New("quickstart", KindFailed, err)
	}
	return nil
}

func (q *quickstart) close() {
	for _, e := range q.entryVMs {
		_ = e.server.Close()
		e.node.Close()
	}
	q.platform.Close()
}

// start starts the stand-ins and the entry VMs, publishes the customer and
// entitlement lists, and waits until every entry VM is ready.
func (q *quickstart) start(ctx context.Context, logs io.Writer) error {
	d, err := deployment.Load(examples.Files, "small")
	if err != nil {
		return err
	}
	loopback := netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), 0)
	var rows []standin.WorkerSettings
	for _, w := range d.Workers() {
		rows = append(rows, standin.WorkerSettings{Name: w.Name, Domain: w.Domain, Rack: w.Rack, Capacity: w.Capacity, Listen: loopback})
	}
	_, addresses, err := standin.NewFleet(&q.platform, rows)
	if err != nil {
		return err
	}
	var vms []vmlist.VM
	for _, w := range rows {
		vms = append(vms, vmlist.VM{Name: w.Name, Role: vmlist.RoleWorker, Domain: w.Domain, Rack: w.Rack, Address: addresses[w.Name]})
	}
	list := standin.NewVMList(vms)
	q.logService = standin.NewLog(standin.DefaultRetainedRecords)
	if q.logAddress, err = q.platform.Serve(loopback, q.logService.Handler()); err != nil {
		return err
	}
	if q.vmListAddress, err = q.platform.Serve(loopback, list.Handler()); err != nil {
		return err
	}
	for _, v := range d.Entries() {
		e, err := q.startEntryVM(v, logs)
		if err != nil {
			return err
		}
		list.Set(vmlist.VM{Name: v.Name, Role: vmlist.RoleEntry, Domain: v.Domain, Address: e.node.PeerAddress()})
	}
	version, err := configuration.Publish(ctx, q.logService, 0, "quickstart", d.Lists)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(q.output, "started %d entry VMs and %d workers in %d failure domains; customer and entitlement lists published at offset %d\n", len(q.entryVMs), len(rows), len(d.Domains), version.Offset)
	return q.awaitReady(ctx)
}

func (q *quickstart) startEntryVM(v deployment.Entry, logs io.Writer) (*entryVM, error) {
	s := settings.Default()
	s.Name, s.Domain, s.Log, s.VMList = v.Name, v.Domain, q.logAddress, q.vmListAddress
	for _, e := range q.entryVMs {
		s.Seeds = append(s.Seeds, e.node.PeerAddress())
	}
	e, err := startEntryVM(common.New(s, logs))
	if err == nil {
		q.entryVMs = append(q.entryVMs, e)
	}
	return e, err
}

// readyPollInterval is the pause between readiness checks.
const readyPollInterval = 20 * time.Millisecond

func (q *quickstart) awaitReady(ctx context.Context) error {
	for _, e := range q.entryVMs {
		for !e.node.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

// exampleRequest is a request of a customer and its title in the output.
type exampleRequest struct {
	title string
	spec  request.Spec
}

// newRequestSpec returns a request under a plan. The stand-in worker runs it for
// the given time.
func newRequestSpec(plan string, class plan.Class, run time.Duration) request.Spec {
	payload, _ := json.Marshal(standin.WorkPayload{RunMilliseconds: run.Milliseconds(), Nonce: plan})
	return request.Spec{
		Plan: plan, Class: class, Kind: plan, Repeatable: true, RunTimeMilliseconds: run.Milliseconds(), Payload: payload,
		Size: resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 8192, Slots: 1, Connections: 1},
	}
}

func (q *quickstart) runExamples(ctx context.Context) error {
	letterSpec := newRequestSpec("letters", plan.Normal, 200*time.Millisecond)
	letterSpec.Repeatable, letterSpec.Key = false, ulid.Make().String()
	requests := []exampleRequest{
		{"hearthmark, an inspector's snag sort (urgent)", newRequestSpec("snag-sorting", plan.Urgent, 300*time.Millisecond)},
		{"lumiquote, an installer's fixture count (urgent)", newRequestSpec("fixture-counts", plan.Urgent, 200*time.Millisecond)},
		{"hearthmark, a builder letter (not repeatable)", letterSpec},
		{"hearthmark, the same letter sent again", letterSpec},
	}
	for i, x := range requests {
		if err := q.runRequest(ctx, x, q.entryVMs[i%len(q.entryVMs)]); err != nil {
			return err
		}
	}
	quotesJob := job.Spec{}
	for range 6 {
		quotesJob.Tasks = append(quotesJob.Tasks, newRequestSpec("quotes", plan.Overnight, 500*time.Millisecond))
	}
	if err := q.runJob(ctx, "lumiquote, savings reports (overnight job)", quotesJob); err != nil {
		return err
	}
	quotesJob.Gang = true
	if err := q.runJob(ctx, "lumiquote, recognition over all floors at once (gang)", quotesJob); err != nil {
		return err
	}
	return q.printReport(ctx)
}

func (q *quickstart) runRequest(ctx context.Context, x exampleRequest, e *entryVM) error {
	began := time.Now()
	var o request.Outcome
	if err := callJSON(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/requests", e.callerAddress), x.spec, &o); err != nil {
		return err
	}
	if o.State != request.Done || !o.IsAnswerIntact() {
		return fault.Newf("request", KindFailed, "%s: state %s, reason %s", x.title, o.State, o.Reason)
	}
	_, _ = fmt.Fprintf(q.output, "%-56s %s after %d ms: %s\n", x.title, o.State, time.Since(began).Milliseconds(), o.Answer)
	return nil
}

func (q *quickstart) runJob(ctx context.Context, title string, spec job.Spec) error {
	began := time.Now()
	var s job.Status
	base := fmt.Sprintf("http://%s/v1/jobs", q.entryVMs[0].callerAddress)
	if err := callJSON(ctx, http.MethodPost, base, spec, &s); err != nil {
		return err
	}
	if err := callJSON(ctx, http.MethodGet, base+"/"+s.ID+"?wait_milliseconds=20000", nil, &s); err != nil {
		return err
	}
	if s.State != request.Done {
		return fault.Newf("job", KindFailed, "%s: state %s, %d of %d tasks ended", title, s.State, s.Ended, s.Tasks)
	}
	_, _ = fmt.Fprintf(q.output, "%-56s %s after %d ms: %d of %d tasks\n", title, s.State, time.Since(began).Milliseconds(), s.Ended, s.Tasks)
	return nil
}

func (q *quickstart) printReport(ctx context.Context) error {
	var r report.Report
	if err := callJSON(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/report", q.entryVMs[0].callerAddress), nil, &r); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(q.output)
	r.WriteTable(q.output)
	return nil
}

// callJSON makes one HTTP call. It sends body as JSON, unless it is nil, and
// decodes the response into reply whatever the status code is.
func callJSON(ctx context.Context, method, url string, body, reply any) error {
	var data []byte
	if body != nil {
		var err error
		if data, err = json.Marshal(body); err != nil {
			return err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return err
	}
	r, err := http.DefaultClient.Do(q)
	if err != nil {
		return err
	}
	defer func() { _ = r.Body.Close() }()
	return json.NewDecoder(r.Body).Decode(reply)
}
