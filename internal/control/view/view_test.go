package view

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

func routeAddress(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{198, 18, 0, 1}), uint16(i))
}

func drawConfiguration(t *rapid.T, version int64) Configuration {
	c := Configuration{Version: version, Routes: map[netip.AddrPort]Route{}, Services: map[string]Service{}, IdleTimeout: time.Second}
	for i := range rapid.IntRange(0, 12).Draw(t, "routes") {
		if rapid.Bool().Draw(t, "present") {
			weight := rapid.IntRange(1, 3).Draw(t, "weight")
			c.Routes[routeAddress(i)] = Route{Name: "r", Address: routeAddress(i), Targets: []Target{{Service: "comptoir", Weight: weight}}}
		}
	}
	return c
}

// Guards against a process that applies deltas and gets a configuration that differs
// from the one that a full read returns.
func TestDeltasLeadToSameConfiguration(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		follower := NewBoard()
		var last Configuration
		for revision := range Revision(rapid.IntRange(1, 8).Draw(t, "changes")) {
			next := drawConfiguration(t, int64(revision))
			d := Delta{Section: ConfigurationSection, From: revision, To: revision + 1, Full: revision == 0}
			d.Configuration = next.DeltaFrom(last)
			follower.Apply(d)
			last = next
		}
		got := follower.View().Configuration
		if diff := cmp.Diff(last.Routes, got.Routes, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against routes that a process keeps after they were dropped or changed: it gets
// deltas of several processes, which know other revisions than it does, and some arrive
// after later ones.
func TestConfigurationIsThatOfItsRevision(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		history := map[Revision]Configuration{1: drawConfiguration(t, 1)}
		sources := []*Board{NewBoard(), NewBoard(), NewBoard()}
		follower, latest := NewBoard(), Revision(1)
		apply := func(b *Board) {
			known := b.View().Configuration
			b.Apply(Delta{
				Section: ConfigurationSection, From: known.Revision, To: latest, Full: known.Revision == 0,
				Configuration: history[latest].DeltaFrom(known),
			})
		}
		poll := func(b *Board) []Delta {
			return b.ChangesSince(map[Section]Revision{ConfigurationSection: follower.View().Configuration.Revision}).Deltas
		}
		var delayed []Delta
		for range rapid.IntRange(1, 40).Draw(t, "events") {
			source := rapid.SampledFrom(sources).Draw(t, "source")
			switch rapid.IntRange(0, 4).Draw(t, "event") {
			case 0:
				latest++
				history[latest] = drawConfiguration(t, int64(latest))
			case 1:
				apply(source)
			case 2:
				delayed = append(delayed, poll(source)...)
			case 3:
				for _, d := range delayed {
					follower.Apply(d)
				}
				delayed = nil
			case 4:
				for _, d := range poll(source) {
					follower.Apply(d)
				}
				if got, want := follower.View().Configuration.Revision, source.View().Configuration.Revision; got < want {
					t.Fatalf("revision %d after the changes up to %d", got, want)
				}
			}
			got := follower.View().Configuration
			if diff := cmp.Diff(history[got.Revision].Routes, got.Routes, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()); diff != "" {
				t.Fatalf("revision %d: %s", got.Revision, diff)
			}
		}
	})
}

// Guards against a process that goes back to an older revision because the response
// of a slow peer arrives late.
func TestSectionsNeverGoBack(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		b := NewBoard()
		var highest Revision
		for range rapid.IntRange(1, 30).Draw(t, "deltas") {
			d := Delta{
				Section: MembersSection, Full: rapid.Bool().Draw(t, "full"),
				From: Revision(rapid.IntRange(0, 20).Draw(t, "from")), To: Revision(rapid.IntRange(1, 20).Draw(t, "to")),
			}
			b.Apply(d)
			revision := b.View().Revision(MembersSection)
			if revision < highest {
				t.Fatalf("revision %d after %d", revision, highest)
			}
			highest = revision
		}
	})
}

// Guards against a lost change: a delta that starts after the known revision must not
// be applied.
func TestGapIsRefused(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	is.True(b.Apply(Delta{Section: EvacuationsSection, To: 5, Full: true}))
	is.True(!b.Apply(Delta{Section: EvacuationsSection, From: 7, To: 8, Domains: []string{"shawi"}}))
	is.True(b.Apply(Delta{Section: EvacuationsSection, From: 4, To: 8, Domains: []string{"shawi"}}))
	is.True(b.View().Evacuations.Domains["shawi"])
}

// Guards against a peer with a slightly older view that gets a wrong view from the
// deltas since its revision, such as one without a change.
func TestDeltasSinceLeadToCurrentView(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		source := NewBoard()
		source.Apply(Delta{Section: MembersSection, To: 1, Full: true})
		views := []View{{}, source.View()}
		for i := range rapid.IntRange(0, maxRecentDeltas+10).Draw(t, "changes") {
			member := Member{Name: rapid.StringMatching(`[a-d]`).Draw(t, "name"), Slots: i}
			d := Delta{Section: MembersSection, From: Revision(i + 1), To: Revision(i + 2), Members: []Member{member}}
			if rapid.Bool().Draw(t, "gone") {
				d.Members, d.Gone = nil, []string{member.Name}
			}
			source.Apply(d)
			views = append(views, source.View())
		}
		behind := views[rapid.IntRange(0, len(views)-1).Draw(t, "behind")]
		for _, d := range source.ChangesSince(map[Section]Revision{MembersSection: behind.Members.Revision}).Deltas {
			behind, _ = behind.Apply(d)
		}
		if diff := cmp.Diff(source.View().Members, behind.Members, cmp.Comparer(func(a, b netip.AddrPort) bool { return a == b }), cmpopts.EquateEmpty()); diff != "" {
			t.Fatal(diff)
		}
	})
}

// Guards against a view that counts as current while one of its sections isn't.
func TestConfirmedAtIsOldestSection(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	now := time.Now()
	b.Confirm(ConfigurationSection, now)
	b.Confirm(EvacuationsSection, now)
	is.True(b.ConfirmedAt().IsZero())
	b.Confirm(MembersSection, now.Add(-time.Second))
	b.Confirm(MembersSection, now.Add(-2*time.Second))
	is.Equal(b.ConfirmedAt(), now.Add(-time.Second))
}

// Guards against a reader that pairs a confirmation with an earlier view or with
// earlier deltas.
func TestConfirmationIsReadWithItsData(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	start := time.Now()
	const revisions = 2000
	confirmedAt := func(r Revision) time.Time { return start.Add(time.Duration(r) * time.Second) }
	done := make(chan struct{})
	go func() {
		defer close(done)
		for r := Revision(1); r <= revisions; r++ {
			b.Apply(Delta{Section: MembersSection, From: r - 1, To: r, Full: r == 1})
			for _, s := range Sections() {
				b.Confirm(s, confirmedAt(r))
			}
		}
	}()
	for running := true; running; {
		select {
		case <-done:
			running = false
		default:
		}
		v, at := b.Snapshot()
		is.True(!at.Members.After(confirmedAt(v.Members.Revision)))
		is.True(!at.Configuration.After(confirmedAt(v.Members.Revision)))
		c := b.ChangesSince(map[Section]Revision{MembersSection: v.Members.Revision})
		latest := v.Members.Revision
		for _, d := range c.Deltas {
			latest = d.To
		}
		is.True(!c.MembersConfirmedAt.After(confirmedAt(latest)))
		is.True(!c.ConfirmedAt.After(confirmedAt(latest)))
	}
}

// Guards against a view that counts as current after the machine was suspended, because
// the steady clock stood still: flows of agents that it lacks would be reset.
func TestSuspensionAgesConfirmations(t *testing.T) {
	is := is.New(t)
	b := NewBoard()
	total := time.Hour
	b.suspended = func() time.Duration { return total }
	now := time.Now()
	b.Confirm(MembersSection, now)
	total += 5 * time.Second
	_, confirmed := b.Snapshot()
	is.Equal(now.Sub(confirmed.Members), 5*time.Second)
	is.Equal(now.Sub(b.ChangesSince(nil).MembersConfirmedAt), 5*time.Second)
	b.Confirm(MembersSection, now.Add(time.Second)) // a response to a request since
	_, confirmed = b.Snapshot()
	is.Equal(confirmed.Members, now.Add(time.Second))
}

// Guards against an agent that misses an evacuation because the history of it is gone: only a
// listing reaches the agent, a while after its view was last known to be current.
func TestListingAfterAGapMayEndAnEvacuation(t *testing.T) {
	for _, c := range []struct {
		gap   time.Duration
		rises bool
	}{{time.Second, false}, {10 * time.Second, true}} {
		is := is.New(t)
		board := NewBoard()
		board.Apply(Delta{Section: EvacuationsSection, To: 1, Full: true})
		board.Confirm(EvacuationsSection, time.Now().Add(-c.gap))
		before := board.View().Evacuations.LastEnd("a")
		board.Apply(Delta{Section: EvacuationsSection, To: 9, Full: true})
		is.Equal(board.View().Evacuations.LastEnd("a") > before, c.rises)
	}
}

// Guards against decisions on limits that contradict each other, and against other limits
// than the configured ones where they don't.
func TestLimitsOfRoute(t *testing.T) {
	for _, c := range []struct {
		name                string
		objective, timeout  time.Duration
		usedObjective, used time.Duration
		contradictory       bool
	}{
		{"consistent", 300 * time.Millisecond, 2 * time.Second, 300 * time.Millisecond, 2 * time.Second, false},
		{"equal", time.Second, time.Second, time.Second, time.Second, false},
		{"no objective", 0, time.Second, 0, time.Second, false},
		{"objective above the timeout", 3 * time.Second, 2 * time.Second, 2 * time.Second, 2 * time.Second, true},
		{"no timeout", 300 * time.Millisecond, 0, 300 * time.Millisecond, DefaultTimeout, true},
		{"negative timeout", 300 * time.Millisecond, -1, 300 * time.Millisecond, DefaultTimeout, true},
		{"no timeout, long objective", 8 * time.Second, 0, 8 * time.Second, 8 * time.Second, true},
		{"nothing configured", 0, 0, 0, DefaultTimeout, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := Route{Objective: c.objective, Timeout: c.timeout}
			objective, timeout := r.Limits()
			is.Equal(objective, c.usedObjective)
			is.Equal(timeout, c.used)
			is.Equal(r.HasContradictoryLimits(), c.contradictory)
		})
	}
}
