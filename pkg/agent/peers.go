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

// self is the load that the tunnel carries to balancers and other agents.
func (a *Agent) self() Self {
	in := a.current.Load()
	if in == nil {
		return Self{Load: tunnel.Load{Flags: tunnel.FlagLeaving}}
	}
	load := in.gate.Load()
	s := Self{
		Load: tunnel.Load{
			InProgress: clamp(load.InProgress),
			Limit:      clamp(load.Limit),
			Flows:      clamp(load.Flows),
		},
		AcceptAll: a.opts.Policy.AcceptAll,
	}
	if a.leaving.Load() || a.domainOut.Load() {
		s.Load.Flags |= tunnel.FlagLeaving
	}
	if load.Cold {
		s.Load.Flags |= tunnel.FlagCold
	}
	s.Full = load.Flows >= int(in.connections.Load())
	return s
}

func clamp(n int) uint16 {
	return uint16(min(max(n, 0), math.MaxUint16))
}

// peers are the other agents of the service, as the gate sees them.
type peers struct {
	agent    *Agent
	endpoint *Endpoint
}

var _ gate.Peers = peers{}

// Candidates returns the agents whose load was reported within the last
// second.
func (p peers) Candidates() []gate.PeerLoad {
	loads := p.endpoint.PeerLoads()
	var out []gate.PeerLoad
	for _, m := range p.agent.siblings() {
		load, ok := loads[m.Tunnel]
		if !ok {
			continue
		}
		out = append(out, gate.PeerLoad{
			ID:         m.ID,
			Peer:       m.Peer,
			InProgress: int(load.InProgress),
			Limit:      int(load.Limit),
			Leaving:    load.Flags&tunnel.FlagLeaving != 0,
		})
	}
	return out
}

// Relay sends a request to a peer once.
func (p peers) Relay(ctx context.Context, peer netip.AddrPort, r *http.Request) (*http.Response, error) {
	return p.agent.node.Relay(ctx, peer, r)
}

// siblings returns the other agents of the service that may take work.
func (a *Agent) siblings() []membership.Member {
	view := a.node.Board.View.Get()
	var out []membership.Member
	for _, m := range a.node.Board.Members.Get().Members {
		if m.Role != membership.RoleAgent || m.Service != a.opts.Service || m.ID == a.opts.ID {
			continue
		}
		if m.State == membership.StateGone {
			continue
		}
		if _, out := view.DomainOut(m.Domain); out {
			continue
		}
		out = append(out, m)
	}
	return out
}
