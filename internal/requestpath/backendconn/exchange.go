package backendconn

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
)

// Error is the error of a failed exchange.
type Error struct {
	// Sent is true if a byte of the request may have reached the backend
	// server.
	Sent bool
	// ConnLost is true if the backend server closed or reset the connection.
	ConnLost bool
	err      error
}

// Error implements error.
func (e *Error) Error() string { return "HTTP exchange with the backend server: " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Lease reserves a connection for one request. It ends with the first call of Do
// or Release.
type Lease struct {
	conn *conn
}

// Release ends the lease without a request.
func (l *Lease) Release() {
	if !l.conn.pool.putIdle(l.conn, true) {
		l.conn.netConn.Close()
	}
}

// Call is a request with the callbacks and options of its exchange.
type Call struct {
	Request *http.Request
	// ReleaseOnHeader releases the slot when the answer's header has arrived.
	ReleaseOnHeader bool
	// BeforeFirstByte is called before any byte is sent; an error stops the request.
	BeforeFirstByte func() error
	// OnRelease is called once, when the request no longer holds a slot at the
	// backend server. This may be after Do has returned an error.
	OnRelease func(admission.Signal)
}

// RequestIDHeader carries a number that differs between the requests of a connection.
// A backend server that repeats it in its answers is protected against late second copies
// of them: an answer with another number is discarded with its connection.
const RequestIDHeader = "Knapweedpier-Request-Id"

// Do sends the request and returns the answer. The answer's body must be
// closed. When ctx ends, the request is cancelled at the backend server and a
// late answer is discarded with its connection. Errors are of type *Error.
func (l *Lease) Do(ctx context.Context, call Call) (*http.Response, error) {
	x := &exchange{ctx: ctx, conn: l.conn, id: l.conn.nextID(), req: call.Request, call: call, result: make(chan readResult, 1), reusable: make(chan bool, 1)}
	if !l.conn.setCurrent(x) {
		l.conn.netConn.Close()
		x.releaseSlot(admission.ConnectionLost)
		return nil, &Error{ConnLost: true, err: errIdleClosed}
	}
	call.Request.Header.Set(RequestIDHeader, x.id)
	x.stopWatchingCtx = context.AfterFunc(ctx, x.abandon)
	if err := x.write(); err != nil {
		return nil, x.endAfterWriteError(err)
	}
	select {
	case r := <-x.result:
		return x.handleResult(r)
	case <-ctx.Done():
		x.abandonUnclaimed()
		return nil, &Error{Sent: true, err: ctx.Err()}
	}
}

// exchange is one request and its answer.
type exchange struct {
	ctx             context.Context
	conn            *conn
	id              string // see RequestIDHeader
	req             *http.Request
	call            Call
	stopWatchingCtx func() bool     // stops the call of abandon at the end of ctx
	result          chan readResult // from the reader goroutine, at most one
	reusable        chan bool       // to the reader goroutine: whether the connection is reusable
	writer          firstByteWriter
	began           atomic.Bool // the first byte was about to be sent

	mu               sync.Mutex
	phase            phase
	released         bool
	signal           admission.Signal
	closeAfterAnswer bool // the connection ends with this answer
	abandoned        bool
}

type readResult struct {
	resp *http.Response
	err  error
}

type phase uint8

const (
	awaitingHeader phase = iota
	readingBody
	ended
)

func (x *exchange) write() error {
	x.writer = firstByteWriter{w: x.conn.netConn, beforeFirstByte: x.call.BeforeFirstByte, began: &x.began}
	x.conn.writer.Reset(&x.writer)
	if err := x.req.Write(x.conn.writer); err != nil {
		return err
	}
	return x.conn.writer.Flush()
}

// endAfterWriteError ends the exchange after a failed write. The connection is
// reused if nothing was written to it.
func (x *exchange) endAfterWriteError(err error) error {
	untouched := x.stopWatchingCtx() && !x.writer.sent && !x.writer.failed
	e := &Error{Sent: x.writer.sent, ConnLost: x.writer.failed && x.ctx.Err() == nil, err: err}
	if x.ctx.Err() != nil {
		e.err = x.ctx.Err()
	}
	switch {
	case untouched:
		x.signal = admission.Neutral
		if !x.returnConn() {
			x.conn.netConn.Close()
		}
	case e.ConnLost:
		x.conn.netConn.Close()
		x.releaseSlot(admission.ConnectionLost)
	case e.Sent:
		x.abandonUnclaimed()
	default:
		x.conn.netConn.Close()
		x.releaseSlot(admission.Neutral)
	}
	return e
}

// handleResult returns the reader goroutine's result, unless ctx has ended.
func (x *exchange) handleResult(r readResult) (*http.Response, error) {
	if r.err != nil {
		x.stopWatchingCtx()
		return nil, &Error{Sent: true, ConnLost: x.ctx.Err() == nil, err: r.err}
	}
	r.resp.Body = &answerBody{src: r.resp.Body, exchange: x}
	if x.ctx.Err() != nil {
		r.resp.Body.Close()
		return nil, &Error{Sent: true, err: x.ctx.Err()}
	}
	return r.resp, nil
}

// readFailed is called by the reader goroutine when no answer can be read.
func (x *exchange) readFailed(err error) {
	x.mu.Lock()
	signal := admission.ConnectionLost
	if x.abandoned {
		signal = admission.Neutral
	}
	x.phase = ended
	x.mu.Unlock()
	x.conn.netConn.Close()
	x.releaseSlot(signal)
	x.result <- readResult{err: err}
}

// deliver is called by the reader goroutine with the answer. It returns when
// the body has been read, and reports whether the connection is reusable.
func (x *exchange) deliver(resp *http.Response) bool {
	if !x.startBody(resp) {
		x.conn.discardUntilClosed()
		x.conn.netConn.Close()
		x.releaseSlot(admission.Neutral)
		return false
	}
	x.result <- readResult{resp: resp}
	return <-x.reusable
}

// startBody starts the phase in which the body is read. It reports false if the
// exchange has been abandoned.
func (x *exchange) startBody(resp *http.Response) bool {
	x.mu.Lock()
	if x.abandoned {
		x.mu.Unlock()
		return false
	}
	x.phase = readingBody
	x.closeAfterAnswer = resp.Close || x.req.Close
	x.signal = admission.Success
	if IsNotRun(resp) {
		x.signal = admission.Shed
	}
	x.mu.Unlock()
	if x.signal == admission.Success {
		x.conn.pool.recordAnswer(x.conn)
	}
	if x.call.ReleaseOnHeader {
		x.releaseSlot(x.signal)
	}
	return true
}

// IsNotRun reports whether the answer declares that the backend server did not
// run the request.
func IsNotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Knapweedpier-Outcome") == string(errkind.OutcomeNotRun)
}

// firstByteWriter calls beforeFirstByte ahead of the first byte and records whether
// a byte was handed to the kernel.
type firstByteWriter struct {
	w               io.Writer
	beforeFirstByte func() error
	began           *atomic.Bool // set before the first byte is sent
	sent            bool
	failed          bool
}

// Write implements io.Writer.
func (f *firstByteWriter) Write(p []byte) (int, error) {
	if !f.sent && f.beforeFirstByte != nil {
		if err := f.beforeFirstByte(); err != nil {
			return 0, err
		}
	}
	f.began.Store(true)
	n, err := f.w.Write(p)
	f.sent = f.sent || n > 0
	f.failed = err != nil
	return n, err
}
