package cli

import (
	"context"
	"encoding/json"
	"net/netip"
	"strings"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/operators/flowstatus"
	"github.com/knapweedpier/knapweedpier/platform"
)

// flowsQueryTimeout bounds all queries for one screen, to the store and to the
// processes together.
const flowsQueryTimeout = 3 * time.Second

// FlowsCmd prints the state of packet flows on the users' platform. It returns
// a ServiceDown error if a service has no backend server that takes new flows.
type FlowsCmd struct {
	Store netip.AddrPort `arg:"" help:"Address of the platform's store, IP:PORT."`
	JSON  bool           `name:"json" help:"Print one JSON object in place of the screen."`
}

// Run implements the command.
func (c *FlowsCmd) Run(ctx context.Context, env *Env) error {
	ctx, cancel := context.WithTimeout(ctx, flowsQueryTimeout)
	defer cancel()
	store := platform.NewStore(c.Store)
	defer store.Close()
	v, err := follow.ReadView(ctx, store)
	if err != nil {
		return err
	}
	status := flowstatus.Build(v, probeMembers(ctx, v))
	if c.JSON {
		if err := json.NewEncoder(env.Out).Encode(status); err != nil {
			return errkind.Wrap(err, errkind.ReportFailed, "write the status")
		}
	} else if err := status.Write(env.Out); err != nil {
		return err
	}
	if down := status.Down(); len(down) > 0 {
		return errkind.Errorf(errkind.ServiceDown, "no backend server takes new flows of %s", strings.Join(down, ", "))
	}
	return nil
}

// probeMembers queries the age and the source of the views of all members in
// parallel. A member that does not answer is left out and shown as silent.
func probeMembers(ctx context.Context, v view.View) map[string]flowstatus.Process {
	var mu sync.Mutex
	var wg sync.WaitGroup
	processes := map[string]flowstatus.Process{}
	for name, m := range v.Members.ByName {
		wg.Go(func() {
			age, source, err := follow.ProbePeer(ctx, m.Peer, v)
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			processes[name] = flowstatus.Process{Reached: true, ViewAge: age, Source: source}
		})
	}
	wg.Wait()
	return processes
}
