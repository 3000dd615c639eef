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
		g.opts.Metrics.RelaysOut.Inc(1)
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
