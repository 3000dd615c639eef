package agent

import (
	"context"

	"github.com/knapweedpier/knapweedpier/internal/burn"
	"github.com/knapweedpier/knapweedpier/internal/peer"
	"github.com/knapweedpier/knapweedpier/internal/statuscall"
)

// answerStatus answers status.get about this agent. Its error has kind
// NotFound.
func (a *Agent) answerStatus(_ context.Context, req peer.StatusRequest) (any, error) {
	if req.Scope != peer.ScopeProcess {
		return nil, statuscall.Unknown(req.Scope)
	}
	var tracker *burn.Tracker
	if req.Burn {
		tracker = a.burn
	}
	return statuscall.Process(a.node, a.metrics.Refusals, tracker), nil
}
