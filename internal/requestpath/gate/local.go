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

// local sends the request to the own backend server.
func (g *Gate) local(j *job) (*http.Response, error) {
	started := g.opts.Now()
	if err := g.admit(j); err != nil {
		return nil, err
	}
	lease, err := g.pool.Acquire(j.ctx)
	if err != nil {
		g.notSent(j, err, started)
		if j.ctx.Err() != nil {
			return nil, j.cancelled(false, err)
		}
		return nil, err
	}
	g.countAttempt(j)
	resp, err := lease.Do(j.ctx, backendconn.Call{
		Request: j.request(), HeaderOnly: j.feed, BeforeFirstByte: func() error { return g.mayStart(j) },
		Released: func(s admission.Signal) { g.done(admission.Result{Signal: s, AdmittedAt: started}) },
	})
	if err == nil && backendconn.NotRun(resp) {
		io.Copy(io.Discard, io.LimitReader(resp.Body, maxEagerBody))
		resp.Body.Close()
		err = errkind.New(errkind.BackendShed, "the backend server did not run the request")
	}
	if err != nil {
		g.closeFeed(j)
		return nil, j.localError(err)
	}
	if j.feed {
		resp.Body = &closer{ReadCloser: resp.Body, then: sync.OnceFunc(func() { g.closeFeed(j) })}
	}
	return resp, nil
}

// notSent ends an admitted request that got no connection.
func (g *Gate) notSent(j *job, err error, started time.Time) {
	signal := admission.Neutral
	if errkind.Is(err, errkind.BackendDown) {
		signal = admission.Lost
	}
	g.done(admission.Result{Signal: signal, AdmittedAt: started})
	g.closeFeed(j)
}

// closer is a body that calls then when it is closed.
type closer struct {
	io.ReadCloser
	then func()
}

// Close implements io.Closer.
func (c *closer) Close() error {
	defer c.then()
	return c.ReadCloser.Close()
}

// admit takes a slot, and a connection for a feed.
func (g *Gate) admit(j *job) error {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshLimits()
	if g.limits.Slots == 0 {
		return errkind.New(errkind.BackendFull, "no configuration of the service is in force")
	}
	g.average.observe(g.opts.Now(), g.limiter.InProgress())
	if g.limiter.Admit(g.opts.Now()) != admission.Admitted {
		return errkind.New(errkind.BackendFull, "concurrency limit reached")
	}
	if j.feed && g.limiter.OpenFeed() != admission.Admitted {
		g.limiter.Done(g.opts.Now(), admission.Result{Signal: admission.Neutral})
		return errkind.New(errkind.ConnectionsFull, "too many open feeds")
	}
	return nil
}

// done ends an admitted request and lets a waiting one try.
func (g *Gate) done(r admission.Result) {
	g.endRequest(r)
	select {
	case g.freed <- struct{}{}:
	default:
	}
}

func (g *Gate) endRequest(r admission.Result) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.average.observe(g.opts.Now(), g.limiter.InProgress())
	g.limiter.Done(g.opts.Now(), r)
}

func (g *Gate) closeFeed(j *job) {
	if !j.feed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.limiter.CloseFeed()
}

// mayStart is the last check before the first byte reaches the backend server.
func (g *Gate) mayStart(j *job) error {
	if err := refusal(g.opts.State()); err != nil {
		return err
	}
	if j.remaining() <= 0 && !j.feed {
		return errkind.New(errkind.DeadlineNotRun, "deadline passed before the first byte")
	}
	return nil
}

// localError maps a failed exchange to its kind.
func (j *job) localError(err error) error {
	var failed *backendconn.Error
	if !errors.As(err, &failed) {
		return err
	}
	var kinded *errkind.Error
	switch {
	case !failed.Sent && errors.As(failed.Unwrap(), &kinded):
		return kinded
	case j.ctx.Err() != nil:
		return j.cancelled(failed.Sent, err)
	case !failed.Sent:
		return errkind.Wrap(err, errkind.BackendDown, "nothing was sent")
	}
	return errkind.Wrap(err, errkind.BackendLost, "request was sent")
}

// cancelled maps the end of the job's context to its kind. A request that was
// cancelled by its caller gets no answer, so that its kind is unknown.
func (j *job) cancelled(sent bool, err error) error {
	switch {
	case context.Cause(j.ctx) != errDeadline:
		return errkind.Wrap(err, errkind.CallerCancelled, "caller is gone")
	case sent:
		return errkind.Wrap(err, errkind.DeadlineUnknown, "while in progress")
	}
	return errkind.Wrap(err, errkind.DeadlineNotRun, "before the first byte")
}
