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

// maxCalls bounds the agents that are asked at once, and thereby the
// handshakes that a balancer makes beside its packets.
const maxCalls = 32

// collect asks the agents of a service, or all for an empty service. Agents
// that did not answer before ctx ended are named in missing, ordered by ID.
// They are asked on demand instead of spreading their counts all the time, so
// that control traffic does not grow with the number of services.
func (f Fleet) collect(ctx context.Context, req peer.StatusRequest) (found []status.Process, missing []string) {
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxCalls)
	for _, m := range f.agents(req.Service) {
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			p, err := f.ask(ctx, m, req)
			mu.Lock()
			defer mu.Unlock()
			if err != nil {
				missing = append(missing, m.ID)
				return
			}
			found = append(found, p)
		})
	}
	calls.Wait()
	slices.Sort(missing)
	return found, missing
}

// ask returns what one agent says of itself.
func (f Fleet) ask(ctx context.Context, m membership.Member, req peer.StatusRequest) (status.Process, error) {
	var p status.Process
	if err := ctx.Err(); err != nil {
		return p, err
	}
	err := f.Node.AskStatus(ctx, m.Peer, req, &p)
	if err == nil && p.ID != m.ID {
		err = errkind.Errorf(errkind.PeerMalformed, "%q answers at the address of %q", p.ID, m.ID)
	}
	return p, err
}

func (f Fleet) agents(service string) []membership.Member {
	return slices.DeleteFunc(slices.Clone(f.Node.Board.Members.Get().Members), func(m membership.Member) bool {
		return m.Role != membership.RoleAgent || m.State == membership.StateGone ||
			service != "" && m.Service != service
	})
}

// viewAt is the view in force with the time of the report.
func (f Fleet) viewAt(now time.Time) config.View {
	view := f.Node.Board.View.Get()
	view.At = now
	return view
}
