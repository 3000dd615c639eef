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
	// loadTimeConstant is the time constant of the smoothed load that agents
	// compare. Reports are up to 100 ms old, which is several service times: acting
	// on instantaneous values sends all agents' requests to the peer that was idle.
	loadTimeConstant = 200 * time.Millisecond
	// relayGain is the share of requests relayed for each unit of relative
	// excess over the mean of the peers. It is above 1 because the excess is
	// measured after relaying: with 4, a flow share of 1.6 times the mean leaves
	// an imbalance of 1.09.
	relayGain = 4
	// refusalBackoff is how long a peer that refused a relayed request gets no other
	// one. Without it, refused relays multiply when hosts are short of CPU, and use
	// the CPU that is short.
	refusalBackoff = 10 * time.Millisecond
)

// movingAverage is a time-weighted moving average of a piecewise constant value.
type movingAverage struct {
	value     float64
	updatedAt time.Time
}

// observe adds the period since the last call, in which the value was current, to the
// average.
func (a *movingAverage) observe(now time.Time, current int) {
	if now.After(a.updatedAt) {
		a.value += (float64(current) - a.value) * (1 - math.Exp(-float64(now.Sub(a.updatedAt))/float64(loadTimeConstant)))
		a.updatedAt = now
	}
}

// eligiblePeers returns the peers to which req may be relayed. A feed is never
// relayed: it would end when the peer's failure domain or host fails, although
// its flow does not depend on them.
func (g *Gate) eligiblePeers(req *request) []PeerLoad {
	if g.opts.Policy == PolicyBaseline || req.feed {
		return nil
	}
	candidates, now := g.opts.Peers.Candidates(), g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	return slices.DeleteFunc(candidates, func(p PeerLoad) bool {
		return p.Leaving || p.InProgress >= p.Limit || g.relaysInProgress[p.RelayAddress] >= p.Limit ||
			now.Before(g.backoffUntil[p.RelayAddress]) || slices.Contains(req.triedPeers, p.RelayAddress)
	})
}

// backOffFromPeer excludes, for refusalBackoff, a peer that refused a relayed
// request. Expired entries are removed when the map has grown, so that
// peers that left do not stay in it.
func (g *Gate) backOffFromPeer(peer netip.AddrPort) {
	now := g.opts.Now()
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.backoffUntil) >= backoffPruneThreshold {
		maps.DeleteFunc(g.backoffUntil, func(_ netip.AddrPort, until time.Time) bool { return !now.Before(until) })
	}
	g.backoffUntil[peer] = now.Add(refusalBackoff)
}

// backoffPruneThreshold is the number of entries at which expired ones are
// removed.
const backoffPruneThreshold = 64

// pickLessLoaded returns the less loaded of two peers chosen at random (power of
// two choices).
func pickLessLoaded(peers []PeerLoad) (PeerLoad, bool) {
	if len(peers) == 0 {
		return PeerLoad{}, false
	}
	a, b := peers[rand.IntN(len(peers))], peers[rand.IntN(len(peers))]
	if b.InProgress < a.InProgress {
		return b, true
	}
	return a, true
}

// rebalancePeer returns a peer for a request that could run here, with a
// probability that grows with the excess of this agent's load over the mean of
// the service.
func (g *Gate) rebalancePeer(req *request) (PeerLoad, bool) {
	own := g.updateAverageLoad()
	peers := g.eligiblePeers(req)
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
	return pickLessLoaded(slices.DeleteFunc(peers, func(p PeerLoad) bool { return float64(p.InProgress) >= own }))
}

// updateAverageLoad brings the moving average of the requests in progress up to date
// and returns it.
func (g *Gate) updateAverageLoad() float64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.averageLoad.observe(g.opts.Now(), g.limiter.InProgress())
	return g.averageLoad.value
}

// markTried excludes a peer from further attempts of req.
func (req *request) markTried(peer netip.AddrPort) { req.triedPeers = append(req.triedPeers, peer) }
