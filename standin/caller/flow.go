package caller

import (
	"context"
	"errors"
	"strings"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

const (
	keepAlivePeriod = 5 * time.Second
	quicIdleTimeout = 15 * time.Second
)

const noError = quic.ApplicationErrorCode(http3.ErrCodeNoError)

// flow is one QUIC connection with its own HTTP/3 client.
type flow struct {
	id          int
	conn        *quic.Conn
	client      *http3.ClientConn
	retired     atomic.Bool  // takes no new requests
	goAway      atomic.Bool  // a GOAWAY was received
	closing     atomic.Bool  // closed by this caller
	active      atomic.Int64 // requests and feeds without a complete answer
	requestLost atomic.Bool  // an answer or feed was lost because the connection ended
	ended       chan struct{}
}

// pendingDial is a dial that requests wait for. flow and err are set when done is
// closed.
type pendingDial struct {
	done chan struct{}
	flow *flow
	err  error
}

// acquireFlow returns the caller's current flow, and opens one if needed. It waits
// for a dial in progress at most until ctx ends, and starts another if that dial
// fails.
func (c *caller) acquireFlow(ctx context.Context) (*flow, error) {
	for {
		f, dial, started := c.flowOrDial()
		if f != nil {
			return f, nil
		}
		select {
		case <-dial.done:
			if dial.err == nil || started {
				return dial.flow, dial.err
			}
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
}

// flowOrDial returns the current flow if it is usable. Otherwise it returns the dial
// in progress, and whether this call started it.
func (c *caller) flowOrDial() (f *flow, dial *pendingDial, started bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if f := c.usableFlow(); f != nil {
		return f, nil, false
	}
	if c.dialing != nil {
		return nil, c.dialing, false
	}
	dial = &pendingDial{done: make(chan struct{})}
	c.dialing = dial
	c.running.Go(func() { c.runDial(dial) })
	return nil, dial, true
}

// runDial opens a flow. The time limit is that of a request, but counted from the
// start of the dial: with the deadlines of the waiting requests, a dial that takes
// longer than a request would be followed by one for each request that waited, most
// of them with hardly any time left.
func (c *caller) runDial(dial *pendingDial) {
	ctx, cancel := context.WithTimeout(context.Background(), c.load.opts.RequestTimeout+answerGrace)
	defer cancel()
	dial.flow, dial.err = c.dial(ctx)
	c.mu.Lock()
	c.dialing = nil
	c.mu.Unlock()
	close(dial.done)
}

// usableFlow returns the current flow, or nil if it takes no new requests. It is
// called with mu held.
func (c *caller) usableFlow() *flow {
	f := c.current
	if f == nil || f.retired.Load() || f.conn.Context().Err() != nil {
		return nil
	}
	return f
}

// dial opens a flow on a socket of its own, so that the next flow still works if
// the network path has lost its state for an earlier flow.
func (c *caller) dial(ctx context.Context) (*flow, error) {
	tlsConfig := c.load.opts.TLS.Clone()
	tlsConfig.NextProtos = []string{http3.NextProtoH3}
	config := &quic.Config{KeepAlivePeriod: keepAlivePeriod, MaxIdleTimeout: quicIdleTimeout}
	conn, err := quic.DialAddr(ctx, c.service.Address.String(), tlsConfig, config)
	if err != nil {
		c.load.recorder.update(func(l *Ledger) { l.DialFailures++ })
		return nil, err
	}
	f := &flow{
		id:     c.load.recorder.recordFlow(c.id, c.service.Name),
		conn:   conn,
		client: (&http3.Transport{DisableCompression: true}).NewClientConn(conn),
		ended:  make(chan struct{}),
	}
	c.addFlow(f)
	return f, nil
}

func (c *caller) addFlow(f *flow) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.flows == nil {
		c.flows = map[*flow]struct{}{}
	}
	c.current = f
	c.flows[f] = struct{}{}
	go c.recordFlowEnd(f)
}

// recordFlowEnd waits until the flow ends and records how.
func (c *caller) recordFlowEnd(f *flow) {
	defer close(f.ended)
	<-f.conn.Context().Done()
	cause := context.Cause(f.conn.Context())
	reason := f.endReason(cause)
	c.load.recorder.updateFlow(f.id, func(r *Flow) {
		r.EndedAt, r.Reason, r.GoAway = time.Now(), reason, f.goAway.Load()
		if domain, ok := outDomain(cause); ok && r.Domain == "" {
			r.Domain = domain
		}
		if reason.isBreak() {
			r.Detail = cause.Error()
		}
	})
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.flows, f)
}

// domainOutReason begins the reason with which an agent closes the flows of a failure
// domain that is out; the name of the failure domain follows.
const domainOutReason = "failure domain out: "

// outDomain returns the failure domain that the far end names as out in the reason
// for closing a flow.
func outDomain(cause error) (domain string, ok bool) {
	closed, isClosed := errors.AsType[*quic.ApplicationError](cause)
	if !isClosed || !closed.Remote {
		return "", false
	}
	return strings.CutPrefix(closed.ErrorMessage, domainOutReason)
}

func (f *flow) endReason(cause error) Reason {
	if f.closing.Load() {
		return CallerClosed
	}
	if f.endedGracefully(cause) {
		return Graceful
	}
	if _, ok := errors.AsType[*quic.ApplicationError](cause); ok {
		return ApplicationError
	}
	if _, ok := errors.AsType[*quic.IdleTimeoutError](cause); ok {
		return IdleTimeout
	}
	if _, ok := errors.AsType[*quic.StatelessResetError](cause); ok {
		return StatelessReset
	}
	return TransportError
}

// endedGracefully reports whether the connection was closed without an error and
// without interrupting a request or feed. The HTTP/3 client itself closes it with
// that code only after a GOAWAY, once no request is left.
func (f *flow) endedGracefully(cause error) bool {
	closed, ok := errors.AsType[*quic.ApplicationError](cause)
	if !ok || closed.ErrorCode != noError {
		return false
	}
	return !closed.Remote || f.active.Load() == 0 && !f.requestLost.Load()
}

// hasEnded reports whether the connection has ended, given an error of one of its
// streams. The streams return the error that ended the connection before its
// context ends, so after such an error this waits for the context.
func (f *flow) hasEnded(err error) bool {
	if isConnectionError(err) {
		<-f.conn.Context().Done()
	}
	return f.conn.Context().Err() != nil
}

// isConnectionError reports whether err is one that ends a connection.
func isConnectionError(err error) bool {
	if _, ok := errors.AsType[*quic.ApplicationError](err); ok {
		return true
	}
	if _, ok := errors.AsType[*quic.IdleTimeoutError](err); ok {
		return true
	}
	if _, ok := errors.AsType[*quic.StatelessResetError](err); ok {
		return true
	}
	_, ok := errors.AsType[*quic.TransportError](err)
	return ok
}

// hasReceivedGoAway reports whether the far end has announced a graceful shutdown.
// The HTTP/3 client does not expose this, but after a GOAWAY it refuses to open a
// stream on a live connection, so this tries to open one.
func (f *flow) hasReceivedGoAway() bool {
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
	if f.hasEnded(err) {
		return f.endedGracefully(context.Cause(f.conn.Context()))
	}
	return ctx.Err() == nil
}

// retire stops sending new requests on the flow. Its requests and feeds continue.
// Without a GOAWAY, it is closed only after quicIdleTimeout, so that a connection
// that has gone silent is recorded as an idle timeout.
func (c *caller) retire(f *flow, goAway bool) {
	if goAway {
		f.goAway.Store(true)
		c.load.recorder.updateFlow(f.id, func(r *Flow) { r.GoAway = true })
	}
	if f.retired.Swap(true) || goAway {
		return
	}
	time.AfterFunc(quicIdleTimeout+time.Second, func() {
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
