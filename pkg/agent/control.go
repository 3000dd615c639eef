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
	// balancerHelloRounds is the number of rounds between hellos to balancers:
	// 400 ms, so that two may be lost within the second for which an answered
	// hello is valid.
	balancerHelloRounds = 4
	// recordUpdateRounds is the number of rounds between updates of the agent's
	// own record.
	recordUpdateRounds = 5
	// maxHelloBalancers is the number of balancers that an agent of a large
	// fleet sends hellos to.
	maxHelloBalancers = 3
	// smallFleetBalancers is the number of balancers up to which an agent sends
	// hellos to all of them.
	smallFleetBalancers = 8
	// maxHelloSiblings bounds the number of agents that a load report goes to.
	maxHelloSiblings = 10
	// domainDrainTimeout is how long requests may go on after the failure domain
	// was taken out, before the remaining flows are closed.
	domainDrainTimeout = 2 * time.Second
	// balancerExpiry is the time after its last contact at which a balancer is
	// removed from the contact table.
	balancerExpiry = time.Minute
)

// control applies each new view and does the periodic work.
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
			a.renewIncarnation()
		case <-view:
			a.applyView(ctx)
		case <-ticker.C:
			a.applyView(ctx)
			a.runRound()
		}
	}
}

// applyView starts or ends the incarnation as the view in force requires, and
// applies limits, the state of the failure domain and planned leaves.
func (a *Agent) applyView(ctx context.Context) {
	view := a.node.Board.View.Get()
	service, ok := view.Service(a.opts.Service)
	domain, domainKnown := view.Domain(a.opts.Domain)
	in := a.current.Load()
	if in != nil && ok && in.endpoint.service != service.Address {
		a.endIncarnation(errkind.BackendLeaving)
		in = nil
	}
	if in == nil && ok && domainKnown && !a.stopping.Load() {
		if err := a.startIncarnation(service, domain); err != nil {
			a.opts.Logger.EmitError(event.ReloadFailed, err, event.Fields{"service": service.Name})
			return
		}
	}
	if in = a.current.Load(); in == nil {
		return
	}
	if ok {
		in.flowLimit.Store(int64(service.Limits.Connections))
	}
	since, out := view.DomainOut(a.opts.Domain)
	a.applyDomainState(ctx, since, out)
	_, leaving := view.BackendLeaving(a.opts.ID)
	a.applyLeaving(ctx, leaving || !view.BackendJoined(a.opts.ID))
}

// applyDomainState closes the flows when the failure domain goes out, and lets
// traffic in again when it comes back.
func (a *Agent) applyDomainState(ctx context.Context, since time.Time, out bool) {
	in := a.current.Load()
	switch {
	case out && !a.domainOutSince.Equal(since):
		a.domainOutSince = since
		a.flowCloseTime.Store(since.Add(domainDrainTimeout).UnixNano())
		a.domainOut.Store(true)
		in.endpoint.SetDropTime(since.Add(steering.DomainDropDelay))
		a.opts.Logger.Emit(event.DomainOutActive, event.Fields{"failure_domain": a.opts.Domain, "since": since})
		a.drains.Go(func() { a.drainAndCloseFlows(ctx, in, since.Add(domainDrainTimeout)) })
	case !out && a.domainOut.Load():
		a.domainOutSince = time.Time{}
		in.gate.MarkBackendCold()
		in.endpoint.SetDropTime(time.Time{})
		a.domainOut.Store(false)
	}
}

// drainAndCloseFlows lets requests in progress go on until the deadline and then
// closes the remaining flows, so that their callers learn of it at once.
func (a *Agent) drainAndCloseFlows(ctx context.Context, in *incarnation, deadline time.Time) {
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	// The error says that requests were still in progress; closeFlows below
	// tells their callers.
	_ = in.flows.drain(ctx)
	<-ctx.Done() // flows that were opened meanwhile and relayed requests go on until then
	if !a.isClosingAt(deadline) {
		return // the failure domain is back already
	}
	in.flows.closeFlows(domainOutReason+a.opts.Domain, errkind.DomainOut)
	in.relayed.cancelAll()
}

// domainOutReason begins the reason with which the flows of a failure domain that is
// out are closed; the name of the failure domain follows.
const domainOutReason = "failure domain out: "

// isClosingAt reports whether the failure domain is still out and the given
// deadline still applies to its flows.
func (a *Agent) isClosingAt(deadline time.Time) bool {
	return a.domainOut.Load() && a.flowCloseTime.Load() == deadline.UnixNano()
}

// applyLeaving asks callers to move to new flows while the backend server is
// leaving. Feeds go on until they end. The caller of a flow that was being opened
// when the leave came into force is asked as soon as the flow is open: otherwise
// the caller's feeds would be refused for as long as it uses that flow.
func (a *Agent) applyLeaving(ctx context.Context, leaving bool) {
	leaving = leaving || a.stopping.Load()
	if a.setLeaving(leaving) && leaving {
		a.opts.Logger.Emit(event.Leaving, event.Fields{"id": a.opts.ID})
	}
	in := a.current.Load()
	if !leaving || !in.flows.hasUndrainedFlows() {
		return
	}
	a.drains.Go(func() {
		// The error only says that the process ended before the last feed.
		_ = in.flows.drain(ctx)
	})
}

// setLeaving sets whether the agent takes no new work, and reports whether that
// changed the state.
func (a *Agent) setLeaving(leaving bool) bool {
	if a.leaving.Swap(leaving) == leaving {
		return false
	}
	a.node.SetSelf(a.updateRecord)
	return true
}

// updateRecord writes the agent's present state into its membership record.
func (a *Agent) updateRecord(r *membership.Record) {
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

// runRound sends hellos and, every recordUpdateRounds, updates the record, the
// gauges and the keys.
func (a *Agent) runRound() {
	in := a.current.Load()
	if in == nil {
		return
	}
	a.rounds++
	a.sendSiblingHellos(in)
	if a.rounds%balancerHelloRounds == 1 {
		a.sendBalancerHellos(in)
	}
	if a.rounds%recordUpdateRounds != 0 {
		return
	}
	a.node.SetSelf(a.updateRecord)
	a.updateGauges(in)
	in.endpoint.SetGeneration(a.node.Board.View.Get().Generation)
	in.endpoint.balancers.removeOlder(time.Now().Add(-balancerExpiry))
	if keyRing := a.opts.KeyRing(); keyRing != a.appliedKeyRing {
		a.appliedKeyRing = keyRing
		in.endpoint.SetKeyRing(keyRing)
	}
}

// sendSiblingHellos reports the load to the other agents of the service, or to
// a random choice of them in a large service.
func (a *Agent) sendSiblingHellos(in *incarnation) {
	all := a.siblings()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	for _, m := range all[:min(len(all), maxHelloSiblings)] {
		in.endpoint.SendHello(m.Tunnel)
	}
}

func (a *Agent) sendBalancerHellos(in *incarnation) {
	for _, address := range a.selectBalancers() {
		in.endpoint.SendHello(address)
	}
}

// selectBalancers returns all balancers of a small fleet, or a stable subset of
// a large one, so that hellos stay within the traffic budget of the control
// plane.
func (a *Agent) selectBalancers() []netip.AddrPort {
	var nodes []rendezvous.Node
	var addresses []netip.AddrPort
	for _, m := range a.node.Board.Members.Get().Members {
		if m.Role == membership.RoleBalancer && m.State == membership.StateServing {
			nodes = append(nodes, rendezvous.Node{ID: m.ID, Weight: 1})
			addresses = append(addresses, m.Tunnel)
		}
	}
	if len(addresses) <= smallFleetBalancers {
		return addresses
	}
	var out []netip.AddrPort
	for _, i := range rendezvous.Rank(nodes, rendezvous.Hash(a.opts.ID), maxHelloBalancers) {
		out = append(out, addresses[i])
	}
	return out
}

// renewIncarnation ends the incarnation after a pause that outlasted the lease,
// and takes a new incarnation number. Everything that was received before the
// pause is dropped.
func (a *Agent) renewIncarnation() {
	a.endIncarnation(errkind.AgentFenced)
	number := a.fence.Renew(a.opts.now())
	a.opts.Logger.Emit(event.Fenced, event.Fields{"id": a.opts.ID, "incarnation": number})
	a.node.SetSelf(a.updateRecord)
}

// endIncarnation closes the present incarnation; applyView starts the next one.
func (a *Agent) endIncarnation(kind errkind.Kind) {
	if in := a.current.Swap(nil); in != nil {
		in.close(kind)
	}
	a.domainOutSince = time.Time{}
	a.domainOut.Store(false)
	a.leaving.Store(false)
}
