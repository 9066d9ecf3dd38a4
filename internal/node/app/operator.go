package app

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/almondpost/almondpost/internal/node/fault"
	"github.com/almondpost/almondpost/internal/operate/report"
	"github.com/almondpost/almondpost/internal/state/job"
)

// operatorCommandTimeout bounds all HTTP calls that one operator command makes.
const operatorCommandTimeout = 30 * time.Second

// entryAddressFlag adds the flag with the address of an entry VM. The returned
// function returns the base URL of that entry VM; it must be called after the
// flags were parsed.
func entryAddressFlag(c *invocation) func() (string, error) {
	text := c.flags.String("entry", "", "caller address of any entry VM")
	return func() (string, error) {
		a, err := netip.ParseAddrPort(*text)
		if err != nil {
			return "", fault.Newf("flags", KindUsage, "flag entry, value %q: %w", *text, err)
		}
		return "http://" + a.String(), nil
	}
}

func runReport(c *invocation) error {
	entry := entryAddressFlag(c)
	asJSON := c.flags.Bool("json", false, "print JSON")
	svg := c.flags.String("svg", "", "SVG file to write a plot to")
	if err := c.parse(); err != nil {
		return err
	}
	base, err := entry()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCommandTimeout)
	defer cancel()
	var r report.Report
	if err := callJSON(ctx, http.MethodGet, base+"/v1/report", nil, &r); err != nil {
		return fault.New("report", KindFailed, err)
	}
	if *svg != "" {
		if err := writePlot(*svg, r); err != nil {
			return fault.New("report", KindFailed, err)
		}
	}
	if *asJSON {
		return json.NewEncoder(c.stdout).Encode(r)
	}
	r.WriteTable(c.stdout)
	return nil
}

func writePlot(file string, r report.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := r.WriteSVG(f); err != nil {
		_ = f.Close()
		return err
	}
	return f.Close()
}

func showOrCancelJob(c *invocation) error {
	entry := entryAddressFlag(c)
	id := c.flags.String("id", "", "ID of the job")
	cancelJob := c.flags.Bool("cancel", false, "cancel the job")
	if err := c.parse(); err != nil {
		return err
	}
	base, err := entry()
	if err != nil {
		return err
	}
	if *id == "" {
		return fault.Newf("flags", KindUsage, "flag -id is required")
	}
	ctx, cancel := context.WithTimeout(context.Background(), operatorCommandTimeout)
	defer cancel()
	url := base + "/v1/jobs/" + *id
	if *cancelJob {
		q, err := http.NewRequestWithContext(ctx, http.MethodDelete, url, nil)
		if err != nil {
			return fault.New("jobs", KindFailed, err)
		}
		r, err := http.DefaultClient.Do(q)
		if err != nil {
			return fault.New("jobs", KindFailed, err)
		}
		_ = r.Body.Close()
		if r.StatusCode != http.StatusAccepted {
			return fault.Newf("jobs", KindFailed, "cancel: unexpected HTTP status %d", r.StatusCode)
		}
	}
	var s job.Status
	if err := callJSON(ctx, http.MethodGet, url, nil, &s); err != nil {
		return fault.New("jobs", KindFailed, err)
	}
	if s.ID == "" {
		return fault.Newf("jobs", KindFailed, "job %s does not exist", *id)
	}
	_, err = fmt.Fprintf(c.stdout, "id=%s state=%s tasks=%d ended=%d\n", s.ID, s.State, s.Tasks, s.Ended)
	return err
}
