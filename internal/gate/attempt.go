package gate

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/admission"
	"github.com/knapweedpier/knapweedpier/internal/backendconn"
	"github.com/knapweedpier/knapweedpier/internal/errkind"
	"github.com/knapweedpier/knapweedpier/internal/event"
)

// maxAttempts bounds the places that are asked for one request. At 70% load,
// about one peer in eight refuses because its report is outdated.
const maxAttempts = 5

// dispatch makes attempts until one is answered or none is allowed. The error's
// outcome is true for all attempts together.
func (g *Gate) dispatch(j *job) (*http.Response, error) {
	var last error
	for attempt := range maxAttempts {
		resp, err := g.attempt(j, attempt, last)
		if err == nil {
			return resp, nil
		}
		last = err
		unknown := errkind.Of(err).Answer().Outcome == errkind.OutcomeUnknown
		if unknown && j.mayHaveRun == nil {
			j.mayHaveRun = err
		}
		if !j.retryable(err, unknown) && !g.waitForSlot(j, err) {
			break
		}
	}
	switch {
	case j.mayHaveRun != nil:
		return nil, j.mayHaveRun
	case errkind.Is(last, errkind.RelayNotPossible) && !j.relayed:
		return nil, errkind.Wrap(last, errkind.BackendFull, "no peer had room")
	}
	return nil, last
}

// retryable reports whether another attempt may help and is safe. A relayed
// request is tried once; the agent that relayed it decides about more.
func (j *job) retryable(err error, unknown bool) bool {
	if j.relayed || j.ctx.Err() != nil || !j.replayable() || unknown && !j.idempotent() {
		return false
	}
	switch errkind.Of(err) {
	case errkind.BackendShed, errkind.BackendLost, errkind.BackendDown, errkind.RelayNotPossible:
		return true
	}
	return false
}

// attempt places the request once. The first attempt counts as the request
// itself; another one, after the error last, needs a place that may do better
// and the retry budget. A peer's refusal cost no backend server anything, so
// that the attempt after it is not charged to the budget.
func (g *Gate) attempt(j *job, n int, last error) (*http.Response, error) {
	state := g.opts.State()
	if err := refusal(state); err != nil {
		return nil, err
	}
	again := n > 0 && !errkind.Is(last, errkind.RelayNotPossible) && !errkind.Is(last, errkind.BackendFull)
	peer, ok := g.preferredPeer(j, state, n, again)
	if again && !ok && !errkind.Is(last, errkind.BackendLost) {
		return nil, last
	}
	if again && !g.allowRetry() {
		return nil, errkind.Wrap(last, errkind.RetryBudget, "no retry is allowed now")
	}
	if ok {
		return g.relay(j, peer)
	}
	if state.Leaving {
		return nil, errkind.New(errkind.BackendLeaving, "no peer has room")
	}
	resp, err := g.local(j)
	if !errkind.Is(err, errkind.BackendFull) {
		return resp, err
	}
	return g.overflow(j, err)
}

// refusal returns why the agent may not act at all.
func refusal(s State) error {
	switch {
	case s.Fenced:
		return errkind.New(errkind.AgentFenced, "paused longer than the lease")
	case s.DomainOut:
		return errkind.New(errkind.DomainOut, "failure domain is out")
	}
	return nil
}

// preferredPeer returns a peer that should get the request although there may
// be a slot here: when leaving, when attempts at the backend server fail, or, for the first attempt, when this backend server is clearly busier.
func (g *Gate) preferredPeer(j *job, s State, n int, again bool) (PeerLoad, bool) {
	switch {
	case j.relayed:
		return PeerLoad{}, false
	case s.Leaving || again || g.failing():
		return lessLoaded(g.peersWithRoom(j))
	case n > 0 || j.feed:
		return PeerLoad{}, false
	}
	return g.relief(j)
}

// overflow relays a request for which there is no slot here.
func (g *Gate) overflow(j *job, full error) (*http.Response, error) {
	if j.relayed {
		return nil, errkind.Wrap(full, errkind.RelayNotPossible, "relayed request")
	}
	if j.feed && !j.mayRelay {
		return nil, full
	}
	if peer, ok := lessLoaded(g.peersWithRoom(j)); ok {
		return g.relay(j, peer)
	}
	return nil, full
}

func (g *Gate) allowRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.budget.Retry()
}

// countAttempt counts an attempt, unless the agent that relayed the request
// has counted it.
func (g *Gate) countAttempt(j *job) {
	if j.relayed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts++
}

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

// relay sends the request to a peer's backend server.
func (g *Gate) relay(j *job, peer PeerLoad) (*http.Response, error) {
	if err := j.keepBody(); err != nil {
		return nil, err
	}
	r := j.request()
	return g.sendToPeer(j, peer.Peer, r)
}

func (g *Gate) sendToPeer(j *job, peer netip.AddrPort, r *http.Request) (*http.Response, error) {
	if err := g.mayStart(j); err != nil {
		return nil, err
	}
	r.Header.Set(RelayedHeader, "1")
	r.Header.Set(TimeoutHeader, strconv.FormatInt(max(j.remaining(), 0), 10))
	j.markTried(peer)
	g.countRelay(peer, 1)
	resp, err := g.opts.Peers.Relay(j.ctx, peer, r)
	if err != nil {
		g.countRelay(peer, -1)
		g.opts.Log.Failure(event.RelayFailed, err, event.Fields{"peer": peer.String()})
		return nil, j.relayError(err)
	}
	if j.feed {
		g.countRelay(peer, -1)
	} else {
		resp.Body = &closer{ReadCloser: resp.Body, then: sync.OnceFunc(func() { g.countRelay(peer, -1) })}
	}
	if err := refusedByPeer(resp); err != nil {
		g.uncount(err)
		g.holdPeer(peer)
		return nil, err
	}
	return resp, nil
}

// uncount takes an attempt back that reached no backend server.
func (g *Gate) uncount(err error) {
	if !errkind.Is(err, errkind.RelayNotPossible) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts--
}

func (g *Gate) countRelay(peer netip.AddrPort, delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delta > 0 {
		g.attempts++
	}
	g.relayed[peer] += delta
	if g.relayed[peer] == 0 {
		delete(g.relayed, peer)
	}
}

func (j *job) relayError(err error) error {
	switch {
	case errkind.Is(err, errkind.PeerDown):
		return errkind.Wrap(err, errkind.BackendDown, "peer cannot be reached")
	case j.ctx.Err() != nil:
		return j.cancelled(true, err)
	}
	return errkind.Wrap(err, errkind.BackendLost, "relay was interrupted")
}

// reachedBackend lists the refusals that a peer made after an attempt at its
// backend server.
var reachedBackend = []errkind.Kind{errkind.BackendShed, errkind.BackendDown, errkind.DeadlineNotRun}

// refusedByPeer turns a peer's refusal into an error, so that another attempt
// can be made: RelayNotPossible if the peer refused without an attempt. Other
// answers are passed on as they are.
func refusedByPeer(resp *http.Response) error {
	name := resp.Header.Get(ErrorHeader)
	if resp.Header.Get(OutcomeHeader) != string(errkind.OutcomeNotRun) || name == "" {
		return nil
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxEagerBody))
	resp.Body.Close()
	if slices.ContainsFunc(reachedBackend, func(k errkind.Kind) bool { return k.String() == name }) {
		return errkind.New(errkind.BackendShed, "refused by the peer: "+name)
	}
	return errkind.New(errkind.RelayNotPossible, "refused by the peer: "+name)
}
