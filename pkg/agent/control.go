package agent

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/rendezvous"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
)

const (
	// helloInterval is how often agents of a service report their load to
	// each other.
	helloInterval = 100 * time.Millisecond
	// balancerRounds is how many rounds pass between hellos to balancers: 400
	// ms, so that two may be lost within the second that a balancer counts as
	// heard.
	balancerRounds = 4
	// recordRounds is how many rounds pass between updates of the own record.
	recordRounds = 5
	// helloBalancers is the number of balancers that hear from an agent.
	helloBalancers = 3
	// smallFleet is the number of balancers up to which all of them do.
	smallFleet = 8
	// helloPeers bounds the agents that a load report goes to.
	helloPeers = 10
	// domainDrain is how long requests may go on after the failure domain was
	// taken out, before the remaining flows are closed.
	domainDrain = 2 * time.Second
	// forgetBalancers is the age from which a silent balancer is forgotten.
	forgetBalancers = time.Minute
)

// control keeps the agent at the view in force and sends its signs of life.
func (a *Agent) control(ctx context.Context) {
	view, cancel := a.node.Board.View.Subscribe()
	defer cancel()
	ticker := time.NewTicker(helloInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-a.fenced:
			a.renew()
		case <-view:
			a.follow(ctx)
		case <-ticker.C:
			a.follow(ctx)
			a.round()
		}
	}
}

// follow puts the view in force at this agent.
func (a *Agent) follow(ctx context.Context) {
	view := a.node.Board.View.Get()
	service, ok := view.Service(a.opts.Service)
	domain, known := view.Domain(a.opts.Domain)
	in := a.current.Load()
	if in != nil && ok && in.endpoint.service != service.Address {
		a.end(errkind.BackendLeaving)
		in = nil
	}
	if in == nil && ok && known && !a.stopping.Load() {
		if err := a.begin(service, domain); err != nil {
			a.opts.Logger.Failure(event.ReloadFailed, err, event.Fields{"service": service.Name})
			return
		}
	}
	if in = a.current.Load(); in == nil {
		return
	}
	if ok {
		in.connections.Store(int64(service.Limits.Connections))
	}
	since, out := view.DomainOut(a.opts.Domain)
	a.followDomain(ctx, since, out)
	_, leaving := view.BackendLeaving(a.opts.ID)
	a.followLeaving(ctx, leaving || !view.BackendJoined(a.opts.ID))
}

// followDomain ends the flows when the failure domain goes out, and lets
// traffic in again when it comes back.
func (a *Agent) followDomain(ctx context.Context, since time.Time, out bool) {
	in := a.current.Load()
	switch {
	case out && !a.outSince.Equal(since):
		a.outSince = since
		a.closesAt.Store(since.Add(domainDrain).UnixNano())
		a.domainOut.Store(true)
		in.endpoint.SetCut(since.Add(steering.DomainCut))
		a.opts.Logger.Emit(event.DomainOutActive, event.Fields{"failure_domain": a.opts.Domain, "since": since})
		a.drains.Go(func() { a.endFlows(ctx, in, since.Add(domainDrain)) })
	case !out && a.domainOut.Load():
		a.outSince = time.Time{}
		in.gate.ColdStart()
		in.endpoint.SetCut(time.Time{})
		a.domainOut.Store(false)
	}
}

// endFlows lets requests in progress go on until the deadline and then closes
// the flows that are left, so that their callers learn it at once.
func (a *Agent) endFlows(ctx context.Context, in *incarnation, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// Requests that were cut are answered by the close below.
	_ = in.flows.drain(ctx)
	if !a.stillOut(deadline) {
		return // the failure domain is back already
	}
	in.flows.closeFlows("failure domain out", errkind.DomainOut)
	<-ctx.Done() // relayed requests may go on as long as flows
	if a.stillOut(deadline) {
		in.relays.end()
	}
}

// stillOut reports whether the failure domain is out and closes its flows at
// the deadline.
func (a *Agent) stillOut(deadline time.Time) bool {
	return a.domainOut.Load() && a.closesAt.Load() == deadline.UnixNano()
}

// followLeaving asks callers to move to new flows while the backend server is
// leaving. Feeds go on for as long as they last. A flow that was being opened
// when the leave came into force is asked as soon as it is open: without that,
// its caller's feeds would be refused on it for good.
func (a *Agent) followLeaving(ctx context.Context, leaving bool) {
	leaving = leaving || a.stopping.Load()
	if a.setLeaving(leaving) && leaving {
		a.opts.Logger.Emit(event.Leaving, event.Fields{"id": a.opts.ID})
	}
	in := a.current.Load()
	if !leaving || !in.flows.hasUndrained() {
		return
	}
	a.drains.Go(func() {
		// The error only says that the process ended before the last feed.
		_ = in.flows.drain(ctx)
	})
}

// setLeaving reports whether the state has changed.
func (a *Agent) setLeaving(leaving bool) bool {
	if a.leaving.Swap(leaving) == leaving {
		return false
	}
	a.node.SetSelf(a.describe)
	return true
}

// describe fills in what the record says of this agent's present state.
func (a *Agent) describe(r *membership.Record) {
	r.Incarnation = a.fence.Incarnation()
	r.State = membership.StateCold
	if in := a.current.Load(); in != nil {
		load := in.gate.Load()
		r.InProgress, r.Slots, r.Flows = load.InProgress, load.Limit, load.Flows
		if !load.Cold {
			r.State = membership.StateServing
		}
	}
	if a.leaving.Load() {
		r.State = membership.StateLeaving
	}
}

// round sends hellos and, less often, updates the record and the keys.
func (a *Agent) round() {
	in := a.current.Load()
	if in == nil {
		return
	}
	a.helloRounds++
	a.helloSiblings(in)
	if a.helloRounds%balancerRounds == 1 {
		a.helloBalancers(in)
	}
	if a.helloRounds%recordRounds != 0 {
		return
	}
	a.node.SetSelf(a.describe)
	a.updateGauges(in)
	in.endpoint.SetGeneration(a.node.Board.View.Get().Generation)
	in.endpoint.balancers.forget(time.Now().Add(-forgetBalancers))
	if ring := a.opts.Ring(); ring != a.ring {
		a.ring = ring
		in.endpoint.SetRing(ring)
	}
}

// helloSiblings reports the load to the other agents of the service, or to a
// random choice of them in a large service.
func (a *Agent) helloSiblings(in *incarnation) {
	all := a.siblings()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all[:min(len(all), helloPeers)] {
		in.endpoint.Hello(m.Tunnel)
	}
}

func (a *Agent) helloBalancers(in *incarnation) {
	for _, address := range a.chosenBalancers() {
		in.endpoint.Hello(address)
	}
}

// chosenBalancers are all balancers of a small fleet, or a stable few of a
// large one, so that hellos stay within the budget for control.
func (a *Agent) chosenBalancers() []netip.AddrPort {
	var nodes []rendezvous.Node
	var addresses []netip.AddrPort
	for _, m := range a.node.Board.Members.Get().Members {
		if m.Role == membership.RoleBalancer && m.State == membership.StateServing {
			nodes = append(nodes, rendezvous.Node{ID: m.ID, Weight: 1})
			addresses = append(addresses, m.Tunnel)
		}
	}
	if len(addresses) <= smallFleet {
		return addresses
	}
	var out []netip.AddrPort
	for _, i := range rendezvous.Rank(nodes, rendezvous.Hash(a.opts.ID), helloBalancers) {
		out = append(out, addresses[i])
	}
	return out
}

// renew starts a new incarnation after a pause that outlasted the lease.
// Everything that was received before the pause is dropped.
func (a *Agent) renew() {
	a.end(errkind.AgentFenced)
	number := a.fence.Renew(a.opts.now())
	a.opts.Logger.Emit(event.Fenced, event.Fields{"id": a.opts.ID, "incarnation": number})
	a.node.SetSelf(a.describe)
}

// end closes the present incarnation; follow begins the next one.
func (a *Agent) end(kind errkind.Kind) {
	if in := a.current.Swap(nil); in != nil {
		in.close(kind)
	}
	a.outSince = time.Time{}
	a.domainOut.Store(false)
	a.leaving.Store(false)
}
