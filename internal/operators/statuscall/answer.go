// Package statuscall answers status.get. Every process reports its own state. A
// balancer also reports the state of the fleet, from its blackboard and from
// queries that it sends to the agents when it is asked.
package statuscall

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/distribution"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// LaggingResponse is the answer to a request with ScopeLagging.
type LaggingResponse struct {
	Generation uint64   `json:"generation"` // in force at the process that answers
	IDs        []string `json:"ids"`        // of the processes that lag
}

// Process returns the state of the process that node belongs to. refusals and
// tracker are nil for a process that handles no requests.
func Process(node *distribution.Node, refusals *metrics.KindCounter, tracker *burn.Tracker) status.Process {
	self := node.Self()
	p := status.Process{
		ID:                     self.ID,
		Role:                   self.Role,
		Service:                self.Service,
		Generation:             self.Generation,
		PlatformReachable:      node.Board.PlatformReachable.Get(),
		PlatformReachableSince: node.Board.PlatformReachableSince.Get(),
	}
	if refusals != nil {
		p.Refusals = refusals.Counts()
	}
	if tracker != nil {
		p.Burn = tracker.Message()
	}
	return p
}

// Fleet answers status.get in a balancer.
type Fleet struct {
	Node *distribution.Node
	Now  func() time.Time
}

// Answer answers status.get. Its errors have the kinds NotFound, for a scope
// that does not exist, and those of package burn.
func (f Fleet) Answer(ctx context.Context, req peer.StatusRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, peer.StatusCollectTimeout)
	defer cancel()
	switch req.Scope {
	case peer.ScopeProcess:
		return Process(f.Node, nil, nil), nil
	case peer.ScopeFleet:
		return f.fleetStatus(ctx, req.Service), nil
	case peer.ScopeBurn:
		return f.burnReport(ctx, req.Service), nil
	case peer.ScopeLagging:
		return LaggingResponse{f.Node.Self().Generation, f.Node.LaggingMembers(req.Generation)}, nil
	}
	return nil, UnknownScopeError(req.Scope)
}

// UnknownScopeError returns the error for a scope that a process does not support.
func UnknownScopeError(scope peer.StatusScope) error {
	return errkind.Errorf(errkind.NotFound, "status scope %.20q is not supported by this process; ask a balancer", scope)
}

// fleetStatus returns the state of the fleet with the refusals of the agents that
// answer. The other agents are listed in NotCounted.
func (f Fleet) fleetStatus(ctx context.Context, service string) status.Status {
	board := &f.Node.Board
	s := status.Build(Process(f.Node, nil, nil), board.Members.Get(), board.View.Get())
	s.At = f.Now()
	answers, _ := f.queryAgents(ctx, peer.StatusRequest{Scope: peer.ScopeProcess, Service: service})
	for _, p := range answers {
		s.AddRefusals(p)
	}
	return s
}

// burnReport returns the burn report over the agents that answer. The other
// agents are listed in Missing.
func (f Fleet) burnReport(ctx context.Context, service string) burn.Report {
	answers, missing := f.queryAgents(ctx, peer.StatusRequest{Scope: peer.ScopeProcess, Service: service, Burn: true})
	now := f.Now()
	tracker := burn.NewTracker()
	sources := 0
	for _, p := range answers {
		if err := tracker.Merge(now, p.Burn); err != nil {
			missing = append(missing, p.ID)
			continue
		}
		sources++
	}
	report := tracker.Report(f.viewAt(now))
	report.Sources, report.Missing = sources, missing
	return report
}
