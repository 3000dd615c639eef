package config

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

// drawn returns a configuration of a few subjects with changes around start,
// among them changes at the same time.
func drawn(t *rapid.T) *Config {
	c := sample()
	c.Generation = 4
	c.AcceptedAt = start.Add(time.Duration(rapid.IntRange(-30, 1).Draw(t, "accepted")) * time.Hour)
	for i := range rapid.IntRange(1, 14).Draw(t, "changes") {
		kind := rapid.SampledFrom([]ChangeKind{Join, Leave, DomainOut, DomainBack}).Draw(t, "kind")
		ch := PlannedChange{ID: string(rune('a' + i)), Kind: kind, Generation: uint64(rapid.IntRange(1, 4).Draw(t, "generation"))}
		ch.At = start.Add(time.Duration(rapid.IntRange(-60, 12).Draw(t, "hour")) * time.Hour)
		if ch.ofDomain() {
			ch.Subject = rapid.SampledFrom([]string{"shawi", "tr-centre"}).Draw(t, "domain")
		} else {
			ch.Subject, ch.Service = rapid.SampledFrom([]string{"b-1", "b-2"}).Draw(t, "backend"), "comptoir"
		}
		c.Changes = append(c.Changes, ch)
	}
	return c
}

// answers is what a View tells about one subject.
type answers struct {
	out, back, leaving, next time.Time
	isOut, isBack, isLeaving bool
	joined, hasNext          bool
}

func ask(v View, name string) (a answers) {
	a.out, a.isOut = v.DomainOut(name)
	a.back, a.isBack = v.DomainBackSince(name)
	a.leaving, a.isLeaving = v.BackendLeaving(name)
	a.next, a.hasNext = v.NextChange()
	a.joined = v.BackendJoined(name)
	return a
}

// Guards against pruning that changes what any process does, at any time from
// 1 s before the writer's now on, because a process may be that much behind.
func TestPrunedGivesTheSameView(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := drawn(t)
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
				if ask(full, name) != ask(pruned, name) {
					t.Fatalf("%s at %v: %+v, pruned %+v\n%v\n%v", name, at, ask(full, name), ask(pruned, name), c.Changes, p.Changes)
				}
			}
		}
	})
}

// Guards against pruning that keeps what the bound says is dropped, or drops
// what is younger than Retention.
func TestPrunedBound(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		c := drawn(t)
		p := c.Pruned(start)
		horizon := c.Horizon(start)
		old := map[string]time.Time{}
		for _, ch := range p.Changes {
			if ch.Generation == p.Generation {
				continue
			}
			if at, ok := old[ch.Subject]; ok && !ch.At.After(horizon) && !ch.At.Equal(at) {
				t.Fatalf("two old changes of %s remain: %v", ch.Subject, p.Changes)
			}
			if !ch.At.After(horizon) {
				old[ch.Subject] = ch.At
			}
		}
		for _, ch := range c.Changes {
			if (ch.At.After(start.Add(-Retention)) || ch.Generation == c.Generation) && !slices.Contains(p.Changes, ch) {
				t.Fatalf("%v is gone", ch)
			}
		}
	})
}

// Guards against a backend server that comes back into service because its
// leave was pruned, and against one host with a clock far ahead that drops
// changes which are still planned for everyone else.
func TestPrunedKeeps(t *testing.T) {
	is := is.New(t)
	c := sample()
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
	is.Equal(c.Pruned(start.Add(100*24*time.Hour)).Changes, c.Changes[1:2]) // the leave has not passed
	var none *Config
	is.True(none.Pruned(start) == nil)
}
