package gate

import (
	"io"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// relay sends the request to a peer, which sends it to its backend server.
func (g *Gate) relay(req *request, peer PeerLoad) (*http.Response, error) {
	if err := req.bufferWholeBody(); err != nil {
		return nil, err
	}
	r := req.outbound()
	return g.sendToPeer(req, peer.RelayAddress, r)
}

func (g *Gate) sendToPeer(req *request, peer netip.AddrPort, r *http.Request) (*http.Response, error) {
	if err := g.checkBeforeFirstByte(req); err != nil {
		return nil, err
	}
	r.Header.Set(RelayedHeader, "1")
	r.Header.Set(TimeoutHeader, strconv.FormatInt(max(req.remainingMillis(), 0), 10))
	req.markTried(peer)
	g.addRelays(peer, 1)
	resp, err := g.opts.Peers.Relay(req.ctx, peer, r)
	if err != nil {
		g.addRelays(peer, -1)
		g.opts.Log.EmitError(event.RelayFailed, err, event.Fields{"peer": peer.String()})
		return nil, req.relayError(err)
	}
	if req.feed {
		g.addRelays(peer, -1)
	} else {
		resp.Body = &closeHook{ReadCloser: resp.Body, onClose: sync.OnceFunc(func() { g.addRelays(peer, -1) })}
	}
	if err := peerRefusalError(resp); err != nil {
		g.uncountRefusedAttempt(err)
		g.backOffFromPeer(peer)
		return nil, err
	}
	return resp, nil
}

// uncountRefusedAttempt takes back the count of an attempt that a peer
// refused before it reached a backend server.
func (g *Gate) uncountRefusedAttempt(err error) {
	if !errkind.Is(err, errkind.RelayNotPossible) {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.attempts--
}

// addRelays adds delta to the number of relays to a peer in progress. A new relay
// is also counted as an attempt.
func (g *Gate) addRelays(peer netip.AddrPort, delta int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if delta > 0 {
		g.attempts++
		g.opts.Metrics.RelaysOut.Inc(1)
	}
	g.relaysInProgress[peer] += delta
	if g.relaysInProgress[peer] == 0 {
		delete(g.relaysInProgress, peer)
	}
}

// meansNotRun reports whether an error of Peers.Relay means that the request did
// not run.
func meansNotRun(err error) bool {
	return errkind.Is(err, errkind.PeerDown) || errkind.Is(err, errkind.PeerUnauthorized)
}

func (req *request) relayError(err error) error {
	switch {
	case meansNotRun(err):
		return errkind.Wrap(err, errkind.BackendDown, "the peer cannot be reached")
	case req.ctx.Err() != nil:
		return req.cancelledError(true, err)
	}
	return errkind.Wrap(err, errkind.BackendLost, "the relay was interrupted")
}

// kindsAfterBackendAttempt lists the kinds with which a peer refuses after an
// attempt at its backend server.
var kindsAfterBackendAttempt = []errkind.Kind{errkind.BackendShed, errkind.BackendDown, errkind.DeadlineNotRun}

// peerRefusalError returns a peer's not-run refusal as an error, so that another
// attempt can be made: RelayNotPossible if the peer refused without an attempt,
// else BackendShed. It returns nil for other answers, which are passed on
// unchanged.
func peerRefusalError(resp *http.Response) error {
	name := resp.Header.Get(ErrorHeader)
	if resp.Header.Get(OutcomeHeader) != string(errkind.OutcomeNotRun) || name == "" {
		return nil
	}
	io.Copy(io.Discard, io.LimitReader(resp.Body, maxEagerReadBytes))
	resp.Body.Close()
	if slices.ContainsFunc(kindsAfterBackendAttempt, func(kind errkind.Kind) bool { return kind.String() == name }) {
		return errkind.New(errkind.BackendShed, "refused by the peer: "+name)
	}
	return errkind.New(errkind.RelayNotPossible, "refused by the peer: "+name)
}
