package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/backendconn"
)

// sendToBackend sends the request to this agent's backend server.
func (g *Gate) sendToBackend(req *request) (*http.Response, error) {
	started := g.opts.Now()
	if err := g.admit(req); err != nil {
		return nil, err
	}
	lease, err := g.pool.Acquire(req.ctx)
	if err != nil {
		g.endUnsent(req, err, started)
		if req.ctx.Err() != nil {
			return nil, req.cancelledError(false, err)
		}
		return nil, err
	}
	g.countAttempt(req)
	resp, err := lease.Do(req.ctx, backendconn.Call{
		Request: req.outbound(), ReleaseOnHeader: req.feed, BeforeFirstByte: func() error { return g.checkBeforeFirstByte(req) },
		OnRelease: func(s admission.Signal) { g.releaseSlot(admission.Result{Signal: s, AdmittedAt: started}) },
	})
	if err == nil && backendconn.IsNotRun(resp) {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxEagerReadBytes))
		resp.Body.Close()
		err = errkind.New(errkind.BackendShed, "the backend server did not run the request")
	}
	if err != nil {
		g.closeFeed(req)
		return nil, req.localError(err)
	}
	if req.feed {
		resp.Body = &closeHook{ReadCloser: resp.Body, onClose: sync.OnceFunc(func() { g.closeFeed(req) })}
	}
	return resp, nil
}

// endUnsent releases the slot of an admitted request that got no connection.
func (g *Gate) endUnsent(req *request, err error, started time.Time) {
	signal := admission.Neutral
	if errkind.Is(err, errkind.BackendDown) {
		signal = admission.ConnectionLost
	}
	g.releaseSlot(admission.Result{Signal: signal, AdmittedAt: started})
	g.closeFeed(req)
}

// closeHook is a body that calls onClose when it is closed.
type closeHook struct {
	io.ReadCloser
	onClose func()
}

// Close implements io.Closer.
func (c *closeHook) Close() error {
	defer c.onClose()
	return c.ReadCloser.Close()
}

// admit takes a slot and, for a feed, one of the connections that feeds may hold.
func (g *Gate) admit(req *request) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshLimits()
	if g.limits.Slots == 0 {
		return errkind.New(errkind.BackendFull, "no configuration of the service is in force")
	}
	g.averageLoad.observe(g.opts.Now(), g.limiter.InProgress())
	if g.limiter.Admit(g.opts.Now()) != admission.Admitted {
		return errkind.New(errkind.BackendFull, "concurrency limit reached")
	}
	if req.feed && g.limiter.OpenFeed() != admission.Admitted {
		g.limiter.Done(g.opts.Now(), admission.Result{Signal: admission.Neutral})
		return errkind.New(errkind.ConnectionsFull, "too many open feeds")
	}
	return nil
}

// releaseSlot ends an admitted request and wakes a request that waits for a slot.
func (g *Gate) releaseSlot(r admission.Result) {
	g.recordResult(r)
	select {
	case g.slotFreed <- struct{}{}:
	default:
	}
}

func (g *Gate) recordResult(r admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.averageLoad.observe(g.opts.Now(), g.limiter.InProgress())
	g.limiter.Done(g.opts.Now(), r)
}

func (g *Gate) closeFeed(req *request) {
	if !req.feed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.CloseFeed()
}

// checkBeforeFirstByte returns an error if the request must not be sent any more.
func (g *Gate) checkBeforeFirstByte(req *request) error {
	if err := stateError(g.opts.State()); err != nil {
		return err
	}
	if req.remainingMillis() <= 0 && !req.feed {
		return errkind.New(errkind.DeadlineNotRun, "the deadline passed before the first byte")
	}
	return nil
}

// localError maps the error of an exchange with the backend server to an error kind.
func (req *request) localError(err error) error {
	var exchangeErr *backendconn.Error
	if !errors.As(err, &exchangeErr) {
		return err
	}
	var kindErr *errkind.Error
	switch {
	case !exchangeErr.Sent && errors.As(exchangeErr.Unwrap(), &kindErr):
		return kindErr
	case req.ctx.Err() != nil:
		return req.cancelledError(exchangeErr.Sent, err)
	case !exchangeErr.Sent:
		return errkind.Wrap(err, errkind.BackendDown, "no byte of the request was sent")
	}
	return errkind.Wrap(err, errkind.BackendLost, "the connection was lost after the request was sent")
}

// cancelledError maps the end of the request's context to an error kind. A request
// that was cancelled by its caller gets no answer, so that its outcome is
// unknown.
func (req *request) cancelledError(sent bool, err error) error {
	switch {
	case context.Cause(req.ctx) != errDeadline:
		return errkind.Wrap(err, errkind.CallerCancelled, "the caller cancelled the request")
	case sent:
		return errkind.Wrap(err, errkind.DeadlineUnknown, "the deadline passed while the request was in progress")
	}
	return errkind.Wrap(err, errkind.DeadlineNotRun, "the deadline passed before the first byte")
}
