package caller

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	keepAlive   = 5 * time.Second
	idleTimeout = 15 * time.Second
)

const noError = quic.ApplicationErrorCode(http3.ErrCodeNoError)

// flow is one QUIC connection with its own HTTP/3 client.
type flow struct {
	id      int
	conn    *quic.Conn
	client  *http3.ClientConn
	retired atomic.Bool  // no new requests
	goAway  atomic.Bool  // a GOAWAY was seen
	closing atomic.Bool  // closed by this load
	active  atomic.Int64 // requests and feeds without a complete answer
	cut     atomic.Bool  // a request or feed was lost with the connection
	ended   chan struct{}
}

// flow returns the caller's current flow, opening one if needed.
func (c *caller) flow(ctx context.Context) (*flow, error) {
	if f := c.usable(); f != nil {
		return f, nil
	}
	c.dialing.Lock()
	defer c.dialing.Unlock()
	if f := c.usable(); f != nil {
		return f, nil
	}
	return c.dial(ctx)
}

func (c *caller) usable() *flow {
	c.mu.Lock()
	defer c.mu.Unlock()
	f := c.current
	if f == nil || f.retired.Load() || f.conn.Context().Err() != nil {
		return nil
	}
	return f
}

// dial opens a flow on a socket of its own, so that a path that lost track of
// one flow does not affect the next.
func (c *caller) dial(ctx context.Context) (*flow, error) {
	tlsConfig := c.load.opt.TLS.Clone()
	tlsConfig.NextProtos = []string{http3.NextProtoH3}
	config := &quic.Config{KeepAlivePeriod: keepAlive, MaxIdleTimeout: idleTimeout}
	conn, err := quic.DialAddr(ctx, c.service.Address.String(), tlsConfig, config)
	if err != nil {
		c.load.recorder.update(func(l *Ledger) { l.DialFailures++ })
		return nil, err
	}
	f := &flow{
		id:     c.load.recorder.openFlow(c.id, c.service.Name),
		conn:   conn,
		client: (&http3.Transport{DisableCompression: true}).NewClientConn(conn),
		ended:  make(chan struct{}),
	}
	c.adopt(f)
	return f, nil
}

func (c *caller) adopt(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows == nil {
		c.flows = map[*flow]struct{}{}
	}
	c.current = f
	c.flows[f] = struct{}{}
	go c.watch(f)
}

// watch records how the flow ends.
func (c *caller) watch(f *flow) {
	defer close(f.ended)
	<-f.conn.Context().Done()
	cause := context.Cause(f.conn.Context())
	reason := f.reason(cause)
	c.load.recorder.flow(f.id, func(r *Flow) {
		r.EndedAt, r.Reason, r.GoAway = time.Now(), reason, f.goAway.Load()
		if reason.breaks() {
			r.Detail = cause.Error()
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f)
}

func (f *flow) reason(cause error) Reason {
	if f.closing.Load() {
		return CallerClosed
	}
	if f.endedGracefully(cause) {
		return Graceful
	}
	if _, ok := errors.AsType[*quic.ApplicationError](cause); ok {
		return Application
	}
	if _, ok := errors.AsType[*quic.IdleTimeoutError](cause); ok {
		return IdleTimeout
	}
	if _, ok := errors.AsType[*quic.StatelessResetError](cause); ok {
		return StatelessReset
	}
	return TransportFailed
}

// endedGracefully reports whether the connection ended without an error and
// cut nothing off. The HTTP/3 client closes it locally with that code only
// after a GOAWAY, once no request is left.
func (f *flow) endedGracefully(cause error) bool {
	closed, ok := errors.AsType[*quic.ApplicationError](cause)
	if !ok || closed.ErrorCode != noError {
		return false
	}
	return !closed.Remote || f.active.Load() == 0 && !f.cut.Load()
}

// sawGoAway reports whether the far end has announced a graceful shutdown. The
// HTTP/3 client shows this only by refusing to open a stream on a connection
// that lives.
func (f *flow) sawGoAway() bool {
	if f.goAway.Load() {
		return true
	}
	ctx, cancel := context.WithTimeout(f.conn.Context(), time.Second)
	defer cancel()
	stream, err := f.client.OpenRequestStream(ctx)
	if err == nil {
		stream.CancelWrite(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		stream.CancelRead(quic.StreamErrorCode(http3.ErrCodeRequestCanceled))
		return false
	}
	if f.conn.Context().Err() != nil {
		return f.endedGracefully(context.Cause(f.conn.Context()))
	}
	return ctx.Err() == nil
}

// retire sends no more requests on the flow. What goes on there continues. It
// is closed after the time in which a silent connection is noticed, so that a
// silent one is recorded as such.
func (c *caller) retire(f *flow, goAway bool) {
	if goAway {
		f.goAway.Store(true)
		c.load.recorder.flow(f.id, func(r *Flow) { r.GoAway = true })
	}
	if f.retired.Swap(true) || goAway {
		return
	}
	time.AfterFunc(idleTimeout+time.Second, func() {
		if f.active.Load() == 0 {
			f.close()
		}
	})
}

func (f *flow) close() {
	if f.conn.Context().Err() != nil {
		return
	}
	f.closing.Store(true)
	_ = f.conn.CloseWithError(noError, "")
}

func (c *caller) closeFlows() {
	c.mu.Lock()
	open := make([]*flow, 0, len(c.flows))
	for f := range c.flows {
		open = append(open, f)
	}
	c.mu.Unlock()
	for _, f := range open {
		f.close()
		<-f.ended
	}
}
