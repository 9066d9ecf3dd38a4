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

// result is what became of a call from its caller's side.
type result string

const (
	answered  result = "answered"
	notRun    result = "not_run"
	cancelled result = "cancelled"
	failed    result = "failed"
	lost      result = "lost"
)

// call is one request from its caller's side.
type call struct {
	group  Group
	sent   time.Time
	ended  time.Time
	result result
	reason string
	// ids are all requests that the caller made for this call.
	ids []string
	// nonce is what the answer has to carry.
	nonce string
}

const (
	// maxResubmissions bounds how often a caller resubmits after its
	// connection broke.
	maxResubmissions = 5
	resubmitPause    = 200 * time.Millisecond
	callTimeout      = 40 * time.Second
	// cancelAfter is when a caller of a cancellation wave cancels.
	cancelAfter = 100 * time.Millisecond
)

var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1024}}

// call makes one request and, when the connection breaks, resubmits it through
// another entry VM as a caller behind a balancer does.
func (r *run) call(ctx context.Context, g Group, seed uint64, cancel bool) call {
	nonce := ulid.Make().String()
	payload, _ := json.Marshal(standin.Work{RunMilliseconds: g.RunTime.Milliseconds(), Nonce: nonce, AnswerBytes: 200})
	s := request.Spec{
		Plan: g.Plan, Class: g.Class, Kind: g.Plan, Size: g.Size, RunTimeMilliseconds: g.RunTime.Milliseconds(),
		DeadlineMilliseconds: g.Deadline.Milliseconds(), Repeatable: g.Repeatable, Payload: payload,
	}
	if !g.Repeatable {
		s.Key = nonce
	}
	c := call{group: g, sent: time.Now(), nonce: nonce, result: lost}
	ctx, stop := context.WithTimeout(ctx, callTimeout)
	defer stop()
	for try := range maxResubmissions {
		e := r.balancer(seed + uint64(try))
		o, err := submitOnce(ctx, e, s, cancel)
		if o.ID != "" {
			c.ids = append(c.ids, o.ID)
		}
		if err == nil {
			c.judge(o)
			break
		}
		c.reason = err.Error()
		time.Sleep(resubmitPause)
	}
	c.ended = time.Now()
	return c
}

// judge turns an outcome into a result. An answer counts only when it is whole
// and the caller's own.
func (c *call) judge(o request.Outcome) {
	c.reason = o.Reason
	switch o.State {
	case request.Done:
		var a standin.WorkAnswer
		if o.Whole() && json.Unmarshal(o.Answer, &a) == nil && a.Nonce == c.nonce {
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

func submitOnce(ctx context.Context, e *cluster.Entry, s request.Spec, cancel bool) (request.Outcome, error) {
	base := fmt.Sprintf("http://%s/v1/requests", e.Caller)
	if !cancel {
		return send(ctx, http.MethodPost, base, s)
	}
	o, err := send(ctx, http.MethodPost, base+"?wait_milliseconds=0", s)
	if err != nil || o.State.Ended() {
		return o, err
	}
	time.Sleep(cancelAfter)
	if _, err := send(ctx, http.MethodDelete, base+"/"+o.ID, nil); err != nil {
		return o, err
	}
	return send(ctx, http.MethodGet, base+"/"+o.ID+"?wait_milliseconds=30000", nil)
}

func send(ctx context.Context, method, url string, body any) (o request.Outcome, err error) {
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
	a, err := callers.Do(q)
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
