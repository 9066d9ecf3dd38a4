package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/oklog/ulid/v2"

	"github.com/almondpost/almondpost/internal/emulate/cluster"
	"github.com/almondpost/almondpost/internal/emulate/standin"
	"github.com/almondpost/almondpost/internal/node/request"
)

// result is the outcome of a call as its caller saw it.
type result string

// The results of a call.
const (
	// answered means that the caller received its own, complete answer.
	answered result = "answered"
	// notRun means that an entry VM confirmed that the request did not run.
	notRun    result = "not_run"
	cancelled result = "cancelled"
	failed    result = "failed"
	// lost means that the caller learned no final outcome, or that the answer was
	// damaged or not its own.
	lost result = "lost"
)

// call is one request as its caller saw it, including its resubmissions.
type call struct {
	group   RequestGroup
	sentAt  time.Time
	endedAt time.Time
	result  result
	// reason explains a result other than answered.
	reason string
	// requestIDs are the IDs of the request and its resubmissions, in order.
	requestIDs []string
	// nonce must be returned in the answer.
	nonce string
}

const (
	// maxSubmissions is the maximum number of times that a caller submits a request
	// if submissions fail, for example because connections break.
	maxSubmissions = 5
	// resubmitPause is the pause before a resubmission.
	resubmitPause = 200 * time.Millisecond
	// callTimeout limits a call including its resubmissions.
	callTimeout = 40 * time.Second
	// cancelDelay is the time from the submission of a request to its
	// cancellation, for requests that the caller cancels.
	cancelDelay = 100 * time.Millisecond
)

// callerClient is the HTTP client of all simulated callers.
var callerClient = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// makeCall submits one request and returns how it ended. After an error it
// resubmits the request through another entry VM, as a caller behind a load
// balancer does. seed selects the entry VMs. If cancel is set, the request is
// cancelled after cancelDelay.
func (r *scenarioRun) makeCall(ctx context.Context, g RequestGroup, seed uint64, cancel bool) call {
	nonce := ulid.Make().String()
	payload, _ := json.Marshal(standin.WorkPayload{RunMilliseconds: g.RunTime.Milliseconds(), Nonce: nonce, AnswerBytes: 200})
	s := request.Spec{
		Plan: g.Plan, Class: g.Class, Kind: g.Plan, Size: g.Size, RunTimeMilliseconds: g.RunTime.Milliseconds(),
		DeadlineMilliseconds: g.Deadline.Milliseconds(), Repeatable: g.Repeatable, Payload: payload,
	}
	if !g.Repeatable {
		s.Key = nonce
	}
	c := call{group: g, sentAt: time.Now(), nonce: nonce, result: lost}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	for attempt := range maxSubmissions {
		e := r.pickEntryVM(seed + uint64(attempt))
		o, err := submitOnce(ctx, e, s, cancel)
		if o.ID != "" {
			c.requestIDs = append(c.requestIDs, o.ID)
		}
		if err == nil {
			c.setResult(o)
			break
		}
		c.reason = err.Error()
		time.Sleep(resubmitPause)
	}
	c.endedAt = time.Now()
	return c
}

// setResult sets the result according to an outcome. The call counts as answered
// only when the answer is complete and contains the nonce of the call.
func (c *call) setResult(o request.Outcome) {
	c.reason = o.Reason
	switch o.State {
	case request.Done:
		var a standin.WorkAnswer
		if o.IsAnswerIntact() && json.Unmarshal(o.Answer, &a) == nil && a.Nonce == c.nonce {
			c.result = answered
			return
		}
		c.reason = "wrong_answer"
	case request.NotRun:
		c.result = notRun
	case request.Cancelled:
		c.result = cancelled
	case request.Failed:
		c.result = failed
	default:
		c.reason = string(o.State) + ":" + o.Reason
	}
}

// submitOnce submits a request to an entry VM and waits for its outcome. If cancel is
// set, it cancels the request after cancelDelay.
func submitOnce(ctx context.Context, e *cluster.EntryVM, s request.Spec, cancel bool) (request.Outcome, error) {
	base := fmt.Sprintf("http://%s/v1/requests", e.CallerAddress)
	if !cancel {
		return doRequest(ctx, http.MethodPost, base, s)
	}
	o, err := doRequest(ctx, http.MethodPost, base+"?wait_milliseconds=0", s)
	if err != nil || o.State.Ended() {
		return o, err
	}
	time.Sleep(cancelDelay)
	if _, err := doRequest(ctx, http.MethodDelete, base+"/"+o.ID, nil); err != nil {
		return o, err
	}
	return doRequest(ctx, http.MethodGet, base+"/"+o.ID+"?wait_milliseconds=30000", nil)
}

// doRequest sends an HTTP request with a JSON body and decodes the outcome.
func doRequest(ctx context.Context, method, url string, body any) (o request.Outcome, err error) {
	var data []byte
	if body != nil {
		if data, err = json.Marshal(body); err != nil {
			return o, err
		}
	}
	q, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(data))
	if err != nil {
		return o, err
	}
	a, err := callerClient.Do(q)
	if err != nil {
		return o, err
	}
	defer func() { _ = a.Body.Close() }()
	if err := json.NewDecoder(a.Body).Decode(&o); err != nil {
		return o, err
	}
	if o.State == "" {
		return o, fmt.Errorf("status %d without an outcome", a.StatusCode)
	}
	return o, nil
}
