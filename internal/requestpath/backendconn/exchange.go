package backendconn

import (
	"context"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
)

// Error is a failed exchange.
type Error struct {
	// Sent is true if a byte of the request may have reached the backend
	// server.
	Sent bool
	// Lost is true if the backend server closed or reset the connection.
	Lost bool
	err  error
}

// Error implements error.
func (e *Error) Error() string { return "exchange with the backend server: " + e.err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.err }

// Lease is the right to send one request over one connection. It ends with
// the first call of Do or Release.
type Lease struct {
	conn *conn
}

// Release gives the lease back without a request.
func (l *Lease) Release() {
	if !l.conn.pool.park(l.conn, true) {
		l.conn.net.Close()
	}
}

// Call is one request with what the caller of Do wants to know.
type Call struct {
	Request *http.Request
	// HeaderOnly frees the slot when the answer's header has arrived.
	HeaderOnly bool
	// BeforeFirstByte may stop the request before any byte is sent.
	BeforeFirstByte func() error
	// Released is called once, when the request no longer holds a slot at the
	// backend server. This may be after Do has returned an error.
	Released func(admission.Signal)
}

// Do sends the request and returns the answer. The answer's body must be
// closed. When ctx ends, the request is cancelled at the backend server and a
// late answer is discarded with its connection. Errors are of type *Error.
func (l *Lease) Do(ctx context.Context, call Call) (*http.Response, error) {
	x := &exchange{ctx: ctx, conn: l.conn, req: call.Request, call: call, answer: make(chan outcome, 1), done: make(chan bool, 1)}
	l.conn.begin(x)
	x.stop = context.AfterFunc(ctx, x.abandon)
	if err := x.write(); err != nil {
		return nil, x.writeFailed(err)
	}
	select {
	case o := <-x.answer:
		return x.received(o)
	case <-ctx.Done():
		x.giveUp()
		return nil, &Error{Sent: true, err: ctx.Err()}
	}
}

// exchange is one request and its answer.
type exchange struct {
	ctx    context.Context
	conn   *conn
	req    *http.Request
	call   Call
	stop   func() bool  // ends the watch of ctx
	answer chan outcome // from the reader goroutine, at most one
	done   chan bool    // to the reader goroutine: whether the connection is reusable
	out    firstByteWriter

	mu        sync.Mutex
	phase     phase
	released  bool
	signal    admission.Signal
	close     bool // the connection ends with this answer
	abandoned bool
}

type outcome struct {
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
	x.out = firstByteWriter{w: x.conn.net, before: x.call.BeforeFirstByte}
	x.conn.out.Reset(&x.out)
	if err := x.req.Write(x.conn.out); err != nil {
		return err
	}
	return x.conn.out.Flush()
}

// writeFailed ends the exchange after a failed write. The connection stays
// usable if it was not touched.
func (x *exchange) writeFailed(err error) error {
	untouched := x.stop() && !x.out.sent && !x.out.failed
	e := &Error{Sent: x.out.sent, Lost: x.out.failed && x.ctx.Err() == nil, err: err}
	if x.ctx.Err() != nil {
		e.err = x.ctx.Err()
	}
	switch {
	case untouched:
		x.signal = admission.Neutral
		if !x.giveBack() {
			x.conn.net.Close()
		}
	case e.Lost:
		x.conn.net.Close()
		x.release(admission.Lost)
	case e.Sent:
		x.giveUp()
	default:
		x.conn.net.Close()
		x.release(admission.Neutral)
	}
	return e
}

// received takes the reader's outcome over, unless the deadline has passed.
func (x *exchange) received(o outcome) (*http.Response, error) {
	if o.err != nil {
		x.stop()
		return nil, &Error{Sent: true, Lost: x.ctx.Err() == nil, err: o.err}
	}
	o.resp.Body = &body{src: o.resp.Body, x: x}
	if x.ctx.Err() != nil {
		o.resp.Body.Close()
		return nil, &Error{Sent: true, err: x.ctx.Err()}
	}
	return o.resp, nil
}

// fail is called by the reader goroutine when no answer can be read.
func (x *exchange) fail(err error) {
	x.mu.Lock()
	signal := admission.Lost
	if x.abandoned {
		signal = admission.Neutral
	}
	x.phase = ended
	x.mu.Unlock()
	x.conn.net.Close()
	x.release(signal)
	x.answer <- outcome{err: err}
}

// deliver is called by the reader goroutine with the answer. It returns when
// the body has been read, and reports whether the connection is reusable.
func (x *exchange) deliver(resp *http.Response) bool {
	if !x.enterBody(resp) {
		x.conn.discard()
		x.conn.net.Close()
		x.release(admission.Neutral)
		return false
	}
	x.answer <- outcome{resp: resp}
	return <-x.done
}

// enterBody starts the body phase, or reports false if the exchange has been
// abandoned.
func (x *exchange) enterBody(resp *http.Response) bool {
	x.mu.Lock()
	if x.abandoned {
		x.mu.Unlock()
		return false
	}
	x.phase = readingBody
	x.close = resp.Close || x.req.Close
	x.signal = admission.Success
	if NotRun(resp) {
		x.signal = admission.Shed
	}
	x.mu.Unlock()
	if x.signal == admission.Success {
		x.conn.pool.prove(x.conn)
	}
	if x.call.HeaderOnly {
		x.release(x.signal)
	}
	return true
}

// NotRun reports whether the backend server says that it did not run the
// request.
func NotRun(resp *http.Response) bool {
	return resp.StatusCode == http.StatusServiceUnavailable &&
		resp.Header.Get("Knapweedpier-Outcome") == string(errkind.OutcomeNotRun)
}

// abandon cancels the request at the backend server. The slot stays taken
// until the backend server closes the connection, at most for cancelHold.
func (x *exchange) abandon() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.abandoned || x.phase == ended {
		return
	}
	x.abandoned = true
	x.conn.net.SetWriteDeadline(past)
	x.conn.closeWrite()
	if x.phase == readingBody {
		x.conn.net.SetReadDeadline(past) // wakes the reader of the body, which then ends the exchange
		return
	}
	x.conn.net.SetReadDeadline(time.Now().Add(cancelHold))
}

// giveUp abandons an exchange whose answer nobody will take. An answer that
// has arrived in the meantime waits in the channel and is closed here: its
// reader goroutine waits for the end of the body.
func (x *exchange) giveUp() {
	x.abandon()
	x.mu.Lock()
	arrived := x.phase == readingBody
	x.mu.Unlock()
	if arrived {
		<-x.answer
		x.finish(false, nil)
	}
}

var past = time.Unix(1, 0)

// release gives the slot back, once.
func (x *exchange) release(s admission.Signal) {
	if x.markReleased() {
		x.conn.pool.free(x.conn)
		x.call.Released(s)
	}
}

// giveBack makes the connection idle and gives the slot back in one step, so
// that the next request finds the connection instead of opening one. It
// reports false if the connection must be closed.
func (x *exchange) giveBack() bool {
	first := x.markReleased()
	kept := x.conn.pool.park(x.conn, !x.close)
	if first {
		x.call.Released(x.signal)
	}
	return kept
}

func (x *exchange) markReleased() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	first := !x.released
	x.released = true
	return first
}

// finish ends the body phase, once.
func (x *exchange) finish(complete bool, err error) {
	x.mu.Lock()
	if x.phase == ended {
		x.mu.Unlock()
		return
	}
	x.phase = ended
	abandoned := x.abandoned
	x.mu.Unlock()
	x.stop()
	switch {
	case complete && !abandoned:
		x.done <- x.giveBack()
	case err != nil && !abandoned:
		x.conn.net.Close()
		x.done <- false
		x.release(admission.Lost)
		x.conn.pool.opts.OnLost(err) // the signal is not seen if the slot was free before
	default:
		go x.drain()
	}
}

// drain waits until the backend server has confirmed the cancellation.
func (x *exchange) drain() {
	x.conn.net.SetReadDeadline(time.Now().Add(cancelHold))
	x.conn.closeWrite()
	x.conn.discard()
	x.conn.net.Close()
	x.done <- false
	x.release(admission.Neutral)
}

// body ends the exchange when it has been read or closed.
type body struct {
	src io.ReadCloser
	x   *exchange
}

// Read implements io.Reader.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.src.Read(p)
	if err == io.EOF {
		b.x.finish(true, nil)
	} else if err != nil {
		b.x.finish(false, err)
	}
	return n, err
}

// Close implements io.Closer.
func (b *body) Close() error {
	b.x.finish(false, nil)
	return nil
}

// firstByteWriter calls before ahead of the first byte and records whether a
// byte was handed to the kernel.
type firstByteWriter struct {
	w      io.Writer
	before func() error
	sent   bool
	failed bool
}

// Write implements io.Writer.
func (f *firstByteWriter) Write(p []byte) (int, error) {
	if !f.sent && f.before != nil {
		if err := f.before(); err != nil {
			return 0, err
		}
	}
	n, err := f.w.Write(p)
	f.sent = f.sent || n > 0
	f.failed = err != nil
	return n, err
}
