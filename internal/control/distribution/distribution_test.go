package distribution

import (
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/isolation"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Guards against a generation that does not reach all nodes within 5 s, and
// against nodes that all watch the platform instead of two per failure domain.
func TestChangeReachesTheFleet(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 9, 3)
		const changes = 10
		var times []time.Duration
		for generation := uint64(1); generation <= changes; generation++ {
			start := time.Now()
			f.putConfig(generation)
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
		f.waitUntil(5*time.Second, "no member lags", func(n *testNode) bool { return len(n.LaggingMembers(changes)) == 0 })
		is.Equal(len(f.nodes[0].LaggingMembers(changes+1)), len(f.nodes))

		f.store.mu.Lock()
		before := f.store.calls
		f.store.mu.Unlock()
		time.Sleep(time.Second)
		f.store.mu.Lock()
		calls := f.store.calls - before
		f.store.mu.Unlock()
		is.True(calls <= 6*3) // six watchers with about one call per second each
	})
}

// Guards against a platform outage that isolates a process, delays a planned
// change, or keeps a fresh host from catching up, and against a restored platform
// that brings back an older generation.
func TestPlatformOutage(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 2)
		due := time.Now().Add(3 * time.Second)
		f.putConfig(7, config.PlannedChange{ID: "out", Kind: config.DomainOut, Subject: "shawi", At: due, Generation: 7})
		f.waitUntil(5*time.Second, "generation 7", func(n *testNode) bool { return n.generationInForce() == 7 })
		f.store.setDown(true)
		outage := time.Now()

		fresh := f.addNode(membership.RoleBalancer, "shawi")
		f.waitUntil(3*time.Second, "a fresh host catches up", func(n *testNode) bool {
			return n.generationInForce() == 7 && len(n.Board.Members.Get().Members) == len(f.nodes)
		})
		is.True(time.Now().Before(due))
		f.waitUntil(time.Until(due)+500*time.Millisecond, "planned change", func(n *testNode) bool {
			_, out := n.Board.View.Get().DomainOut("shawi")
			return out
		})
		is.True(!time.Now().Before(due))
		is.True(fresh.log.hasEvent(event.PlannedChangeActive))
		time.Sleep(time.Until(outage.Add(isolation.NoForwardingAfter)))
		for _, n := range f.nodes {
			is.True(!n.log.hasEvent(event.Isolated))
		}

		f.store.setDown(false)
		f.putConfig(6) // as if an older state of the object had been restored
		refused := 0
		for end := time.Now().Add(3 * time.Second); refused < 2 && time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
			refused = 0
			for _, n := range f.nodes {
				if n.log.hasEvent(event.GenerationRefused) {
					refused++
				}
			}
		}
		is.True(refused >= 2)
		f.waitUntil(0, "generation 7 stays", func(n *testNode) bool { return n.generationInForce() == 7 })
	})
}

// Guards against a frozen process that is not suspected within about 3 s, and
// against a suspicion that lasts after the process runs again.
func TestFrozenNodeIsSuspectedAndRecovers(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 0)
		frozen := f.nodes[1]
		frozen.faults.setFrozen(true)
		start := time.Now()
		suspect := func(n *testNode) bool { m, ok := n.memberView(frozen); return ok && m.IsSuspected() }
		f.waitUntil(6*time.Second, "suspected", suspect, frozen)
		took := time.Since(start)
		frozen.faults.setFrozen(false)
		t.Logf("suspected by all other nodes after %v", took)
		is.True(took > membership.SuspectAfter-1500*time.Millisecond) // the last pull may have been 1 s earlier
		is.True(took < membership.SuspectAfter+1500*time.Millisecond)
		start = time.Now()
		f.waitUntil(3*time.Second, "no longer suspected", func(n *testNode) bool { return !suspect(n) })
		t.Logf("suspicion refuted at all nodes after %v", time.Since(start))
	})
}

// Guards against a process without network that does not become isolated, makes
// others isolated, or stays isolated after the network is back.
func TestCutOffNodeIsIsolated(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 0)
		cut := f.nodes[2]
		f.store.setDown(true)
		cut.faults.setCut(true)
		start := time.Now()
		f.waitUntil(5*time.Second, "isolated", func(n *testNode) bool { return n != cut || n.Board.Isolation.Get().Isolated })
		t.Logf("isolated after %v", time.Since(start))
		is.True(time.Since(start) < 4500*time.Millisecond) // a peer may have reported the platform's state as newer than the last contact before the cut
		for _, n := range f.nodes {
			is.True(n == cut || !n.log.hasEvent(event.Isolated))
		}
		cut.faults.setCut(false)
		f.waitUntil(5*time.Second, "no longer isolated", func(n *testNode) bool { return !n.Board.Isolation.Get().Isolated })
	})
}

// Guards against two sides of a network partition that have excluded each other
// and stay separate after it ends, because neither pulls from the other while the
// platform is down.
func TestPartitionHeals(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newEmptyFleet(t)
		for i := range 2 {
			f.addNode(membership.RoleBalancer, testDomains[i])
			f.seeds = nil
		}
		both := func(n *testNode) bool { return len(n.Board.Members.Get().Members) == 2 }
		f.waitUntil(15*time.Second, "members known from the platform", both)
		f.store.setDown(true)
		f.waitUntil(5*time.Second, "pulled from", func(n *testNode) bool {
			return metrics.GetOrRegisterCounter(peer.CounterPullsServed, n.registry).Count() > 0
		})
		f.nodes[0].faults.setCut(true)
		f.waitUntil(5*time.Second, "suspected", func(n *testNode) bool {
			return slices.ContainsFunc(n.Board.Members.Get().Members, membership.Member.IsSuspected)
		})
		for _, n := range f.nodes {
			n.faults.mu.Lock()
			n.faults.clockAhead = membership.ExcludeAfter
			n.faults.mu.Unlock()
		}
		f.waitUntil(time.Second, "excluded", func(n *testNode) bool { return !both(n) })
		f.waitUntil(5*time.Second, "no node pulls any more", func(n *testNode) bool {
			n.mu.Lock()
			defer n.mu.Unlock()
			return len(n.pullers) == 0
		})
		time.Sleep(time.Second) // for the last pulls to fail
		f.nodes[0].faults.setCut(false)
		start := time.Now()
		f.waitUntil(5*time.Second, "members again", both)
		t.Logf("members known again after %v", time.Since(start))
		is.True(!f.nodes[0].log.hasEvent(event.PlatformBack))
	})
}

// Guards against a graceful stop that other nodes detect only by silence.
func TestStopIsAnnounced(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 3, 2)
		for _, n := range []*testNode{f.nodes[4], f.nodes[0]} {
			start := time.Now()
			is.NoErr(n.Stop(t.Context()))
			f.nodes = slices.DeleteFunc(f.nodes, func(other *testNode) bool { return other == n })
			f.waitUntil(time.Second, "gone", func(other *testNode) bool { _, ok := other.memberView(n); return !ok })
			t.Logf("stopped, and gone in the tables of all others, after %v", time.Since(start))
		}
	})
}

// Guards against changes of load that cause a record change each, are lost, or
// delay a change of state.
func TestLoadChangesAreHeldBack(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 2, 0)
		n, other := f.nodes[0], f.nodes[1]
		first := n.Self().Sequence
		for i := range 1000 {
			n.SetSelf(func(r *membership.Record) { r.Flows = i + 1 })
		}
		is.True(n.Self().Sequence <= first+1)
		n.SetSelf(func(r *membership.Record) { r.State = membership.StateLeaving })
		f.waitUntil(time.Second, "state and load arrive together", func(*testNode) bool {
			m, _ := other.memberView(n)
			return m.State == membership.StateLeaving && m.Flows == 1000
		})
		n.SetSelf(func(r *membership.Record) { r.Flows = 5 })
		f.waitUntil(minLoadInterval+time.Second, "held back load", func(*testNode) bool { m, _ := other.memberView(n); return m.Flows == 5 })
	})
}

// Guards against control traffic that exceeds the budget in a large fleet, since
// agents get all records, and against an agent that misses a balancer or an agent
// of its own service.
func TestLargeFleetSendsAgentsTheirOwnService(t *testing.T) {
	is := is.New(t)
	n := New(Options{Self: membership.Record{ID: "self", Role: membership.RoleBalancer}})
	changes := benchRecords(largeFleetRecords+100, 1)
	for i := range changes {
		changes[i].Record.Service = []string{"comptoir", "nuancier"}[i%2]
	}
	changes = append(changes, membership.Change{Record: membership.Record{ID: "other", Role: membership.RoleBalancer}})
	n.table.Merge(changes, time.Now())
	agent, _ := n.buildResponse(peer.PullRequest{ID: changes[0].Record.ID, Incarnation: changes[0].Record.Incarnation, Sequence: 1}, false)
	is.Equal(len(agent.Changes), (largeFleetRecords+100)/2-1+2) // without its own record, with both balancers
	balancer, _ := n.buildResponse(peer.PullRequest{ID: "other"}, false)
	is.Equal(len(balancer.Changes), largeFleetRecords+100+1)
	withoutRecords, ready := n.buildResponse(peer.PullRequest{ID: "other", NoRecords: true}, false)
	is.Equal(len(withoutRecords.Changes), 0)
	is.True(!ready)
	is.Equal(withoutRecords.Cursor, membership.Cursor{}) // otherwise the records would be skipped later
}

// Guards against announcements of replaced hosts that accumulate on the platform,
// and against deleting one that is still valid.
func TestOldAnnouncementsAreDeleted(t *testing.T) {
	is := is.New(t)
	store, now := newFakeStore(), time.Now()
	ring, err := keyring.Parse("1:" + strings.Repeat("a1", keyring.SecretSize))
	is.NoErr(err)
	for id, age := range map[string]time.Duration{"old": announcementRetention, "new": membership.Lease} {
		value, err := announcement{Record: membership.Record{ID: id}, AnnouncedAt: now.Add(-age)}.encode(ring)
		is.NoErr(err)
		_, err = store.Put(t.Context(), membersPrefix+id, value, 0)
		is.NoErr(err)
	}
	w := &watcher{node: New(Options{Store: store, KeyRing: func() *keyring.Ring { return ring }})}
	is.NoErr(w.readMembers(t.Context()))
	listing, err := store.List(t.Context(), membersPrefix)
	is.NoErr(err)
	is.Equal(len(listing.Objects), 1)
	is.Equal(listing.Objects[0].Key, membersPrefix+"new")
}

// Guards against fresh processes that list all announcements on the platform
// although a seed answers. A failure domain that restarts would overload the
// platform.
func TestFreshProcessesAskSeedsFirst(t *testing.T) {
	t.Parallel()
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFleet(t, 6, 1)
		f.putConfig(2)
		f.waitUntil(5*time.Second, "generation 2", func(n *testNode) bool { return n.generationInForce() == 2 })
		var fresh []*testNode
		for range 3 {
			fresh = append(fresh, f.addNode(membership.RoleAgent, "shawi"))
		}
		f.waitUntil(5*time.Second, "fresh processes catch up", func(n *testNode) bool { return n.generationInForce() == 2 })
		for _, n := range fresh {
			is.Equal(n.store.lists.Load(), int64(0))
		}
	})
}
