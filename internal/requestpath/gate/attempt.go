package gate

import (
	"net/http"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// maxAttempts bounds the attempts for one request. At 70% load, about one peer in
// eight refuses because its load report is outdated.
const maxAttempts = 5

// dispatch makes attempts until one is answered or no further one is allowed. The
// error's outcome covers all attempts together.
func (g *Gate) dispatch(req *request) (*http.Response, error) {
	var lastErr error
	for attempt := 0; attempt < maxAttempts; {
		resp, err := g.attempt(req, attempt, lastErr)
		if err == nil {
			return resp, nil
		}
		lastErr = err
		unknown := errkind.Of(err).Definition().Outcome == errkind.OutcomeUnknown
		if unknown && req.mayHaveRunErr == nil {
			req.mayHaveRunErr = err
		}
		switch {
		case req.isRetryable(err, unknown):
			attempt++
		case g.waitForSlot(req, err):
			attempt = max(attempt, 1) // these attempts are bounded by the waiting time
		default:
			attempt = maxAttempts
		}
	}
	switch {
	case req.mayHaveRunErr != nil:
		return nil, req.mayHaveRunErr
	case errkind.Is(lastErr, errkind.RelayNotPossible) && !req.relayed:
		return nil, errkind.Wrap(lastErr, errkind.BackendFull, "no free slot here or at a peer")
	}
	return nil, lastErr
}

// isRetryable reports whether another attempt may succeed and is safe. A relayed
// request gets one attempt; the agent that relayed it decides on retries.
func (req *request) isRetryable(err error, unknown bool) bool {
	if req.relayed || req.ctx.Err() != nil || !req.isReplayable() || unknown && !req.isIdempotent() {
		return false
	}
	switch errkind.Of(err) {
	case errkind.BackendShed, errkind.BackendLost, errkind.BackendDown, errkind.RelayNotPossible:
		return true
	}
	return false
}

// attempt sends the request once, to the backend server or to a peer. The first
// attempt needs no retry budget. A retry, after the error lastErr, takes from the
// budget and needs another peer, unless the connection was lost. The attempt
// after a peer's refusal takes nothing from the budget, because no backend server
// was involved.
func (g *Gate) attempt(req *request, n int, lastErr error) (*http.Response, error) {
	state := g.opts.State()
	if err := stateError(state); err != nil {
		return nil, err
	}
	isRetry := n > 0 && !errkind.Is(lastErr, errkind.RelayNotPossible) && !errkind.Is(lastErr, errkind.BackendFull)
	peer, ok := g.preferredPeer(req, state, n, isRetry)
	if isRetry && !ok && !errkind.Is(lastErr, errkind.BackendLost) {
		return nil, lastErr
	}
	if isRetry && !g.tryRetry() {
		return nil, errkind.Wrap(lastErr, errkind.RetryBudget, "the retry budget is used up")
	}
	if ok {
		return g.relay(req, peer)
	}
	if state.Leaving {
		return nil, errkind.New(errkind.BackendLeaving, "no peer with free slots")
	}
	resp, err := g.sendToBackend(req)
	if !errkind.Is(err, errkind.BackendFull) {
		return resp, err
	}
	return g.relayOverflow(req, err)
}

// stateError returns an error if the agent must not serve any request in
// its present state.
func stateError(s State) error {
	switch {
	case s.Fenced:
		return errkind.New(errkind.AgentFenced, "the agent was paused for longer than its lease")
	case s.DomainOut:
		return errkind.New(errkind.DomainOut, "the failure domain is out")
	}
	return nil
}

// preferredPeer returns a peer that should get the request although there may be
// a free slot here: when the backend server is leaving, when requests to it fail,
// for a retry, or, for the first attempt, when it is busier than the peers.
func (g *Gate) preferredPeer(req *request, s State, n int, isRetry bool) (PeerLoad, bool) {
	switch {
	case req.relayed:
		return PeerLoad{}, false
	case s.Leaving || isRetry || g.isFailing():
		return pickLessLoaded(g.eligiblePeers(req))
	case n > 0:
		return PeerLoad{}, false
	}
	return g.rebalancePeer(req)
}

// relayOverflow relays a request for which there is no free slot here.
func (g *Gate) relayOverflow(req *request, fullErr error) (*http.Response, error) {
	if req.relayed {
		return nil, errkind.Wrap(fullErr, errkind.RelayNotPossible, "a relayed request is not relayed again")
	}
	if peer, ok := pickLessLoaded(g.eligiblePeers(req)); ok {
		return g.relay(req, peer)
	}
	return nil, fullErr
}

func (g *Gate) tryRetry() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.budget.TryRetry() {
		return false
	}
	g.opts.Metrics.Retries.Inc(1)
	return true
}

// countAttempt counts an attempt, unless the request was relayed to this agent: the
// agent that relayed it has counted it.
func (g *Gate) countAttempt(req *request) {
	if req.relayed {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts++
}
