package distribution

import (
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Guards against a generation that does not reach everybody within 5 s, and
// against processes that all watch the platform.
func TestChangeReachesTheFleet(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 9, 3)
	const changes = 10
	var times []time.Duration
	for generation := uint64(1); generation <= changes; generation++ {
		start := time.Now()
		f.apply(generation)
		left := slices.Clone(f.nodes)
		for len(left) > 0 && time.Since(start) < 5*time.Second {
			left = slices.DeleteFunc(left, func(n *testNode) bool {
				arrived := n.generationInForce() >= generation
				if arrived {
					times = append(times, time.Since(start))
				}
				return arrived
			})
			time.Sleep(time.Millisecond)
		}
		is.Equal(len(left), 0)
	}
	slices.Sort(times)
	t.Logf("%d changes at %d nodes: median %v, 99th percentile %v", changes, len(f.nodes), times[len(times)/2], times[len(times)*99/100])
	f.until(5*time.Second, "nobody lags", func(n *testNode) bool { return len(n.LaggingBehind(changes)) == 0 })
	is.Equal(len(f.nodes[0].LaggingBehind(changes+1)), len(f.nodes))

	f.store.mu.Lock()
	before := f.store.calls
	f.store.mu.Unlock()
	time.Sleep(time.Second)
	f.store.mu.Lock()
	calls := f.store.calls - before
	f.store.mu.Unlock()
	is.True(calls <= 6*3) // six watchers with about one call a second each
}

// Guards against an outage of the platform that isolates anybody, holds up a
// planned change or a fresh host, or brings back an older generation.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, 2)
	due := time.Now().Add(3 * time.Second)
	f.apply(7, config.PlannedChange{ID: "out", Kind: config.DomainOut, Subject: "shawi", At: due, Generation: 7})
	f.until(5*time.Second, "generation 7", func(n *testNode) bool { return n.generationInForce() == 7 })
	f.store.setDown(true)
	outage := time.Now()

	fresh := f.add(membership.RoleBalancer, "shawi")
	f.until(3*time.Second, "a fresh host catches up", func(n *testNode) bool {
		return n.generationInForce() == 7 && len(n.Board.Members.Get().Members) == len(f.nodes)
	})
	is.True(time.Now().Before(due))
	f.until(time.Until(due)+500*time.Millisecond, "planned change", func(n *testNode) bool {
		_, out := n.Board.View.Get().DomainOut("shawi")
		return out
	})
	is.True(!time.Now().Before(due))
	is.True(fresh.log.has(event.PlannedChangeActive))
	time.Sleep(time.Until(outage.Add(isolation.SilentAfter)))
	for _, n := range f.nodes {
		is.True(!n.log.has(event.Isolated))
	}

	f.store.setDown(false)
	f.apply(6) // an object restored to an older state
	refused := 0
	for end := time.Now().Add(3 * time.Second); refused < 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		refused = 0
		for _, n := range f.nodes {
			if n.log.has(event.GenerationRefused) {
				refused++
			}
		}
	}
	is.True(refused >= 2)
	f.until(0, "generation 7 stays", func(n *testNode) bool { return n.generationInForce() == 7 })
}

// Guards against a frozen process that is not suspected within about 3 s, and
// against a suspicion that outlives the recovery.
func TestFrozenNodeIsSuspectedAndRecovers(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, 0)
	frozen := f.nodes[1]
	frozen.gate.frozen.Lock()
	start := time.Now()
	suspect := func(n *testNode) bool { m, ok := n.sees(frozen); return ok && m.Suspect() }
	f.until(6*time.Second, "suspected", suspect, frozen)
	took := time.Since(start)
	frozen.gate.frozen.Unlock()
	t.Logf("suspected by all after %v", took)
	is.True(took > membership.SuspectAfter-1500*time.Millisecond) // the last pull may lie 1 s back
	is.True(took < membership.SuspectAfter+1500*time.Millisecond)
	start = time.Now()
	f.until(3*time.Second, "no longer suspected", func(n *testNode) bool { return !suspect(n) })
	t.Logf("refuted at all after %v", time.Since(start))
}

// Guards against a cut-off process that does not notice, drags others into
// isolation, or does not return.
func TestCutOffNodeIsIsolated(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, 0)
	cut := f.nodes[2]
	f.store.setDown(true)
	cut.gate.setCut(true)
	start := time.Now()
	f.until(5*time.Second, "isolated", func(n *testNode) bool { return n != cut || n.Board.Isolation.Get().Isolated })
	t.Logf("isolated after %v", time.Since(start))
	is.True(time.Since(start) < 4500*time.Millisecond) // freshness from peers may be younger than the cut's last contact
	for _, n := range f.nodes {
		is.True(n == cut || !n.log.has(event.Isolated))
	}
	cut.gate.setCut(false)
	f.until(5*time.Second, "no longer isolated", func(n *testNode) bool { return !n.Board.Isolation.Get().Isolated })
}

// Guards against two sides of a split that have excluded each other and never
// meet again while the platform is down.
func TestSplitHeals(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := &fleet{t: t, store: newStore()}
	for i := range 2 {
		f.add(membership.RoleBalancer, testDomains[i])
		f.seeds = nil
	}
	both := func(n *testNode) bool { return len(n.Board.Members.Get().Members) == 2 }
	f.until(15*time.Second, "members known from the platform", both)
	f.store.setDown(true)
	f.until(5*time.Second, "pulled from", func(n *testNode) bool {
		return metrics.GetOrRegisterCounter(peer.CountPulls, n.registry).Count() > 0
	})
	f.nodes[0].gate.setCut(true)
	f.until(5*time.Second, "suspected", func(n *testNode) bool {
		return slices.ContainsFunc(n.Board.Members.Get().Members, membership.Member.Suspect)
	})
	for _, n := range f.nodes {
		n.gate.mu.Lock()
		n.gate.skip = membership.ExcludeAfter
		n.gate.mu.Unlock()
	}
	f.until(time.Second, "excluded", func(n *testNode) bool { return !both(n) })
	f.until(5*time.Second, "nobody pulls any more", func(n *testNode) bool {
		n.mu.Lock()
		defer n.mu.Unlock()
		return len(n.pullers) == 0
	})
	time.Sleep(time.Second) // for the last pulls to fail
	f.nodes[0].gate.setCut(false)
	start := time.Now()
	f.until(5*time.Second, "members again", both)
	t.Logf("healed after %v", time.Since(start))
	is.True(!f.nodes[0].log.has(event.PlatformBack))
}

// Guards against a graceful stop that others learn of only by silence.
func TestStopIsAnnounced(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 3, 2)
	for _, n := range []*testNode{f.nodes[4], f.nodes[0]} {
		start := time.Now()
		is.NoErr(n.Stop(t.Context()))
		f.nodes = slices.DeleteFunc(f.nodes, func(other *testNode) bool { return other == n })
		f.until(time.Second, "gone", func(other *testNode) bool { _, ok := other.sees(n); return !ok })
		t.Logf("stopped, and gone at all others, after %v", time.Since(start))
	}
}

// Guards against changes of load that flood the fleet, get lost, or hold back
// a change of state.
func TestLoadChangesAreHeldBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 2, 0)
	n, other := f.nodes[0], f.nodes[1]
	first := n.Self().Sequence
	for i := range 1000 {
		n.SetSelf(func(r *membership.Record) { r.Flows = i + 1 })
	}
	is.True(n.Self().Sequence <= first+1)
	n.SetSelf(func(r *membership.Record) { r.State = membership.StateLeaving })
	f.until(time.Second, "state and load arrive together", func(*testNode) bool {
		m, _ := other.sees(n)
		return m.State == membership.StateLeaving && m.Flows == 1000
	})
	n.SetSelf(func(r *membership.Record) { r.Flows = 5 })
	f.until(loadInterval+time.Second, "held back load", func(*testNode) bool { m, _ := other.sees(n); return m.Flows == 5 })
}

// Guards against control traffic of a large fleet that exceeds the budget, and
// against an agent that misses a balancer or an agent of its own service.
func TestLargeFleetSendsAgentsTheirOwnService(t *testing.T) {
	is := is.New(t)
	n := New(Options{Self: membership.Record{ID: "self", Role: membership.RoleBalancer}})
	changes := benchRecords(largeFleet+100, 1)
	for i := range changes {
		changes[i].Record.Service = []string{"comptoir", "nuancier"}[i%2]
	}
	changes = append(changes, membership.Change{Record: membership.Record{ID: "other", Role: membership.RoleBalancer}})
	n.table.Merge(changes, time.Now())
	agent, _ := n.compose(peer.PullRequest{ID: changes[0].Record.ID, Incarnation: changes[0].Record.Incarnation, Sequence: 1}, false)
	is.Equal(len(agent.Changes), (largeFleet+100)/2-1+2) // without itself, with both balancers
	balancer, _ := n.compose(peer.PullRequest{ID: "other"}, false)
	is.Equal(len(balancer.Changes), largeFleet+100+1)
	quiet, news := n.compose(peer.PullRequest{ID: "other", NoRecords: true}, false)
	is.Equal(len(quiet.Changes), 0)
	is.True(!news)
	is.Equal(quiet.Cursor, membership.Cursor{}) // else its records would be missed later
}

// Guards against announcements of replaced hosts that pile up in the platform,
// and against the loss of one that is in use.
func TestOldAnnouncementsAreDeleted(t *testing.T) {
	is := is.New(t)
	store, now := newStore(), time.Now()
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	is.NoErr(err)
	for id, age := range map[string]time.Duration{"old": keepAnnouncement, "new": membership.Lease} {
		value, err := announcement{Record: membership.Record{ID: id}, AnnouncedAt: now.Add(-age)}.encode(ring)
		is.NoErr(err)
		_, err = store.Put(t.Context(), membersPrefix+id, value, 0)
		is.NoErr(err)
	}
	w := &watcher{node: New(Options{Store: store, Ring: func() *keyring.Ring { return ring }})}
	is.NoErr(w.readMembers(t.Context()))
	listing, err := store.List(t.Context(), membersPrefix)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 1)
	is.Equal(listing.Objects[0].Key, membersPrefix+"new")
}

// Guards against fresh processes that list all announcements at the platform
// although a seed answers: a failure domain that comes back would overload it.
func TestFreshProcessesAskSeedsFirst(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	f := newFleet(t, 6, 1)
	f.apply(2)
	f.until(5*time.Second, "generation 2", func(n *testNode) bool { return n.generationInForce() == 2 })
	var fresh []*testNode
	for range 3 {
		fresh = append(fresh, f.add(membership.RoleAgent, "shawi"))
	}
	f.until(5*time.Second, "fresh processes catch up", func(n *testNode) bool { return n.generationInForce() == 2 })
	for _, n := range fresh {
		is.Equal(n.store.lists.Load(), int64(0))
	}
}
