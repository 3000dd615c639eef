package config

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// drawConfig returns a random configuration with a few subjects and changes
// around start, including changes at the same time.
func drawConfig(t *rapid.T) *Config {
	c := sampleConfig()
	c.Generation = 4
	c.AcceptedAt = start.Add(time.Duration(rapid.IntRange(-30, 1).Draw(t, "accepted")) * time.Hour)
	for i := range rapid.IntRange(1, 14).Draw(t, "changes") {
		kind := rapid.SampledFrom([]ChangeKind{Join, Leave, DomainOut, DomainBack}).Draw(t, "kind")
		ch := PlannedChange{ID: string(rune('a' + i)), Kind: kind, Generation: uint64(rapid.IntRange(1, 4).Draw(t, "generation"))}
		ch.At = start.Add(time.Duration(rapid.IntRange(-60, 12).Draw(t, "hour")) * time.Hour)
		if ch.isDomainChange() {
			ch.Subject = rapid.SampledFrom([]string{"shawi", "tr-centre"}).Draw(t, "domain")
		} else {
			ch.Subject, ch.Service = rapid.SampledFrom([]string{"b-1", "b-2"}).Draw(t, "backend"), "comptoir"
		}
		c.Changes = append(c.Changes, ch)
	}
	return c
}

// subjectView holds what a View returns for one subject.
type subjectView struct {
	out, back, leaving, next time.Time
	isOut, isBack, isLeaving bool
	joined, hasNext          bool
}

func viewOf(v View, name string) (s subjectView) {
	s.out, s.isOut = v.DomainOut(name)
	s.back, s.isBack = v.DomainBackSince(name)
	s.leaving, s.isLeaving = v.BackendLeaving(name)
	s.next, s.hasNext = v.NextChange()
	s.joined = v.BackendJoined(name)
	return s
}

// Guards against pruning that changes the view of any process. The views are
// compared from 1 s before the time of pruning on, because the clock of a
// process may be that far behind.
func TestPrunedGivesTheSameView(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		p := c.Pruned(start)
		if err := p.Check(); err != nil {
			t.Fatal(err)
		}
		instants := []time.Time{start.Add(-time.Second), start}
		for _, ch := range c.Changes {
			instants = append(instants, ch.At, ch.At.Add(time.Nanosecond), ch.At.Add(-time.Nanosecond))
		}
		for _, at := range instants {
			if at.Before(start.Add(-time.Second)) {
				continue
			}
			full, pruned := c.View(at), p.View(at)
			for _, name := range []string{"shawi", "tr-centre", "b-1", "b-2"} {
				if viewOf(full, name) != viewOf(pruned, name) {
					t.Fatalf("%s at %v: %+v, pruned %+v\n%v\n%v", name, at, viewOf(full, name), viewOf(pruned, name), c.Changes, p.Changes)
				}
			}
		}
	})
}

// Guards against pruning that leaves more changes than the bound stated for
// ObsoleteChanges, or that removes changes younger than ChangeRetention.
func TestPrunedBound(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := drawConfig(t)
		p := c.Pruned(start)
		horizon := c.PruneHorizon(start)
		lastOld := map[string]time.Time{}
		for _, ch := range p.Changes {
			if ch.Generation == p.Generation {
				continue
			}
			if at, ok := lastOld[ch.Subject]; ok && !ch.At.After(horizon) && !ch.At.Equal(at) {
				t.Fatalf("two old changes of %s remain: %v", ch.Subject, p.Changes)
			}
			if !ch.At.After(horizon) {
				lastOld[ch.Subject] = ch.At
			}
		}
		for _, ch := range c.Changes {
			if (ch.At.After(start.Add(-ChangeRetention)) || ch.Generation == c.Generation) && !slices.Contains(p.Changes, ch) {
				t.Fatalf("%v must not be pruned", ch)
			}
		}
	})
}

// Guards against a backend server that returns to service because its leave
// was pruned, and against a host with a fast clock that prunes changes which
// are still pending on other hosts.
func TestPrunedKeepsLeaveWithoutJoin(t *testing.T) {
	is := is.New(t)
	c := sampleConfig()
	c.AcceptedAt = start.Add(100 * 24 * time.Hour)
	c.Changes = []PlannedChange{
		{"1", Join, "b-1", "comptoir", start, 1},
		{"2", Leave, "b-1", "comptoir", start.Add(time.Hour), 1},
		{"3", Join, "b-2", "comptoir", start, 1},
	}
	p := c.Pruned(c.AcceptedAt)
	is.Equal(p.Changes, c.Changes[1:2])
	_, leaving := p.View(c.AcceptedAt).BackendLeaving("b-1")
	is.True(leaving)
	is.Equal(len(c.Changes), 3) // the original is unchanged
	c.AcceptedAt = start.Add(time.Hour)
	is.Equal(c.Pruned(start.Add(100*24*time.Hour)).Changes, c.Changes[1:2]) // the leave may still be pending on other hosts
	var nilConfig *Config
	is.True(nilConfig.Pruned(start) == nil)
}
