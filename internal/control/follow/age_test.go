package follow_test

import (
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/internal/control/view"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

const (
	// ageBound is the time within which a change must be in force (config_propagation_ms).
	ageBound = 3 * time.Second
	// pollLimit is longer than the poll of a peer takes, with or without a response.
	pollLimit = 1200 * time.Millisecond
	// contactTime is how long a host must have been without a fault for ageBound to hold.
	contactTime = 4 * time.Second
	// checkInterval is the time between two checks of all views.
	checkInterval = 20 * time.Millisecond
)

// disruption is a fault of some hosts of a fleet from a time on.
type disruption struct {
	fault    fault
	hosts    []int // indices of the hosts
	at, ends time.Duration
}

// plan is a run of a fleet: its hosts, what they suffer, and when the configuration changes.
type plan struct {
	agents      []int // agents of each failure domain, beside one balancer
	disruptions []disruption
	changes     []time.Duration
	length      time.Duration
}

// run plays the plan and returns the first violation: a view of a process in touch that is
// older than ageBound or lacks a configuration that is. It returns "" if there is none.
func (p plan) run(t *testing.T) (violation string) {
	t.Helper()
	synctest.Test(t, func(*testing.T) {
		fl := newFleet()
		defer fl.stop()
		violation = p.play(fl, fl.addDomains(p.agents))
	})
	return violation
}

// play runs the disruptions and changes, and checks all views.
func (p plan) play(fl *fleet, hosts []*host) string {
	const warmUp = 2 * time.Second // first views are not checked
	time.Sleep(warmUp)
	began := time.Now()
	confirmedAt := []time.Duration{-warmUp} // of each version, from version 1 on
	current := make([]fault, len(hosts))
	for now := time.Duration(0); now < p.length; now = time.Since(began) {
		for _, at := range p.changes {
			if at > now-checkInterval && at <= now {
				confirmedAt = append(confirmedAt, now)
				fl.setConfiguration(int64(len(confirmedAt)))
			}
		}
		for i, h := range hosts {
			if f := p.faultAt(i, now); f != current[i] {
				current[i] = f
				h.setFault(f)
			}
			if violation := h.checkView(now, confirmedAt); p.inTouch(i, now) && violation != "" {
				return violation
			}
		}
		time.Sleep(checkInterval)
	}
	return ""
}

// checkView describes how the view of h is older than ageBound, "" if it isn't. confirmedAt
// has the time at which the store confirmed each version, from version 1 on.
func (h *host) checkView(now time.Duration, confirmedAt []time.Duration) string {
	if age := time.Since(h.board.ConfirmedAt()); age > ageBound {
		return fmt.Sprintf("at %v the view of %s, in touch, is %v old", now, h.member.Name, age)
	}
	version := h.board.View().Configuration.Version
	if next := int(version); next < len(confirmedAt) && now-confirmedAt[next] > ageBound {
		return fmt.Sprintf("at %v %s, in touch, has version %d, but %d was confirmed at %v", now, h.member.Name, version, version+1, confirmedAt[next])
	}
	return ""
}

// faultAt returns the fault of a host at a time.
func (p plan) faultAt(host int, at time.Duration) fault {
	for _, d := range p.disruptions {
		if d.at <= at && at < d.ends && slices.Contains(d.hosts, host) {
			return d.fault
		}
	}
	return noFault
}

// inTouch reports whether a host has had no fault for contactTime.
func (p plan) inTouch(host int, at time.Duration) bool {
	for _, d := range p.disruptions {
		if d.at <= at && at < d.ends+contactTime && slices.Contains(d.hosts, host) {
			return false
		}
	}
	return true
}

// firstIndices returns the indices of the first n hosts.
func firstIndices(n int) []int {
	var list []int
	for i := range n {
		list = append(list, i)
	}
	return list
}

// Guards against a process that asks one peer after the other, each of which the store
// turns away, before it calls the store, which would serve it (review/4).
func TestPeersThatTheStoreTurnsAwayDelayNoChange(t *testing.T) {
	is := is.New(t)
	p := plan{agents: []int{13, 10}, length: 12 * time.Second, changes: []time.Duration{1050 * time.Millisecond}}
	p.disruptions = []disruption{{fault: turnedAway, hosts: firstIndices(12), at: time.Second, ends: 10 * time.Second}}
	is.Equal(p.run(t), "")
}

// Guards against a process that the store turns away and that gets a change late, because
// many of its peers are turned away as well and each holds its poll.
func TestTurnedAwayProcessesPassPeersWithoutSource(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{13, 10})
		time.Sleep(4 * time.Second)
		for _, h := range hosts[:12] {
			h.setFault(turnedAway)
		}
		fl.setConfiguration(2)
		time.Sleep(ageBound)
		for _, h := range hosts {
			is.Equal(h.board.View().Configuration.Version, int64(2))
		}
	})
}

// Guards against two processes that follow each other under the name of a source that
// neither of them polls, and get no change meanwhile. It begins when the process that
// watches the store for its failure domain loses it (review/5).
func TestNoProcessesFollowEachOther(t *testing.T) {
	for at := time.Duration(0); at < 1200*time.Millisecond; at += 50 * time.Millisecond {
		synctest.Test(t, func(t *testing.T) {
			fl := newFleet()
			defer fl.stop()
			hosts := fl.addDomains([]int{2, 2})
			time.Sleep(4*time.Second + at)
			hosts[0].setFault(turnedAway)
			var cycleSince time.Time
			for end := time.Now().Add(5500 * time.Millisecond); time.Now().Before(end); time.Sleep(checkInterval) {
				members := cycle(hosts)
				switch {
				case members == nil:
					cycleSince = time.Time{}
				case cycleSince.IsZero():
					cycleSince = time.Now()
				case time.Since(cycleSince) > pollLimit:
					t.Fatalf("the store turned a process away %v after a start: %v follow each other", at, members)
				}
			}
		})
	}
}

// cycle returns the names of processes that follow each other, nil if there are none.
func cycle(hosts []*host) []string {
	upstream := map[string]string{}
	for _, h := range hosts {
		if path := h.board.Path(); len(path) > 1 {
			upstream[h.member.Name] = path[len(path)-2]
		}
	}
	for name := range upstream {
		followed := []string{name}
		for next := upstream[name]; next != ""; next = upstream[next] {
			if i := slices.Index(followed, next); i >= 0 {
				return followed[i:]
			}
			followed = append(followed, next)
		}
	}
	return nil
}

// Guards against an agent that never gets to know of an evacuation that began and ended while
// it reached nobody, and sends to a cold backend server at the full rate (review/3).
func TestMissedEvacuationIsNoticed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{2, 2})
		time.Sleep(4 * time.Second)
		cut := hosts[1]
		before := cut.board.View().Evacuations
		cut.setFault(silent)
		fl.put(view.EvacuationsSection, follow.Change{Name: "a"})
		time.Sleep(1900 * time.Millisecond)
		fl.put(view.EvacuationsSection, follow.Change{Name: "a", Deleted: true})
		time.Sleep(500 * time.Millisecond)
		cut.setFault(noFault)
		time.Sleep(ageBound)
		after := cut.board.View().Evacuations
		is.Equal(len(after.Domains), 0)
		is.True(after.LastEnd("a") > before.LastEnd("a"))
		is.Equal(after.LastEnd("b"), before.LastEnd("b"))
	})
}

// Guards against backend servers of a whole failure domain that count as cold, although none
// was evacuated, because the process that their agents follow has restarted and lists the
// evacuations anew.
func TestListingOfARestartedPeerEndsNoEvacuation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{3})
		time.Sleep(4 * time.Second)
		before := hosts[2].board.View().Evacuations
		fl.setConfiguration(2) // the store's revision is now above that of the evacuations
		restarted := hosts[0]
		restarted.board.Apply(view.Delta{Section: view.EvacuationsSection, To: fl.revision, Full: true})
		time.Sleep(time.Second)
		after := hosts[2].board.View().Evacuations
		is.Equal(after.Revision, fl.revision)
		is.Equal(after.LastEnd("a"), before.LastEnd("a"))
	})
}

// Guards against a process in touch whose view grows old because of its peers: whatever
// some of them suffer, each process that reaches the store must have every change in time.
func TestViewOfAProcessInTouchIsNeverOld(t *testing.T) {
	proptest.Check(t, func(t2 *rapid.T) {
		p := drawPlan(t2)
		if violation := p.run(t); violation != "" {
			t2.Fatalf("%+v: %s", p, violation)
		}
	})
}

// drawPlan draws a fleet with up to four disruptions, each of several hosts, and with
// changes at random times.
func drawPlan(t *rapid.T) plan {
	const latest = 10_000 // milliseconds
	p := plan{agents: rapid.SliceOfN(rapid.IntRange(1, 9), 1, 2).Draw(t, "agents"), length: 18 * time.Second}
	hosts := len(p.agents)
	for _, n := range p.agents {
		hosts += n
	}
	for range rapid.IntRange(1, 4).Draw(t, "disruptions") {
		at := rapid.IntRange(0, latest).Draw(t, "at")
		length := rapid.IntRange(50, 9000).Draw(t, "length")
		p.disruptions = append(p.disruptions, disruption{
			fault: fault(rapid.IntRange(int(turnedAway), int(stopped)).Draw(t, "fault")),
			hosts: rapid.SliceOfNDistinct(rapid.IntRange(0, hosts-1), 1, hosts, rapid.ID).Draw(t, "hosts"),
			at:    time.Duration(at) * time.Millisecond,
			ends:  time.Duration(at+length) * time.Millisecond,
		})
	}
	for range rapid.IntRange(1, 4).Draw(t, "changes") {
		p.changes = append(p.changes, time.Duration(rapid.IntRange(0, latest).Draw(t, "change at"))*time.Millisecond)
	}
	slices.Sort(p.changes)
	return p
}

// Guards against a store that each process of a large failure domain calls, because views
// that pass through several processes count as old although nothing has failed.
func TestFollowersOfHealthyPeersCallNoStore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		fl := newFleet()
		defer fl.stop()
		hosts := fl.addDomains([]int{59})
		time.Sleep(10 * time.Second)
		before := map[*host]int{}
		for _, h := range hosts {
			before[h] = h.callCount()
		}
		for i := range 40 {
			time.Sleep(time.Duration(200+50*i) * time.Millisecond)
			fl.setConfiguration(int64(2 + i))
		}
		for _, h := range hosts[1:] {
			is.Equal(h.callCount(), before[h]) // only the first process calls the store
		}
		is.True(hosts[0].callCount() > before[hosts[0]])
	})
}
