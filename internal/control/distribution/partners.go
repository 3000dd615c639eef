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

// Numbers of partners. More are chosen in a region with so many failure
// domains that these do not reach a majority.
const (
	balancerPartners = 4
	agentPartners    = 2
	seedPartners     = 4
	watchersPerGroup = 2
)

// Times of choosing partners.
const (
	chooseInterval = time.Second     // besides each change of members or failure of a partner
	avoidFailed    = 3 * time.Second // a dead partner is suspected by then
	usableFor      = 3 * time.Second // since the last answer of any partner
	probeInterval  = 5 * time.Second // between excluded members that are tried
)

// weight is the rendezvous weight of b for a.
func weight(a, b string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(a))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(b))
	x := h.Sum64() // FNV alone mixes the last bytes poorly
	x = (x ^ x>>33) * 0xff51afd7ed558ccd
	x = (x ^ x>>33) * 0xc4ceb9fe1a85ec53
	return x ^ x>>33
}

const lastTier = 2

// candidate is a process that could be a partner.
type candidate struct {
	membership.Member
	weight uint64
	tier   int // 0: live balancer, 1: live agent, lastTier: leaving, suspect or in a domain that is out
}

// fleetView is what the choice of partners depends on.
type fleetView struct {
	members []membership.Member
	domains int                       // failure domains of the own region
	out     func(domain string) bool  // taken out
	avoid   func(netip.AddrPort) bool // failed just now
}

// partnersOf chooses the partners of self. Balancers form a ring
// in which each pulls from its successor, so that changes reach everybody. The
// other partners cover different failure domains, the own one first, then those
// of the own region.
func partnersOf(self membership.Record, fleet fleetView) []netip.AddrPort {
	candidates := candidatesOf(self, fleet)
	var chosen []candidate
	if self.Role == membership.RoleBalancer {
		chosen = append(chosen, successor(self, candidates)...)
	}
	for len(chosen) < partnerCount(self.Role, fleet.domains) {
		best := bestOf(self, candidates, chosen)
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

func candidatesOf(self membership.Record, fleet fleetView) []candidate {
	candidates := make([]candidate, 0, len(fleet.members))
	for _, m := range fleet.members {
		if m.ID == self.ID || !m.Peer.IsValid() || fleet.avoid(m.Peer) {
			continue
		}
		tier := tierOf(m)
		if fleet.out(m.Domain) { // it may be switched off, and does not count for a majority
			tier = lastTier
		}
		candidates = append(candidates, candidate{m, weight(self.ID, m.ID), tier})
	}
	return candidates
}

func tierOf(m membership.Member) int {
	switch {
	case m.Suspect() || m.State == membership.StateLeaving:
		return lastTier
	case m.Role == membership.RoleAgent:
		return 1
	default:
		return 0
	}
}

// successor returns the live balancer after self on a ring ordered by hash, if
// there is one.
func successor(self membership.Record, candidates []candidate) []candidate {
	const ring = "ring"
	own := weight(ring, self.ID)
	var next []candidate
	var distance uint64
	for _, c := range candidates {
		d := weight(ring, c.ID) - own // wraps around
		if c.tier == 0 && (next == nil || d < distance) {
			next, distance = []candidate{c}, d
		}
	}
	return next
}

// bestOf returns the index of the best candidate that is not chosen yet, or -1.
func bestOf(self membership.Record, candidates, chosen []candidate) int {
	perDomain, taken := map[place]int{}, map[string]bool{}
	for _, c := range chosen {
		perDomain[place{c.Region, c.Domain}]++
		taken[c.ID] = true
	}
	best, bestRank := -1, rank{}
	for i, c := range candidates {
		if taken[c.ID] {
			continue
		}
		r := rank{
			c.tier,
			perDomain[place{c.Region, c.Domain}],
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

// place is a failure domain of a region.
type place struct{ region, domain string }

// rank orders candidates; the lowest is best.
type rank [4]int

func boolRank(b bool) int {
	if b {
		return 1
	}
	return 0
}

// watches reports whether self is one of the two live balancers of its failure
// domain with the lowest rendezvous rank.
func watches(self membership.Record, members []membership.Member) bool {
	if self.Role != membership.RoleBalancer {
		return false
	}
	const watch = "watch"
	own, lower := weight(watch, self.ID), 0
	for _, m := range members {
		same := m.Region == self.Region && m.Domain == self.Domain && m.ID != self.ID
		if same && tierOf(m) == 0 && weight(watch, m.ID) < own {
			lower++
		}
	}
	return lower < watchersPerGroup
}

// choosePartners starts and ends pullers as members come and go.
func (n *Node) choosePartners(ctx context.Context) {
	changed, cancel := n.Board.Members.Subscribe()
	defer cancel()
	ticker := time.NewTicker(chooseInterval)
	defer ticker.Stop()
	for {
		n.setPartners(ctx, n.wantedPartners())
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-n.rechoose:
		case <-ticker.C:
		}
	}
}

func (n *Node) wantedPartners() []netip.AddrPort {
	now := n.now()
	members := n.Board.Members.Get().Members
	n.mu.Lock()
	defer n.mu.Unlock()
	self := n.table.Self()
	fleet := n.fleetView(self, members, now)
	wanted := partnersOf(self, fleet)
	if len(wanted) == 0 { // rather a partner that failed just now than none
		all := fleet
		all.avoid = func(netip.AddrPort) bool { return false }
		wanted = partnersOf(self, all)
	}
	if !n.usable(now) {
		wanted = append(wanted, n.seeds(self)...)
	}
	if probe, ok := n.probe(self, fleet, now); ok {
		wanted = append(wanted, probe)
	}
	return wanted
}

// probe returns an excluded member to try, if this process is a watcher. After
// a split, each side has excluded the other; one pull across makes both refute
// their exclusion. Another member is tried every few seconds.
func (n *Node) probe(self membership.Record, fleet fleetView, now time.Time) (netip.AddrPort, bool) {
	excluded := slices.DeleteFunc(n.table.Excluded(), func(r membership.Record) bool { return fleet.avoid(r.Peer) })
	if len(excluded) == 0 || !watches(self, fleet.members) {
		return netip.AddrPort{}, false
	}
	slot := now.Truncate(probeInterval).String()
	chosen := slices.MinFunc(excluded, func(a, b membership.Record) int {
		return cmp.Compare(weight(self.ID+slot, a.ID), weight(self.ID+slot, b.ID))
	})
	return chosen.Peer, chosen.Peer.IsValid()
}

func (n *Node) fleetView(self membership.Record, members []membership.Member, now time.Time) fleetView {
	view := n.Board.View.Get()
	return fleetView{
		members: members,
		domains: len(n.table.Domains(self.Region)),
		out: func(domain string) bool {
			_, out := view.DomainOut(domain)
			return out
		},
		avoid: func(addr netip.AddrPort) bool {
			failed, ok := n.failed[addr]
			return ok && now.Sub(failed) < avoidFailed
		},
	}
}

// usable reports whether a partner has answered lately.
func (n *Node) usable(now time.Time) bool {
	return !n.answered.IsZero() && now.Sub(n.answered) < usableFor
}

func (n *Node) seeds(self membership.Record) []netip.AddrPort {
	seeds := slices.Clone(n.opts.Seeds)
	seeds = slices.DeleteFunc(seeds, func(a netip.AddrPort) bool { return a == self.Peer })
	slices.SortFunc(seeds, func(a, b netip.AddrPort) int {
		return cmp.Compare(weight(self.ID, a.String()), weight(self.ID, b.String()))
	})
	return seeds[:min(len(seeds), seedPartners)]
}

// setPartners starts and ends pullers. In a large fleet the second half of the
// partners sends no records, which the first half sends already.
func (n *Node) setPartners(ctx context.Context, wanted []netip.AddrPort) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for addr, p := range n.pullers {
		if !slices.Contains(wanted, addr) {
			p.end()
			delete(n.pullers, addr)
		}
	}
	for i, addr := range wanted {
		p, ok := n.pullers[addr]
		if !ok && ctx.Err() == nil {
			p = n.startPuller(ctx, addr)
		}
		if p != nil {
			p.quiet = n.table.Len() > largeFleet && 2*i >= len(wanted)
		}
	}
}

func (n *Node) startPuller(ctx context.Context, addr netip.AddrPort) *puller {
	p := &puller{
		addr:   addr,
		client: peer.NewClient(n.dialer, addr),
		ended:  make(chan struct{}),
		cursor: n.cursors[addr],
	}
	n.pullers[addr] = p
	n.wg.Go(func() { n.pull(ctx, p) })
	return p
}
