package agent

import (
	"context"
	"math"
	"net/http"
	"net/netip"

	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/gate"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/tunnel"
)

// localState returns the state that the tunnel reports to balancers and other
// agents.
func (a *Agent) localState() LocalState {
	in := a.current.Load()
	if in == nil {
		return LocalState{Load: tunnel.Load{Flags: tunnel.FlagLeaving}}
	}
	load := in.gate.Load()
	local := LocalState{
		Load: tunnel.Load{
			InProgress: clampUint16(load.InProgress),
			Limit:      clampUint16(load.Limit),
			Flows:      clampUint16(load.Flows),
		},
		AcceptAll: a.opts.Policy.AcceptAll,
	}
	if a.leaving.Load() || a.domainOut.Load() {
		local.Load.Flags |= tunnel.FlagLeaving
	}
	if load.Cold {
		local.Load.Flags |= tunnel.FlagCold
	}
	local.Full = load.Flows >= int(in.flowLimit.Load())
	return local
}

func clampUint16(n int) uint16 {
	return uint16(min(max(n, 0), math.MaxUint16))
}

// peers gives the gate access to the other agents of the service.
type peers struct {
	agent    *Agent
	endpoint *Endpoint
}

var _ gate.Peers = peers{}

// Candidates returns the agents whose load was reported within the last
// second.
func (p peers) Candidates() []gate.PeerLoad {
	loads := p.endpoint.PeerLoads()
	var candidates []gate.PeerLoad
	for _, m := range p.agent.siblings() {
		load, ok := loads[m.Tunnel]
		if !ok {
			continue
		}
		candidates = append(candidates, gate.PeerLoad{
			ID:           m.ID,
			RelayAddress: m.Peer,
			InProgress:   int(load.InProgress),
			Limit:        int(load.Limit),
			Leaving:      load.Flags&tunnel.FlagLeaving != 0,
		})
	}
	return candidates
}

// Relay sends a request to a peer once.
func (p peers) Relay(ctx context.Context, peer netip.AddrPort, r *http.Request) (*http.Response, error) {
	return p.agent.node.Relay(ctx, peer, r)
}

// siblings returns the other agents of the service that may take requests: those
// that are not gone and whose failure domain is not out.
func (a *Agent) siblings() []membership.Member {
	view := a.node.Board.View.Get()
	var siblings []membership.Member
	for _, m := range a.node.Board.Members.Get().Members {
		if m.Role != membership.RoleAgent || m.Service != a.opts.Service || m.ID == a.opts.ID {
			continue
		}
		if m.State == membership.StateGone {
			continue
		}
		if _, siblings := view.DomainOut(m.Domain); siblings {
			continue
		}
		siblings = append(siblings, m)
	}
	return siblings
}
