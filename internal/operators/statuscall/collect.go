package statuscall

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// maxConcurrentCalls bounds the number of concurrent queries, and so the
// handshakes that a balancer makes while it forwards packets.
const maxConcurrentCalls = 32

// queryAgents queries the agents of a service, or all agents if service is empty.
// missing lists the IDs of the agents that did not answer before ctx ended, in
// ascending order. Agents are queried on demand instead of announcing their
// counts periodically, so that control traffic does not grow with the number of
// services.
func (f Fleet) queryAgents(ctx context.Context, req peer.StatusRequest) (answers []status.Process, missing []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	semaphore := make(chan struct{}, maxConcurrentCalls)
	for _, m := range f.agents(req.Service) {
		semaphore <- struct{}{}
		calls.Go(func() {
			defer func() { <-semaphore }()
			p, err := f.queryAgent(ctx, m, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			answers = append(answers, p)
		})
	}
	calls.Wait()
	slices.Sort(missing)
	return answers, missing
}

// queryAgent returns the state that one agent reports.
func (f Fleet) queryAgent(ctx context.Context, m membership.Member, req peer.StatusRequest) (status.Process, error) {
	var p status.Process
	if err := ctx.Err(); err != nil {
		return p, err
	}
	err := f.Node.FetchStatus(ctx, m.Peer, req, &p)
	if err == nil && p.ID != m.ID {
		err = errkind.Errorf(errkind.PeerMalformed, "process %q answers at the address of agent %q", p.ID, m.ID)
	}
	return p, err
}

func (f Fleet) agents(service string) []membership.Member {
	return slices.DeleteFunc(slices.Clone(f.Node.Board.Members.Get().Members), func(m membership.Member) bool {
		return m.Role != membership.RoleAgent || m.State == membership.StateGone ||
			service != "" && m.Service != service
	})
}

// viewAt returns the view in force, with now as its time.
func (f Fleet) viewAt(now time.Time) config.View {
	view := f.Node.Board.View.Get()
	view.At = now
	return view
}
