package gate

import (
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// maxAttempts bounds the places that are asked for one request. At 70% load,
// about one peer in eight refuses because its report is outdated.
const maxAttempts = 5

// dispatch makes attempts until one is answered or none is allowed. The error's
// outcome is true for all attempts together.
func (g *Gate) dispatch(j *job) (*http.Response, error) {
	var last error
	for attempt := 0; attempt < maxAttempts; {
		resp, err := g.attempt(j, attempt, last)
		if err == nil {
			return resp, nil
		}
		last = err
		unknown := errkind.Of(err).Answer().Outcome == errkind.OutcomeUnknown
		if unknown && j.mayHaveRun == nil {
			j.mayHaveRun = err
		}
		switch {
		case j.retryable(err, unknown):
			attempt++
		case g.waitForSlot(j, err):
			attempt = max(attempt, 1) // the time waited is the bound here
		default:
			attempt = maxAttempts
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
// be a slot here: when leaving, when attempts at the backend server fail, or,
// for the first attempt, when this backend server is clearly busier.
func (g *Gate) preferredPeer(j *job, s State, n int, again bool) (PeerLoad, bool) {
	switch {
	case j.relayed:
		return PeerLoad{}, false
	case s.Leaving || again || g.failing():
		return lessLoaded(g.peersWithRoom(j))
	case n > 0:
		return PeerLoad{}, false
	}
	return g.relief(j)
}

// overflow relays a request for which there is no slot here.
func (g *Gate) overflow(j *job, full error) (*http.Response, error) {
	if j.relayed {
		return nil, errkind.Wrap(full, errkind.RelayNotPossible, "relayed request")
	}
	if peer, ok := lessLoaded(g.peersWithRoom(j)); ok {
		return g.relay(j, peer)
	}
	return nil, full
}

func (g *Gate) allowRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.Retry() {
		return false
	}
	g.opts.Metrics.Retries.Inc(1)
	return true
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
