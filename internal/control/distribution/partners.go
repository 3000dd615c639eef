package distribution

import (
	"cmp"
	"context"
	"hash/fnv"
	"net/netip"
	"slices"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
)

// Numbers of partners and watchers. A process has more partners if its region
// has so many failure domains that these would not cover a majority of them.
const (
	balancerPartners  = 4
	agentPartners     = 2
	seedPartners      = 4
	watchersPerDomain = 2
)

// Intervals and time limits for the choice of partners.
const (
	chooseInterval       = time.Second     // partners are also chosen after a change of members or a failure of a partner
	failedPartnerBackoff = 3 * time.Second // a dead partner is suspected by then
	livePartnerWindow    = 3 * time.Second // since the last response of any partner
	probeInterval        = 5 * time.Second // how long the same excluded member is tried
)

// rendezvousWeight returns the rendezvous hash of b for a; the lowest wins.
func rendezvousWeight(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64() // mixed further, since FNV alone mixes the last bytes poorly
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

const fallbackTier = 2

// candidate is a process that may be chosen as partner.
type candidate struct {
	membership.Member
	weight uint64
	tier   int // 0: live balancer, 1: live agent, fallbackTier: leaving, suspect or in a domain that is out
}

// fleetView is the input to the choice of partners.
type fleetView struct {
	members     []membership.Member
	domains     int                       // failure domains of the region of this process
	isOut       func(domain string) bool  // reports whether the domain is taken out
	shouldAvoid func(netip.AddrPort) bool // reports whether a pull from the address failed within failedPartnerBackoff
}

// selectPartners chooses the partners of self. Each balancer pulls from its
// successor on a ring of all live balancers, so that changes reach every
// process. The other partners are spread over failure domains: that of self
// first, then the others of its region.
func selectPartners(self membership.Record, fleet fleetView) []netip.AddrPort {
	candidates := partnerCandidates(self, fleet)
	var chosen []candidate
	if self.Role == membership.RoleBalancer {
		chosen = append(chosen, successor(self, candidates)...)
	}
	for len(chosen) < partnerCount(self.Role, fleet.domains) {
		best := bestCandidate(self, candidates, chosen)
		if best < 0 {
			break
		}
		chosen = append(chosen, candidates[best])
	}
	addrs := make([]netip.AddrPort, 0, len(chosen))
	for _, c := range chosen {
		addrs = append(addrs, c.Peer)
	}
	return addrs
}

func partnerCount(role membership.Role, domains int) int {
	if role == membership.RoleBalancer {
		return max(balancerPartners, isolation.Majority(domains))
	}
	return max(agentPartners, isolation.Majority(domains))
}

func partnerCandidates(self membership.Record, fleet fleetView) []candidate {
	candidates := make([]candidate, 0, len(fleet.members))
	for _, m := range fleet.members {
		if m.ID == self.ID || !m.Peer.IsValid() || fleet.shouldAvoid(m.Peer) {
			continue
		}
		tier := tierOf(m)
		if fleet.isOut(m.Domain) { // its hosts may be switched off, and it does not count for a majority
			tier = fallbackTier
		}
		candidates = append(candidates, candidate{m, rendezvousWeight(self.ID, m.ID), tier})
	}
	return candidates
}

func tierOf(m membership.Member) int {
	switch {
	case m.IsSuspected() || m.State == membership.StateLeaving:
		return fallbackTier
	case m.Role == membership.RoleAgent:
		return 1
	default:
		return 0
	}
}

// successor returns the live balancer that follows self on a ring ordered by
// hash, or nothing if there is no other.
func successor(self membership.Record, candidates []candidate) []candidate {
	const ring = "ring"
	own := rendezvousWeight(ring, self.ID)
	var next []candidate
	var distance uint64
	for _, c := range candidates {
		d := rendezvousWeight(ring, c.ID) - own // wraps around
		if c.tier == 0 && (next == nil || d < distance) {
			next, distance = []candidate{c}, d
		}
	}
	return next
}

// bestCandidate returns the index of the candidate with the lowest rank that is
// not chosen yet, or -1 if none is left.
func bestCandidate(self membership.Record, candidates, chosen []candidate) int {
	perDomain, isChosen := map[regionDomain]int{}, map[string]bool{}
	for _, c := range chosen {
		perDomain[regionDomain{c.Region, c.Domain}]++
		isChosen[c.ID] = true
	}
	best, bestRank := -1, rank{}
	for i, c := range candidates {
		if isChosen[c.ID] {
			continue
		}
		r := rank{
			c.tier,
			perDomain[regionDomain{c.Region, c.Domain}],
			boolRank(c.Region != self.Region),
			boolRank(c.Domain != self.Domain),
		}
		order := slices.Compare(r[:], bestRank[:])
		if best < 0 || order < 0 || (order == 0 && c.weight < candidates[best].weight) {
			best, bestRank = i, r
		}
	}
	return best
}

// regionDomain identifies a failure domain of a region.
type regionDomain struct{ region, domain string }

// rank orders candidates, compared element by element; the lowest is best.
type rank [4]int

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// isPlatformWatcher reports whether self is one of the two live balancers of its
// failure domain with the lowest rendezvous weight, which read the platform for
// the others.
func isPlatformWatcher(self membership.Record, members []membership.Member) bool {
	if self.Role != membership.RoleBalancer {
		return false
	}
	const watch = "watch"
	own, lower := rendezvousWeight(watch, self.ID), 0
	for _, m := range members {
		sameDomain := m.Region == self.Region && m.Domain == self.Domain && m.ID != self.ID
		if sameDomain && tierOf(m) == 0 && rendezvousWeight(watch, m.ID) < own {
			lower++
		}
	}
	return lower < watchersPerDomain
}

// maintainPartners starts and stops pullers as members appear and disappear or
// partners fail.
func (n *Node) maintainPartners(ctx context.Context) {
	changed, cancel := n.Board.Members.Subscribe()
	defer cancel()
	ticker := time.NewTicker(chooseInterval)
	defer ticker.Stop()
	for {
		n.updatePullers(ctx, n.wantedPartners())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.partnerFailed:
		case <-ticker.C:
		}
	}
}

// wantedPartners returns the addresses to pull from, in order of preference.
// Seeds are added while no partner answers.
func (n *Node) wantedPartners() []netip.AddrPort {
	now := n.now()
	members := n.Board.Members.Get().Members
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.Self()
	fleet := n.fleetView(self, members, now)
	wanted := selectPartners(self, fleet)
	if len(wanted) == 0 { // a partner that failed recently is better than none
		all := fleet
		all.shouldAvoid = func(netip.AddrPort) bool { return false }
		wanted = selectPartners(self, all)
	}
	if !n.hasLivePartner(now) {
		wanted = append(wanted, n.seedAddrs(self)...)
	}
	if probe, ok := n.probeTarget(self, fleet, now); ok {
		wanted = append(wanted, probe)
	}
	return wanted
}

// probeTarget returns an excluded member to pull from, if this process is a
// platform watcher. After a network partition, each side has excluded the other;
// a single pull across makes both sides refute their exclusion. Another member is
// tried every probeInterval.
func (n *Node) probeTarget(self membership.Record, fleet fleetView, now time.Time) (netip.AddrPort, bool) {
	excluded := slices.DeleteFunc(n.table.ExcludedRecords(), func(r membership.Record) bool { return fleet.shouldAvoid(r.Peer) })
	if len(excluded) == 0 || !isPlatformWatcher(self, fleet.members) {
		return netip.AddrPort{}, false
	}
	period := now.Truncate(probeInterval).String()
	chosen := slices.MinFunc(excluded, func(a, b membership.Record) int {
		return cmp.Compare(rendezvousWeight(self.ID+period, a.ID), rendezvousWeight(self.ID+period, b.ID))
	})
	return chosen.Peer, chosen.Peer.IsValid()
}

func (n *Node) fleetView(self membership.Record, members []membership.Member, now time.Time) fleetView {
	view := n.Board.View.Get()
	return fleetView{
		members: members,
		domains: len(n.table.Domains(self.Region)),
		isOut: func(domain string) bool {
			_, out := view.DomainOut(domain)
			return out
		},
		shouldAvoid: func(addr netip.AddrPort) bool {
			failed, ok := n.failedAt[addr]
			return ok && now.Sub(failed) < failedPartnerBackoff
		},
	}
}

// hasLivePartner reports whether a partner has answered within livePartnerWindow.
func (n *Node) hasLivePartner(now time.Time) bool {
	return !n.lastResponse.IsZero() && now.Sub(n.lastResponse) < livePartnerWindow
}

// seedAddrs returns up to seedPartners seeds other than this process itself, in
// an order that differs between processes.
func (n *Node) seedAddrs(self membership.Record) []netip.AddrPort {
	seeds := slices.Clone(n.opts.Seeds)
	seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == self.Peer })
	slices.SortFunc(seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(rendezvousWeight(self.ID, a.String()), rendezvousWeight(self.ID, b.String()))
	})
	return seeds[:min(len(seeds), seedPartners)]
}

// updatePullers starts and stops pullers so that exactly the wanted partners are
// pulled from. In a large fleet, the second half of the partners sends no
// records, since the first half already does.
func (n *Node) updatePullers(ctx context.Context, wanted []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, p := range n.pullers {
		if !slices.Contains(wanted, addr) {
			p.stop()
			delete(n.pullers, addr)
		}
	}
	for i, addr := range wanted {
		p, ok := n.pullers[addr]
		if !ok && ctx.Err() == nil {
			p = n.startPuller(ctx, addr)
		}
		if p != nil {
			p.noRecords = n.table.Len() > largeFleetRecords && 2*i >= len(wanted)
		}
	}
}

func (n *Node) startPuller(ctx context.Context, addr netip.AddrPort) *puller {
	p := &puller{
		addr:    addr,
		client:  peer.NewClient(n.dialer, addr),
		stopped: make(chan struct{}),
		cursor:  n.cursors[addr],
	}
	n.pullers[addr] = p
	n.wg.Go(func() { n.runPuller(ctx, p) })
	return p
}
