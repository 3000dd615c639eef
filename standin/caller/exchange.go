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

// Headers between callers and agents.
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
	// answerGrace is how much longer than the deadline a caller waits, so that
	// an answer about the deadline itself arrives.
	answerGrace = 500 * time.Millisecond
	maxPause    = time.Second
	// maxFlowTries bounds the flows tried for one attempt. A flow that refuses
	// because of a GOAWAY has not taken the request.
	maxFlowTries = 3
)

// reply is the outcome of one attempt.
type reply struct {
	outcome         Outcome
	status          int
	header          http.Header
	body            []byte
	backend, domain string
	flow            int
}

// pause returns how long to wait before the next attempt: as long as a refusal
// asks for, within bounds.
func (r reply) pause() time.Duration {
	seconds, err := strconv.Atoi(r.header.Get("Retry-After"))
	if err != nil || r.outcome != NotRun {
		return 0
	}
	return min(max(time.Duration(seconds)*time.Second, 0), maxPause)
}

// request makes the HTTP request of one attempt.
type request func(ctx context.Context) (*http.Request, error)

// attempt sends one request and waits for its complete answer.
func (c *caller) attempt(make request) reply {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.opt.RequestTimeout+answerGrace)
	defer cancel()
	resp, f := c.open(ctx, make)
	if f == nil {
		return reply{outcome: NotSent, flow: NoFlow}
	}
	defer f.active.Add(-1)
	if resp == nil {
		return reply{outcome: Lost, flow: f.id}
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxAnswerBytes))
	if err != nil {
		c.lost(f)
		return reply{outcome: Lost, flow: f.id}
	}
	return c.readAnswer(f, resp, body)
}

// open sends a request on the current flow, or on a new one while flows refuse
// to take it. It returns no flow if none took the request, and no response if
// it was lost. The caller takes 1 from the flow's active count afterwards.
func (c *caller) open(ctx context.Context, make request) (*http.Response, *flow) {
	for range maxFlowTries {
		f, err := c.flow(ctx)
		if err != nil {
			return nil, nil
		}
		f.active.Add(1)
		resp, taken := c.send(ctx, f, make)
		if taken {
			return resp, f
		}
		f.active.Add(-1)
	}
	return nil, nil
}

// send reports whether the flow took the request.
func (c *caller) send(ctx context.Context, f *flow, make request) (resp *http.Response, taken bool) {
	var written atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { written.Store(true) }}
	req, err := make(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return nil, false
	}
	req.Header.Set(headerTimeout, strconv.FormatInt(c.load.opt.RequestTimeout.Milliseconds(), 10))
	resp, err = f.client.RoundTrip(req)
	if err == nil {
		return resp, true
	}
	if ctx.Err() == nil && f.refused(err, written.Load()) {
		c.retire(f, true)
		return nil, false
	}
	c.lost(f)
	return nil, true
}

// refused reports whether err shows that the far end does not process the
// request because of a GOAWAY.
func (f *flow) refused(err error, written bool) bool {
	if stream, ok := errors.AsType[*http3.Error](err); ok {
		return stream.ErrorCode == http3.ErrCodeRequestRejected && f.conn.Context().Err() == nil
	}
	if written {
		return false
	}
	alive := f.conn.Context().Err() == nil
	return alive || f.endedGracefully(context.Cause(f.conn.Context()))
}

// lost retires a flow on which an answer did not arrive: a retry goes to a new
// flow.
func (c *caller) lost(f *flow) {
	if f.conn.Context().Err() != nil {
		f.cut.Store(true)
	}
	c.retire(f, false)
}

// readAnswer reads what the answer says about the request.
func (c *caller) readAnswer(f *flow, resp *http.Response, body []byte) reply {
	r := reply{
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
	c.load.recorder.flow(f.id, func(l *Flow) {
		l.Answers++
		l.Backend, l.Domain = r.backend, r.domain
	})
	return r
}
