package view

import (
	"maps"
	"net/netip"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// at returns a revision of era 3 or 4.
func at(era, position int64) Revision { return NewRevision(era, position) }

// membersDelta returns a delta of members that are named and have revisions of the delta's era.
func membersDelta(from, to Revision, full bool, positions map[string]int64) Delta {
	d := Delta{Section: MembersSection, From: from, To: to, Full: full}
	for _, name := range slices.Sorted(maps.Keys(positions)) {
		d.Members = append(d.Members, Member{Name: name, Slots: int(positions[name]), Revision: at(to.Era(), positions[name])})
	}
	return d
}

// boardInEra3 returns a board whose members were confirmed just now: a, written at 10, and b,
// written at 40. Their slots are the position, so that they tell the write.
func boardInEra3() *Board {
	b := NewBoard()
	b.Apply(membersDelta(0, at(3, 50), true, map[string]int64{"a": 10, "b": 40}))
	b.retention.incomplete = false // era 3 began long ago
	b.ConfirmInEra(MembersSection, 3, time.Now())
	return b
}

// confirmFor confirms a section in era 4 each second, at last after the given time.
func confirmFor(b *Board, s Section, period time.Duration) {
	for range period / time.Second {
		b.ConfirmInEra(s, 4, time.Now())
		time.Sleep(time.Second)
	}
	b.ConfirmInEra(s, 4, time.Now())
}

func names(b *Board) []string { return slices.Sorted(maps.Keys(b.View().Members.ByName)) }

// Guards against a balancer that resets the flows of an agent whose member the copy lacks, and
// against one that retains a member forever.
func TestMissingMembersAreRetained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := boardInEra3()
		confirmed := time.Now()
		time.Sleep(time.Second)
		b.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10}))
		for range 9 {
			b.ConfirmInEra(MembersSection, 4, time.Now())
			v, c := b.Snapshot()
			is.Equal(v.Members.Retained(), 1)
			is.Equal(v.Members.ByName["b"].Revision, at(3, 40))
			is.Equal(v.Members.ByName["a"].Revision, at(4, 10))
			is.Equal(c.Members, confirmed)
			is.Equal(c.StoredMembers, time.Now()) // no further calls of the store are needed
			time.Sleep(time.Second)
		}
		time.Sleep(time.Second)
		changed, cancel := b.Subscribe()
		defer cancel()
		<-changed
		before := b.View().Members.Revision
		b.ConfirmInEra(MembersSection, 4, time.Now())
		is.Equal(names(b), []string{"a"})
		is.True(b.View().Members.Revision > before) // readers compare revisions
		<-changed
		_, c := b.Snapshot()
		is.Equal(c.Members, time.Now())
		is.True(b.Apply(membersDelta(at(4, 30), at(4, 31), false, map[string]int64{"c": 31})))
		is.Equal(names(b), []string{"a", "c"})
	})
}

// Guards against a member that goes back to the state in the copy, such as one that was leaving,
// and against one that stays after the new era has shown a later write or its deletion.
func TestOlderMembersAreRetained(t *testing.T) {
	for _, c := range []struct {
		name   string
		listed int64 // position of b in the first listing, 0 for none
		later  Delta
		want   Revision // of b in the end, 0 for none
	}{
		{"an older state", 20, Delta{}, at(3, 40)},
		{"the same position, another write", 40, Delta{}, at(4, 40)}, // its slots are the same
		{"a later write", 41, Delta{}, at(4, 41)},
		{"a write after the listing", 20, membersDelta(at(4, 60), at(4, 61), false, map[string]int64{"b": 61}), at(4, 61)},
		{"a write at an earlier position", 0, membersDelta(at(4, 35), at(4, 36), false, map[string]int64{"b": 36}), at(4, 36)},
		{"the state in the listing once more", 20, membersDelta(at(4, 15), at(4, 61), false, map[string]int64{"b": 20}), at(3, 40)},
		{"a deletion", 20, Delta{Section: MembersSection, From: at(4, 60), To: at(4, 61), Gone: []string{"b"}}, 0},
		{"a listing without it", 0, membersDelta(0, at(4, 61), true, map[string]int64{"a": 10}), at(3, 40)},
		{"a listing with a later write", 0, membersDelta(0, at(4, 61), true, map[string]int64{"b": 33}), at(4, 33)},
		{"changes of another era", 20, membersDelta(at(3, 60), at(5, 61), false, map[string]int64{"b": 61}), at(3, 40)},
		{"changes of the era before", 20, Delta{Section: MembersSection, From: at(3, 50), To: at(3, 51), Gone: []string{"b"}}, at(3, 40)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := boardInEra3()
			positions := map[string]int64{"a": 10}
			if c.listed > 0 {
				positions["b"] = c.listed
			}
			to := at(4, 60)
			if c.later.From.Position() == 35 {
				to = at(4, 35)
			}
			b.Apply(membersDelta(0, to, true, positions))
			b.Apply(c.later)
			is.Equal(b.View().Members.ByName["b"].Revision, c.want)
		})
	}
}

// Guards against a retained member that is lost, not the one of the store, when it is given up.
func TestOlderMemberCountsInTheEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := boardInEra3()
		b.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10, "b": 20}))
		b.Apply(membersDelta(at(4, 30), at(4, 31), false, map[string]int64{"c": 31}))
		confirmFor(b, MembersSection, retentionTime)
		is.Equal(b.View().Members.ByName["b"].Revision, at(4, 20))
		is.Equal(b.View().Members.Retained(), 0)
	})
}

// Guards against a process that follows a peer and concludes from the peer's members that some
// have ended, and against one that keeps those that the peer has given up.
func TestRetentionHoldsForFollowersOfPeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		source, follower, fresh := boardInEra3(), boardInEra3(), NewBoard()
		follower.Apply(membersDelta(at(3, 50), at(3, 51), false, map[string]int64{"c": 51})) // unknown to source
		poll := func(b *Board) {
			changes := source.ChangesSince(map[Section]Revision{MembersSection: b.View().Members.Revision})
			for _, d := range changes.Deltas {
				b.Apply(d)
			}
			if changes.MembersIncomplete {
				b.ConfirmInEra(MembersSection, changes.Eras[MembersSection], changes.MembersConfirmedAt)
			} else {
				b.ConfirmComplete(changes.Eras[MembersSection], changes.MembersConfirmedAt)
			}
		}
		source.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10}))
		source.ConfirmInEra(MembersSection, 4, time.Now())
		time.Sleep(time.Second)
		poll(follower)
		poll(fresh)
		is.Equal(names(follower), []string{"a", "b", "c"})
		is.Equal(names(fresh), []string{"a", "b"})
		_, c := fresh.Snapshot()
		is.True(c.Members.IsZero())
		confirmFor(source, MembersSection, retentionTime-time.Second)
		poll(follower) // its own retention would last 1 s more
		poll(fresh)
		is.Equal(names(follower), []string{"a"})
		is.Equal(names(fresh), []string{"a"})
		_, c = fresh.Snapshot()
		is.Equal(c.Members, time.Now())
	})
}

// Guards against a response of the era before, which was on its way for long, that confirms
// members of the new era.
func TestNoSectionIsConfirmedFromAnotherEra(t *testing.T) {
	is := is.New(t)
	b := boardInEra3()
	b.Apply(membersDelta(0, at(4, 30), true, nil))
	before := b.SectionConfirmedAt(MembersSection)
	b.ConfirmInEra(MembersSection, 3, time.Now().Add(time.Second))
	b.ConfirmComplete(3, time.Now().Add(time.Second))
	is.Equal(b.SectionConfirmedAt(MembersSection), before)
}

// Guards against a failure domain that gets new flows during its evacuation, and against one
// that gets none for good.
func TestEvacuationsAreRetained(t *testing.T) {
	domains := func(from, to Revision, full bool, domains, retained, ended []string) Delta {
		return Delta{Section: EvacuationsSection, From: from, To: to, Full: full, Domains: domains, Retained: retained, Ended: ended}
	}
	list := func(b *Board) []string { return slices.Sorted(maps.Keys(b.View().Evacuations.Domains)) }
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBoard()
		b.Apply(domains(0, at(3, 50), true, []string{"huvo", "shawi", "trois"}, nil, nil))
		b.ConfirmInEra(EvacuationsSection, 3, time.Now())
		b.Apply(domains(0, at(4, 30), true, []string{"shawi"}, nil, nil))
		is.Equal(list(b), []string{"huvo", "shawi", "trois"})
		is.Equal(b.View().Evacuations.LastEnd("huvo"), at(3, 50)) // of the first listing
		// Another process doesn't know trois.
		b.Apply(domains(at(4, 30), at(4, 31), false, []string{"huvo", "shawi"}, nil, nil)) // huvo is written again
		is.Equal(b.View().Evacuations.Retained(), []string{"trois"})
		confirmFor(b, EvacuationsSection, retentionTime)
		is.Equal(list(b), []string{"huvo", "shawi"})
		is.True(b.View().Evacuations.LastEnd("trois") > at(4, 31))
		// One that has come back is in force until it is deleted.
		b.Apply(domains(at(4, 31), at(4, 32), false, []string{"huvo"}, nil, []string{"shawi"}))
		is.Equal(list(b), []string{"huvo"})
		is.Equal(b.View().Evacuations.LastEnd("shawi"), at(4, 32))
	})
}

// Guards against a configuration that goes back to the version in the copy, and against routes
// of another version than the one in force, since others know the copy's at that revision.
func TestEarlierConfigurationIsNotApplied(t *testing.T) {
	is := is.New(t)
	configuration := func(version int64, routes ...int) Configuration {
		c := Configuration{Version: version, Routes: map[netip.AddrPort]Route{}}
		for _, i := range routes {
			c.Routes[routeAddress(i)] = Route{Name: "r", Address: routeAddress(i)}
		}
		return c
	}
	v6, v7, v8 := configuration(6, 1), configuration(7, 1, 2), configuration(8, 3)
	full := func(to Revision, c Configuration) Delta {
		return Delta{Section: ConfigurationSection, To: to, Full: true, Configuration: c.DeltaFrom(Configuration{})}
	}
	holder, fresh := NewBoard(), NewBoard()
	holder.Apply(full(at(3, 50), v7))
	holder.Apply(full(at(4, 20), v6))
	fresh.Apply(full(at(4, 20), v6))
	is.Equal(holder.View().Configuration.Version, int64(7))
	is.Equal(len(holder.View().Configuration.Routes), 2)
	is.Equal(holder.View().Configuration.Revision, at(4, 20)) // a watch goes on from there
	is.Equal(fresh.View().Configuration.Version, int64(6))

	next := v8
	d := Delta{Section: ConfigurationSection, From: at(4, 20), To: at(4, 40), Configuration: next.DeltaFrom(fresh.View().Configuration)}
	is.True(fresh.Apply(d))
	is.True(!holder.Apply(d))
	is.True(holder.Apply(fresh.View().FullDelta(ConfigurationSection)))
	is.Equal(len(holder.View().Configuration.Routes), 1)
	is.True(!holder.View().Configuration.Held)
	// Within the era, the operator may go back.
	is.True(holder.Apply(full(at(4, 41), v6)))
	is.Equal(holder.View().Configuration.Version, int64(6))

	// The copy has none, and a process that learns of it from a peer holds it too.
	holder.Apply(Delta{Section: ConfigurationSection, To: at(5, 9), Full: true})
	is.Equal(holder.View().Configuration.Version, int64(6))
	follower := NewBoard()
	follower.Apply(holder.View().FullDelta(ConfigurationSection))
	is.Equal(follower.View().Configuration.Version, int64(6))
	follower.Apply(full(at(5, 10), configuration(5)))
	is.Equal(follower.View().Configuration.Version, int64(6))
}

// Guards against a balancer that gives up running agents as soon as the store is back after it
// failed again before they could write their members.
func TestRetentionDoesNotEndWhileTheStoreIsDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := boardInEra3()
		confirmed := time.Now()
		b.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10}))
		confirmFor(b, MembersSection, time.Second)
		time.Sleep(retentionTime)
		b.ConfirmInEra(MembersSection, 4, time.Now()) // the store is back
		is.Equal(names(b), []string{"a", "b"})
		_, c := b.Snapshot()
		is.Equal(c.Members, confirmed)
		confirmFor(b, MembersSection, retentionTime)
		is.Equal(names(b), []string{"a"})
	})
}

// Guards against a leaving backend server that gets new flows again because a process got the
// retained member from a peer, without the state that the store has, and takes this for a write
// of the new era.
func TestFollowersReceiveTheStoredState(t *testing.T) {
	is := is.New(t)
	source, follower := boardInEra3(), NewBoard()
	source.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10, "b": 20}))
	is.True(follower.Apply(source.View().FullDelta(MembersSection)))
	stored, ok := follower.View().Members.InStore("b")
	is.True(ok)
	is.Equal(stored.Revision, at(4, 20))
	follower.Apply(membersDelta(0, at(4, 61), true, map[string]int64{"a": 10, "b": 20}))
	is.Equal(follower.View().Members.ByName["b"].Revision, at(3, 40))
}

// Guards against a member that goes back from a write of the new era to the state before it,
// because a peer, which listed the members only after that write, retains that state.
func TestPeersDoNotUndoWritesOfTheEra(t *testing.T) {
	is := is.New(t)
	late, follower := boardInEra3(), boardInEra3()
	follower.Apply(membersDelta(0, at(4, 30), true, map[string]int64{"a": 10, "b": 20}))
	follower.Apply(membersDelta(at(4, 30), at(4, 36), false, map[string]int64{"b": 36}))
	late.Apply(membersDelta(0, at(4, 37), true, map[string]int64{"a": 10, "b": 36}))
	is.Equal(late.View().Members.ByName["b"].Revision, at(3, 40)) // it may be from the copy
	is.True(follower.Apply(late.View().FullDelta(MembersSection)))
	is.Equal(follower.View().Members.ByName["b"].Revision, at(4, 36))
	is.Equal(follower.View().Members.Retained(), 0)
}

// writtenMember returns a member that names an era and how long ago it was first seen, 0 if it
// names no time. Its revision is of era 4.
func writtenMember(name string, era int64, age time.Duration) Member {
	m := Member{Name: name, Revision: at(4, 10), Era: era}
	if age != 0 {
		m.EraSeenMS = time.Now().Add(-age).UnixMilli()
	}
	return m
}

// Guards against a process that starts in an old era, as after a power cut of all hosts, and
// resets no flow for 10 s, and against one that starts in a young era and resets those of an
// agent whose member the copy lacks.
func TestOldEraIsSettledAtStart(t *testing.T) {
	const old, young = time.Hour, 12 * time.Second // clocks may differ by 5 s
	for _, c := range []struct {
		name    string
		members []Member
		settled bool
	}{
		{"no members", nil, false},
		{"members of the copy", []Member{writtenMember("a", 3, old), writtenMember("b", 3, old)}, false},
		{"members of an earlier version", []Member{writtenMember("a", 0, 0), writtenMember("b", 0, 0)}, false},
		{"an era without a time", []Member{writtenMember("a", 4, 0)}, false},
		{"a time without an era", []Member{writtenMember("a", 0, old)}, false},
		{"a young era", []Member{writtenMember("a", 4, young), writtenMember("b", 3, old)}, false},
		{"a time in the future", []Member{writtenMember("a", 4, -old)}, false},
		{"a time below 0", []Member{{Name: "a", Revision: at(4, 10), Era: 4, EraSeenMS: -1}}, false},
		{"the last time of all", []Member{{Name: "a", Revision: at(4, 10), Era: 4, EraSeenMS: 1<<63 - 1}}, false},
		{"an era above the current one", []Member{writtenMember("a", 5, old)}, false},
		{"one wrong clock of two", []Member{writtenMember("a", 4, old), writtenMember("b", 4, young)}, false},
		{"one wrong clock of three", []Member{writtenMember("a", 4, old), writtenMember("b", 4, young), writtenMember("c", 4, young)}, false},
		{"an old era", []Member{writtenMember("a", 4, old)}, true},
		{"an old era among members of the copy", []Member{writtenMember("a", 3, 2*old), writtenMember("b", 4, old), writtenMember("c", 0, 0)}, true},
		{"an old era and one clock ahead", []Member{writtenMember("a", 4, old), writtenMember("b", 4, old), writtenMember("c", 4, -old)}, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for _, m := range c.members {
				is.Equal(m.Revision.Era(), int64(4))
			}
			b := NewBoard()
			b.Apply(Delta{Section: MembersSection, To: at(4, 30), Full: true, Members: c.members})
			now := time.Now()
			b.ConfirmInEra(MembersSection, 4, now)
			_, confirmed := b.Snapshot()
			is.Equal(confirmed.Members.Equal(now), c.settled)
			is.Equal(b.ChangesSince(nil).MembersIncomplete, !c.settled)
		})
	}
}

// Guards against a process that has seen a change of era and gives up what it retains by the
// times that members name: an agent that was partitioned with it hasn't been heard of yet.
func TestObservedChangeOfEraIsNotSettledByMembers(t *testing.T) {
	is := is.New(t)
	b := boardInEra3()
	b.Apply(Delta{Section: MembersSection, To: at(4, 30), Full: true, Members: []Member{writtenMember("a", 4, time.Hour)}})
	b.ConfirmInEra(MembersSection, 4, time.Now())
	is.Equal(names(b), []string{"a", "b"})
	is.True(b.ChangesSince(nil).MembersIncomplete)
}

// Guards against an era that counts as young again after each restart, against a new era that
// counts as old as the one before, and against new fields in members of a store without eras.
func TestEraSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		b := NewBoard()
		b.Apply(Delta{Section: MembersSection, To: NewRevision(0, 20), Full: true})
		era, seenMS := b.EraSeen()
		is.Equal(era, int64(0))
		is.Equal(seenMS, int64(0))
		b.Apply(Delta{Section: MembersSection, To: at(3, 30), Full: true})
		first := time.Now()
		time.Sleep(time.Minute)
		era, seenMS = b.EraSeen()
		is.Equal(era, int64(3))
		is.Equal(seenMS, first.UnixMilli())
		b.Apply(Delta{Section: MembersSection, To: at(4, 30), Full: true})
		era, seenMS = b.EraSeen()
		is.Equal(era, int64(4))
		is.Equal(seenMS, time.Now().UnixMilli())

		restarted := NewBoard()
		restarted.Apply(Delta{Section: MembersSection, To: at(4, 30), Full: true, Members: []Member{
			writtenMember("a", 4, time.Hour), writtenMember("b", 4, 2*time.Hour), writtenMember("c", 4, time.Second),
		}})
		_, seenMS = restarted.EraSeen()
		is.Equal(seenMS, time.Now().Add(-time.Hour).UnixMilli())
		// The next era is as young as it is.
		restarted.Apply(Delta{Section: MembersSection, To: at(5, 20), Full: true})
		_, seenMS = restarted.EraSeen()
		is.Equal(seenMS, time.Now().UnixMilli())

		young := NewBoard()
		young.Apply(Delta{Section: MembersSection, To: at(4, 30), Full: true, Members: []Member{writtenMember("a", 4, time.Second)}})
		_, seenMS = young.EraSeen()
		is.Equal(seenMS, time.Now().UnixMilli())
	})
}

// Guards against a member that was written again in the new era before this process listed it,
// and that is retained in its earlier state for 10 s because it differs in the era alone or
// because the new position is lower.
func TestMemberWrittenInTheNewEraIsNotRetained(t *testing.T) {
	for _, position := range []int64{25, 40, 45} {
		is := is.New(t)
		b := boardInEra3()
		shown := Member{Name: "b", Slots: 40, Revision: at(4, position), Era: 4, EraSeenMS: time.Now().UnixMilli()}
		b.Apply(Delta{Section: MembersSection, To: at(4, 50), Full: true, Members: []Member{shown}})
		is.Equal(b.View().Members.ByName["b"], shown)
	}
}
