// Package statuscall answers status.get: every process about itself, and a
// balancer also for the fleet, from its blackboard and from what it asks the
// agents at that moment.
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

// Lagging is the answer with ScopeLagging.
type Lagging struct {
	Generation uint64   `json:"generation"` // in force at the process that answers
	IDs        []string `json:"ids"`        // of the processes that lag
}

// Process returns what the process with node says of itself. refusals and
// tracker are nil for a process that handles no requests.
func Process(node *distribution.Node, refusals *metrics.KindCounter, tracker *burn.Tracker) status.Process {
	self := node.Self()
	p := status.Process{
		ID:                self.ID,
		Role:              self.Role,
		Service:           self.Service,
		Generation:        self.Generation,
		PlatformReachable: node.Board.PlatformReachable.Get(),
		PlatformSince:     node.Board.PlatformSince.Get(),
	}
	if refusals != nil {
		p.Refusals = refusals.Counts()
	}
	if tracker != nil {
		p.Burn = tracker.Message()
	}
	return p
}

// Fleet answers for the fleet.
type Fleet struct {
	Node *distribution.Node
	Now  func() time.Time
}

// Answer answers status.get. Its errors have the kinds NotFound, for a scope
// that does not exist, and those of package burn.
func (f Fleet) Answer(ctx context.Context, req peer.StatusRequest) (any, error) {
	ctx, cancel := context.WithTimeout(ctx, peer.CollectTimeout)
	defer cancel()
	switch req.Scope {
	case peer.ScopeProcess:
		return Process(f.Node, nil, nil), nil
	case peer.ScopeFleet:
		return f.status(ctx, req.Service), nil
	case peer.ScopeBurn:
		return f.burn(ctx, req.Service), nil
	case peer.ScopeLagging:
		return Lagging{f.Node.Self().Generation, f.Node.LaggingBehind(req.Generation)}, nil
	}
	return nil, Unknown(req.Scope)
}

// Unknown is the error for a scope that a process does not answer.
func Unknown(scope peer.StatusScope) error {
	return errkind.Errorf(errkind.NotFound, "this process answers no status of scope %.20q; ask a balancer", scope)
}

// status is the state of the fleet with the refusals of the agents that
// answer; the others are named in NotCounted.
func (f Fleet) status(ctx context.Context, service string) status.Status {
	board := &f.Node.Board
	s := status.FromBoard(Process(f.Node, nil, nil), board.Members.Get(), board.View.Get())
	s.At = f.Now()
	found, _ := f.collect(ctx, peer.StatusRequest{Scope: peer.ScopeProcess, Service: service})
	for _, p := range found {
		s.Add(p)
	}
	return s
}

// burn is the report over the agents that answer; the others are named in
// Missing.
func (f Fleet) burn(ctx context.Context, service string) burn.Report {
	found, missing := f.collect(ctx, peer.StatusRequest{Scope: peer.ScopeProcess, Service: service, Burn: true})
	now := f.Now()
	tracker := burn.NewTracker()
	sources := 0
	for _, p := range found {
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
