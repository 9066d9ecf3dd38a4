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

// quickstart is the whole path in one process.
type quickstart struct {
	platform standin.Server
	entries  []*entryVM
	out      io.Writer
	log      netip.AddrPort
	list     netip.AddrPort
	store    *standin.Log
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
	q := &quickstart{out: c.stdout}
	defer q.close()
	if err := q.start(ctx, logs); err != nil {
		return fault.New("quickstart", KindFailed, err)
	}
	if err := q.work(ctx); err != nil {
		return fault.New("quickstart", KindFailed, err)
	}
	return nil
}

func (q *quickstart) close() {
	for _, e := range q.entries {
		_ = e.server.Close()
		e.node.Close()
	}
	q.platform.Close()
}

// start serves the stand-ins and the entry VMs, and publishes the lists.
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
		vms = append(vms, vmlist.VM{Name: w.Name, Role: vmlist.Worker, Domain: w.Domain, Rack: w.Rack, Address: addresses[w.Name]})
	}
	list := standin.NewVMs(vms)
	q.store = standin.NewLog(standin.DefaultRetainedRecords)
	if q.log, err = q.platform.Serve(loopback, q.store.Handler()); err != nil {
		return err
	}
	if q.list, err = q.platform.Serve(loopback, list.Handler()); err != nil {
		return err
	}
	for _, v := range d.Entries() {
		e, err := q.startEntry(v, logs)
		if err != nil {
			return err
		}
		list.Set(vmlist.VM{Name: v.Name, Role: vmlist.Entry, Domain: v.Domain, Address: e.node.PeerAddress()})
	}
	version, err := configuration.Publish(ctx, q.store, 0, "quickstart", d.Lists)
	if err != nil {
		return err
	}
	_, _ = fmt.Fprintf(q.out, "started %d entry VMs and %d workers in %d failure domains; lists in force from offset %d\n", len(q.entries), len(rows), len(d.Domains), version.Offset)
	return q.awaitReady(ctx)
}

func (q *quickstart) startEntry(v deployment.Entry, logs io.Writer) (*entryVM, error) {
	s := settings.Default()
	s.Name, s.Domain, s.Log, s.VMList = v.Name, v.Domain, q.log, q.list
	for _, e := range q.entries {
		s.Seeds = append(s.Seeds, e.node.PeerAddress())
	}
	e, err := startEntry(common.New(s, logs))
	if err == nil {
		q.entries = append(q.entries, e)
	}
	return e, err
}

// readyPoll is the pause between checks.
const readyPoll = 20 * time.Millisecond

func (q *quickstart) awaitReady(ctx context.Context) error {
	for _, e := range q.entries {
		for !e.node.Ready() {
			if ctx.Err() != nil {
				return ctx.Err()
			}
			time.Sleep(readyPoll)
		}
	}
	return nil
}

// example is one kind of work that the customers send.
type example struct {
	title string
	spec  request.Spec
}

func work(plan string, class plan.Class, run time.Duration) request.Spec {
	payload, _ := json.Marshal(standin.Work{RunMilliseconds: run.Milliseconds(), Nonce: plan})
	return request.Spec{
		Plan: plan, Class: class, Kind: plan, Repeatable: true, RunTimeMilliseconds: run.Milliseconds(), Payload: payload,
		Size: resource.Vector{Milliprocessors: 4000, MemoryMebibytes: 8192, Slots: 1, Connections: 1},
	}
}

func (q *quickstart) work(ctx context.Context) error {
	letter := work("letters", plan.Normal, 200*time.Millisecond)
	letter.Repeatable, letter.Key = false, ulid.Make().String()
	examples := []example{
		{"hearthmark, an inspector's snag sort (urgent)", work("snag-sorting", plan.Urgent, 300*time.Millisecond)},
		{"lumiquote, an installer's fixture count (urgent)", work("fixture-counts", plan.Urgent, 200*time.Millisecond)},
		{"hearthmark, a builder letter (not repeatable)", letter},
		{"hearthmark, the same letter sent again", letter},
	}
	for i, x := range examples {
		if err := q.request(ctx, x, q.entries[i%len(q.entries)]); err != nil {
			return err
		}
	}
	quotes := job.Spec{}
	for range 6 {
		quotes.Tasks = append(quotes.Tasks, work("quotes", plan.Overnight, 500*time.Millisecond))
	}
	if err := q.job(ctx, "lumiquote, savings reports (overnight job)", quotes); err != nil {
		return err
	}
	quotes.Gang = true
	if err := q.job(ctx, "lumiquote, recognition over all floors at once (gang)", quotes); err != nil {
		return err
	}
	return q.report(ctx)
}

func (q *quickstart) request(ctx context.Context, x example, e *entryVM) error {
	began := time.Now()
	var o request.Outcome
	if err := exchange(ctx, http.MethodPost, fmt.Sprintf("http://%s/v1/requests", e.address), x.spec, &o); err != nil {
		return err
	}
	if o.State != request.Done || !o.Whole() {
		return fault.Newf("request", KindFailed, "%s: %s %s", x.title, o.State, o.Reason)
	}
	_, _ = fmt.Fprintf(q.out, "%-56s %s after %d ms: %s\n", x.title, o.State, time.Since(began).Milliseconds(), o.Answer)
	return nil
}

func (q *quickstart) job(ctx context.Context, title string, spec job.Spec) error {
	began := time.Now()
	var s job.Status
	base := fmt.Sprintf("http://%s/v1/jobs", q.entries[0].address)
	if err := exchange(ctx, http.MethodPost, base, spec, &s); err != nil {
		return err
	}
	if err := exchange(ctx, http.MethodGet, base+"/"+s.ID+"?wait_milliseconds=20000", nil, &s); err != nil {
		return err
	}
	if s.State != request.Done {
		return fault.Newf("job", KindFailed, "%s: %s, %d of %d tasks", title, s.State, s.Ended, s.Tasks)
	}
	_, _ = fmt.Fprintf(q.out, "%-56s %s after %d ms: %d of %d tasks\n", title, s.State, time.Since(began).Milliseconds(), s.Ended, s.Tasks)
	return nil
}

func (q *quickstart) report(ctx context.Context) error {
	var r report.Report
	if err := exchange(ctx, http.MethodGet, fmt.Sprintf("http://%s/v1/report", q.entries[0].address), nil, &r); err != nil {
		return err
	}
	_, _ = fmt.Fprintln(q.out)
	r.WriteTable(q.out)
	return nil
}

// exchange makes one HTTP call with JSON on both sides.
func exchange(ctx context.Context, method, url string, body, reply any) error {
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
