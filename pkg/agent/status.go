package agent

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/operators/statuscall"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// answerStatus answers status.get about this agent. Its error has kind
// NotFound.
func (a *Agent) answerStatus(_ context.Context, req peer.StatusRequest) (any, error) {
	if req.Scope != peer.ScopeProcess {
		return nil, statuscall.UnknownScopeError(req.Scope)
	}
	var tracker *burn.Tracker
	if req.Burn {
		tracker = a.burn
	}
	return statuscall.Process(a.node, a.metrics.Refusals, tracker), nil
}

// recordFlowEnd counts a flow that ended: broken by kind, or unbroken if kind is
// 0.
func (a *Agent) recordFlowEnd(kind errkind.Kind) {
	a.metrics.Flows.Dec(1)
	if kind != 0 && kind != errkind.DomainOut {
		a.metrics.FlowsBroken.Inc(1)
	}
	a.burn.RecordFlowEnd(a.opts.now(), a.opts.Service, kind)
}

// updateGauges sets the gauges to the present load of the backend server.
func (a *Agent) updateGauges(in *incarnation) {
	load := in.gate.Load()
	a.metrics.Limit.Update(int64(load.Limit))
	a.metrics.InProgress.Update(int64(load.InProgress))
	a.metrics.BackendConns.Update(int64(in.gate.OpenConnections()))
}
