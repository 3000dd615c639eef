package follow

import (
	"cmp"
	"net/netip"
	"slices"

	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// followersPerUpstream is the number of processes of a failure domain for each
// process that they poll first, so that the load on one process doesn't grow
// with the failure domain.
const followersPerUpstream = 24

// upstreamPeers returns the peers to poll, in order: those of this failure domain
// that rank before this process, then all others while the store is unavailable,
// then the seeds while the view is incomplete. A process that is not a seed also
// polls the seeds while its view has no members.
func (f *Follower) upstreamPeers() []netip.AddrPort {
	var upstreams, others []view.Member
	v := f.opts.Board.View()
	for _, m := range v.Members.ByName {
		switch {
		case m.Name == f.opts.Name:
		case m.Domain == f.opts.Domain && f.ranksAfter(m):
			upstreams = append(upstreams, m)
		default:
			others = append(others, m)
		}
	}
	slices.SortFunc(upstreams, compareUpstreams)
	upstreams = rotateUpstreams(upstreams, f.opts.Name)
	if f.storeLost.Load() {
		slices.SortFunc(others, compareUpstreams)
		upstreams = append(upstreams, others...)
	}
	var peers []netip.AddrPort
	for _, m := range upstreams {
		peers = append(peers, m.Peer)
	}
	noMembers := len(v.Members.ByName) == 0 && !f.isSeed()
	if !v.Complete() || noMembers {
		peers = append(peers, f.opts.Seeds...)
	}
	return slices.DeleteFunc(peers, func(peer netip.AddrPort) bool { return peer == f.opts.PeerAddress })
}

// rotateUpstreams rotates the first peers of the list by a hash of name, so that the
// processes of a large failure domain don't all poll the same peer first.
func rotateUpstreams(upstreams []view.Member, name string) []view.Member {
	firstCount := 1 + len(upstreams)/followersPerUpstream
	if len(upstreams) <= firstCount {
		return upstreams
	}
	offset := int(rendezvous.Hash(name) % uint64(firstCount))
	return slices.Concat(upstreams[offset:firstCount], upstreams[:offset], upstreams[firstCount:])
}

// isPolledFirst reports whether this process is one of those that other processes of its
// failure domain poll first.
func (f *Follower) isPolledFirst(v view.View) bool {
	before, domainSize := 0, 1
	for _, m := range v.Members.ByName {
		if m.Domain != f.opts.Domain || m.Name == f.opts.Name {
			continue
		}
		domainSize++
		if f.ranksAfter(m) {
			before++
		}
	}
	return before <= domainSize/followersPerUpstream
}

// isSeed reports whether this process is one of the seeds.
func (f *Follower) isSeed() bool { return slices.Contains(f.opts.Seeds, f.opts.PeerAddress) }

// ranksAfter reports whether this process ranks after m in its failure domain.
func (f *Follower) ranksAfter(m view.Member) bool {
	return compareUpstreams(m, view.Member{Name: f.opts.Name, Role: f.opts.Role}) < 0
}

// compareUpstreams orders members for polling: agents first, then by name. The
// links of balancers carry callers' packets, and some have too little bandwidth to
// also send large configurations to others.
func compareUpstreams(a, b view.Member) int {
	if a.Role != b.Role {
		if a.Role == view.AgentRole {
			return -1
		}
		return 1
	}
	return cmp.Compare(a.Name, b.Name)
}
