package gate

import (
	"maps"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

const (
	// smoothing is the time constant of the load that peers compare. Reports
	// are up to 100 ms old, which is several service times: acting on
	// instantaneous values sends everyone to the peer that was idle.
	smoothing = 200 * time.Millisecond
	// relayGain is the share of requests relayed for each unit of relative
	// excess over the mean of the peers. It is above 1 because the excess is
	// measured after relaying: with 4, a flow share of 1.6 times the mean leaves
	// an imbalance of 1.09.
	relayGain = 4
	// refusalHold is how long a peer that refused a relayed request is not asked
	// again. Without it, refused relays multiply when hosts are short of CPU,
	// which keeps them short.
	refusalHold = 10 * time.Millisecond
)

// average is a time-weighted moving average of a piecewise constant value.
type average struct {
	value float64
	at    time.Time
}

// observe takes over that the value was held since the last call.
func (a *average) observe(now time.Time, held int) {
	if now.After(a.at) {
		a.value += (float64(held) - a.value) * (1 - math.Exp(-float64(now.Sub(a.at))/float64(smoothing)))
		a.at = now
	}
}

// peersWithRoom returns the peers that may take a request of j. A feed is never
// relayed: it would end with the peer's failure domain, or with the peer's
// host, although its flow does not depend on them.
func (g *Gate) peersWithRoom(j *job) []PeerLoad {
	if g.opts.Policy == Baseline || j.feed {
		return nil
	}
	candidates, now := g.opts.Peers.Candidates(), g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(candidates, func(p PeerLoad) bool {
		return p.Leaving || p.InProgress >= p.Limit || g.relayed[p.Peer] >= p.Limit ||
			now.Before(g.refusedUntil[p.Peer]) || slices.Contains(j.tried, p.Peer)
	})
}

// holdPeer records that a peer refused a relayed request. Holds that are over
// are dropped when the map has grown, so that peers that left are forgotten.
func (g *Gate) holdPeer(peer netip.AddrPort) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.refusedUntil) >= maxHeldPeers {
		maps.DeleteFunc(g.refusedUntil, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	}
	g.refusedUntil[peer] = now.Add(refusalHold)
}

// maxHeldPeers is the number of held peers at which ended holds are dropped.
const maxHeldPeers = 64

// lessLoaded returns the less loaded of two random peers.
func lessLoaded(peers []PeerLoad) (PeerLoad, bool) {
	if len(peers) == 0 {
		return PeerLoad{}, false
	}
	a, b := peers[rand.IntN(len(peers))], peers[rand.IntN(len(peers))]
	if b.InProgress < a.InProgress {
		return b, true
	}
	return a, true
}

// relief returns a peer for a request that could run here, with a probability
// that grows with the excess of the own load over the peers' mean.
func (g *Gate) relief(j *job) (PeerLoad, bool) {
	own := g.smoothedLoad()
	peers := g.peersWithRoom(j)
	if len(peers) == 0 || own < 1 {
		return PeerLoad{}, false
	}
	sum := own
	for _, p := range peers {
		sum += float64(p.InProgress)
	}
	excess := own/(sum/float64(len(peers)+1)) - 1
	if rand.Float64() >= relayGain*excess {
		return PeerLoad{}, false
	}
	return lessLoaded(slices.DeleteFunc(peers, func(p PeerLoad) bool { return float64(p.InProgress) >= own }))
}

// smoothedLoad returns the moving average of requests in progress.
func (g *Gate) smoothedLoad() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.average.observe(g.opts.Now(), g.limiter.InProgress())
	return g.average.value
}

// markTried excludes a peer from further attempts of j.
func (j *job) markTried(peer netip.AddrPort) { j.tried = append(j.tried, peer) }
