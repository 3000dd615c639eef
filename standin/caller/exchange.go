package caller

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go/http3"
)

// Headers that callers and agents exchange.
const (
	headerOutcome    = "Knapweedpier-Outcome"
	headerBackend    = "Knapweedpier-Backend"
	headerDomain     = "Knapweedpier-Domain"
	headerTicket     = "Knapweedpier-Ticket"
	headerNextTicket = "Knapweedpier-Next-Ticket"
	headerAttempt    = "Knapweedpier-Attempt"
	headerTimeout    = "Knapweedpier-Timeout-Ms"
)

const (
	maxAnswerBytes = 1 << 20
	// answerGrace is how long a caller waits after the deadline of an attempt, so
	// that it receives an answer that reports the missed deadline.
	answerGrace = 500 * time.Millisecond
	// maxRetryDelay bounds the delay that Retry-After can ask for.
	maxRetryDelay = time.Second
	// maxFlowsPerAttempt is the number of flows tried for one attempt. A flow that
	// rejects the request because of a GOAWAY has not processed it.
	maxFlowsPerAttempt = 3
)

// attemptResult is the outcome of one attempt, with the answer if one arrived.
type attemptResult struct {
	outcome         Outcome
	status          int
	header          http.Header
	body            []byte
	backend, domain string
	flow            int
}

// retryDelay returns the delay before the next attempt: the Retry-After of an
// answer with outcome NotRun, at most maxRetryDelay, and otherwise 0.
func (r attemptResult) retryDelay() time.Duration {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil || r.outcome != NotRun {
		return 0
	}
	return min(max(time.Duration(seconds)*time.Second, 0), maxRetryDelay)
}

// newRequestFunc creates the HTTP request of one attempt.
type newRequestFunc func(ctx context.Context) (*http.Request, error)

// attempt sends one request and reads its complete answer.
func (c *caller) attempt(newRequest newRequestFunc) attemptResult {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.opts.RequestTimeout+answerGrace)
	defer cancel()
	resp, f := c.send(ctx, newRequest)
	if f == nil {
		return attemptResult{outcome: NotSent, flow: NoFlow}
	}
	defer f.active.Add(-1)
	if resp == nil {
		return attemptResult{outcome: Lost, flow: f.id}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		c.retireAfterLoss(f, err)
		return attemptResult{outcome: Lost, flow: f.id}
	}
	return c.readAnswer(f, resp, body)
}

// send sends a request on the current flow, or on a new one if a flow rejects it.
// It returns no flow if none accepted the request, and no response if the answer
// was lost. If it returns a flow, its user must decrement the flow's active count
// when it is done with the answer.
func (c *caller) send(ctx context.Context, newRequest newRequestFunc) (*http.Response, *flow) {
	for range maxFlowsPerAttempt {
		f, err := c.acquireFlow(ctx)
		if err != nil {
			return nil, nil
		}
		f.active.Add(1)
		resp, accepted := c.sendOn(ctx, f, newRequest)
		if accepted {
			return resp, f
		}
		f.active.Add(-1)
	}
	return nil, nil
}

// sendOn sends a request on f and returns the response. accepted is false if f did
// not accept the request; the response is nil then, or if the answer was lost.
func (c *caller) sendOn(ctx context.Context, f *flow, newRequest newRequestFunc) (resp *http.Response, accepted bool) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	req, err := newRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, false
	}
	req.Header.Set(headerTimeout, strconv.FormatInt(c.load.opts.RequestTimeout.Milliseconds(), 10))
	resp, err = f.client.RoundTrip(req)
	if err == nil {
		return resp, true
	}
	if ctx.Err() == nil && f.isRejectedByGoAway(err, written.Load()) {
		c.retire(f, true)
		return nil, false
	}
	c.retireAfterLoss(f, err)
	return nil, true
}

// isRejectedByGoAway reports whether err shows that the far end does not process
// the request because of a GOAWAY. written is whether the request headers were
// sent.
func (f *flow) isRejectedByGoAway(err error, written bool) bool {
	if stream, ok := errors.AsType[*http3.Error](err); ok {
		return stream.ErrorCode == http3.ErrCodeRequestRejected && !f.hasEnded(err)
	}
	if written {
		return false
	}
	return !f.hasEnded(err) || f.endedGracefully(context.Cause(f.conn.Context()))
}

// retireAfterLoss retires a flow on which an answer was lost with err, so that a
// retry uses a new flow.
func (c *caller) retireAfterLoss(f *flow, err error) {
	if f.hasEnded(err) {
		f.requestLost.Store(true)
	}
	c.retire(f, false)
}

// readAnswer returns the outcome that an answer reports, and records the answer on
// its flow.
func (c *caller) readAnswer(f *flow, resp *http.Response, body []byte) attemptResult {
	r := attemptResult{
		outcome: Outcome(resp.Header.Get(headerOutcome)),
		status:  resp.StatusCode,
		header:  resp.Header,
		body:    body,
		backend: resp.Header.Get(headerBackend),
		domain:  resp.Header.Get(headerDomain),
		flow:    f.id,
	}
	if resp.StatusCode == http.StatusOK && r.outcome == "" {
		r.outcome = Done
	}
	if r.outcome != Done && r.outcome != NotRun {
		r.outcome = Unknown
	}
	c.load.recorder.updateFlow(f.id, func(l *Flow) {
		l.Answers++
		l.Backend, l.Domain = r.backend, r.domain
	})
	return r
}
