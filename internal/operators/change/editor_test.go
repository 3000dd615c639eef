package change

import (
	"context"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

func fixedClock() time.Time { return start }

func sample(comptoir, nuancier int) *sheet.Sheet {
	service := func(name string, port uint16, slots int) config.Service {
		return config.Service{
			Name: name, Address: netip.AddrPortFrom(netip.MustParseAddr("127.0.0.1"), port),
			Limits:         config.Limits{Slots: slots, Connections: 2000, ColdSlots: 1},
			RequestTimeout: time.Second,
		}
	}
	return &sheet.Sheet{
		Domains:  []sheet.Domain{{Name: "shawi", Region: "mauricie"}, {Name: "cap", Region: "mauricie"}},
		Services: []config.Service{service("comptoir", 7001, comptoir), service("nuancier", 7002, nuancier)},
	}
}

// simulation runs operations of two operators against one scripted store.
type simulation struct {
	t                 *rapid.T
	store             *scriptedStore
	now               time.Time
	opCount           int
	inNestedOperation bool // an operation runs during the write of another one
}

func (sim *simulation) clock() time.Time { return sim.now }

// operation is an operation of one operator and its result.
type operation struct {
	name           string // prefix of its change IDs
	historyAtStart int    // length of the history when it first read
	err            error
	changed        bool
}

func (sim *simulation) drawWritePlan() writePlan {
	if !sim.inNestedOperation && rapid.Bool().Draw(sim.t, "race") {
		sim.inNestedOperation = true
		sim.runOperation()
		sim.inNestedOperation = false
	}
	return writePlan{
		fault:   fault(rapid.IntRange(int(none), int(rateLimited)).Draw(sim.t, "fault")),
		failing: rapid.IntRange(0, 4).Draw(sim.t, "failing"),
		delay:   rapid.IntRange(1, 6).Draw(sim.t, "delay"),
	}
}

// runOperation performs one random operation and checks its result.
func (sim *simulation) runOperation() {
	sim.opCount++
	sim.now = sim.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(sim.t, "ms")) * time.Millisecond)
	op := operation{name: fmt.Sprintf("op%d.", sim.opCount)}
	opStore := &operationStore{scriptedStore: sim.store}
	attempts := 0
	e := New(opStore, Options{ReadBackTries: 3, ReadBackPause: time.Nanosecond,
		Now: sim.clock,
		NewID: func() string {
			attempts++
			return fmt.Sprintf("%s%d", op.name, attempts)
		},
	})
	var result Result
	result, op.err = sim.apply(e)
	op.changed, op.historyAtStart = len(result.Difference) > 0, opStore.historyAtStart
	sim.check(op)
}

func (sim *simulation) apply(e *Editor) (Result, error) {
	ctx := context.Background()
	slots := rapid.IntRange(1, 3)
	switch rapid.IntRange(0, 3).Draw(sim.t, "operation") {
	case 0:
		s := sample(slots.Draw(sim.t, "comptoir"), slots.Draw(sim.t, "nuancier"))
		s.BaseGeneration = uint64(rapid.IntRange(0, len(sim.store.history)).Draw(sim.t, "base"))
		s.Changes = []sheet.Change{{Kind: config.DomainOut, Subject: "cap", At: sim.now.Add(time.Hour)}}
		return e.ApplySheet(ctx, s)
	case 1:
		c := sheet.Change{Kind: config.Leave, Subject: "comptoir-1", Service: "comptoir"}
		return e.Apply(ctx, Immediate(c, sim.clock))
	case 2:
		c := sheet.Change{Kind: config.DomainOut, Subject: "shawi", At: sim.now.Add(time.Minute)}
		return e.Apply(ctx, Planned(c))
	}
	kind := rapid.SampledFrom([]config.ChangeKind{config.DomainOut, config.DomainBack}).Draw(sim.t, "kind")
	domain := rapid.SampledFrom([]string{"shawi", "cap"}).Draw(sim.t, "domain")
	return e.Apply(ctx, Immediate(sheet.Change{Kind: kind, Subject: domain}, sim.clock))
}

// check compares an operation's result with what the store accepted.
func (sim *simulation) check(op operation) {
	var mine []int
	for i, c := range sim.store.history {
		if strings.HasPrefix(c.ChangeID, op.name) {
			mine = append(mine, i)
		}
	}
	if len(mine) > 1 {
		sim.t.Fatalf("%s was applied %d times", op.name, len(mine))
	}
	if op.changed && len(mine) == 0 {
		sim.t.Fatalf("%s reported success, but is not in the history", op.name)
	}
	outcomeUnknown := errkind.Is(op.err, errkind.PlatformDown) || errkind.Is(op.err, errkind.OutcomeUnread)
	if op.err != nil && !outcomeUnknown && len(mine) > 0 {
		sim.t.Fatalf("%s is in the history, but reported %v", op.name, op.err)
	}
	if len(mine) == 1 && op.historyAtStart > 0 {
		sim.checkRace(op, mine[0])
	}
}

// checkRace verifies that an accepted operation did not overwrite changes that
// others made after its first read.
func (sim *simulation) checkRace(op operation, at int) {
	theirs := sheet.Diff(sim.store.history[op.historyAtStart-1], sim.store.history[at-1])
	ours := sheet.Diff(sim.store.history[at-1], sim.store.history[at])
	if both := theirs.WithSubjectsOf(ours); len(both) > 0 {
		sim.t.Fatalf("%s overwrote a change made meanwhile: %v", op.name, both)
	}
}

// Guards against changes that are lost or applied twice when two operators work
// concurrently, answers are lost, writes take effect late, or the platform is
// down.
func TestNoChangeIsLostOrAppliedTwice(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		sim := &simulation{t: t, store: &scriptedStore{}, now: start}
		sim.store.next = func() writePlan { return writePlan{} }
		_, err := New(sim.store, Options{}).ApplySheet(context.Background(), sample(1, 1))
		if err != nil {
			t.Fatal(err)
		}
		sim.store.next = sim.drawWritePlan
		for range rapid.IntRange(1, 8).Draw(t, "operations") {
			sim.runOperation()
		}
		checkHistory(t, sim.store.history)
	})
}

// checkHistory verifies that generations increase by one, change IDs are unique,
// and only planned changes that are not yet due are removed.
func checkHistory(t *rapid.T, history []*config.Config) {
	ids := map[string]bool{}
	for i, c := range history {
		if c.Generation != uint64(i+1) || ids[c.ChangeID] {
			t.Fatalf("generation %d, change ID %s at position %d", c.Generation, c.ChangeID, i)
		}
		ids[c.ChangeID] = true
		if i == 0 {
			continue
		}
		for _, e := range sheet.Diff(history[i-1], c) {
			if e.Action == sheet.Removed && !isFuture(e, history[i-1], c.AcceptedAt) {
				t.Fatalf("generation %d removed %v", c.Generation, e)
			}
		}
	}
}

func isFuture(e sheet.Entry, c *config.Config, now time.Time) bool {
	for _, have := range c.Changes {
		if strings.HasSuffix(e.Name, have.At.Format(time.RFC3339Nano)) && strings.Contains(e.Name, have.Subject) {
			return have.At.After(now)
		}
	}
	return false
}

// Guards against conflict errors that don't list the other operator's changes,
// and against a concurrent change that is rejected although the subjects differ.
func TestConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &scriptedStore{next: func() writePlan { return writePlan{} }}
	e := New(store, Options{Now: fixedClock})
	_, err := e.ApplySheet(ctx, sample(9, 9))
	is.NoErr(err)
	race := func(other Edit) {
		store.next = func() writePlan {
			store.next = func() writePlan { return writePlan{} }
			_, err := e.Apply(ctx, other)
			is.NoErr(err)
			return writePlan{}
		}
	}
	out := func(domain string) Edit {
		return Immediate(sheet.Change{Kind: config.DomainOut, Subject: domain}, fixedClock)
	}
	race(out("cap"))
	r, err := e.Apply(ctx, out("shawi"))
	is.NoErr(err)
	is.Equal(r.Config.Generation, uint64(3))
	race(Planned(sheet.Change{Kind: config.DomainOut, Subject: "shawi", At: start.Add(time.Hour)}))
	_, err = e.Apply(ctx, Immediate(sheet.Change{Kind: config.DomainBack, Subject: "shawi"}, fixedClock))
	is.True(errkind.Is(err, errkind.VersionConflict))
	is.True(strings.Contains(err.Error(), "the other changed:\n+ planned change domain-out shawi at 2026-12-04T09:00:00Z"))
	stale := sample(8, 9)
	stale.BaseGeneration = 1
	_, err = e.ApplySheet(ctx, stale)
	is.True(errkind.Is(err, errkind.SheetStale))
	is.True(strings.Contains(err.Error(), "slots 9 -> 8"))
	race(func(base *config.Config) (*config.Config, error) { return sample(9, 5).Apply(base, start) })
	_, err = e.ApplySheet(ctx, sample(8, 9))
	is.True(errkind.Is(err, errkind.SheetStale))
	_, err = e.Apply(ctx, out("nowhere"))
	is.True(errkind.Is(err, errkind.SettingInvalid))
}

// Guards against an immediate change without effect: its host's clock is behind,
// and an earlier change made by another host has a later time.
func TestImmediateChangeOverridesHostWithClockAhead(t *testing.T) {
	is := is.New(t)
	store := &scriptedStore{next: func() writePlan { return writePlan{} }}
	e := New(store, Options{Now: fixedClock})
	_, err := e.ApplySheet(context.Background(), sample(9, 9))
	is.NoErr(err)
	for i, kind := range []config.ChangeKind{config.DomainOut, config.DomainBack, config.DomainOut} {
		at := func() time.Time { return start.Add(-time.Duration(i) * 300 * time.Millisecond) }
		r, err := e.Apply(context.Background(), Immediate(sheet.Change{Kind: kind, Subject: "cap"}, at))
		is.NoErr(err)
		_, out := r.Config.View(start.Add(time.Second)).DomainOut("cap")
		is.Equal(out, kind == config.DomainOut)
	}
}

// Guards against an accepted change that is reported as failed or as unnecessary
// because its answer was lost, also when another change was accepted before it
// was read back, and against a definite result when the outcome could not be
// read.
func TestLostAnswerIsReadBack(t *testing.T) {
	for name, c := range map[string]struct {
		plan      writePlan
		overtaken bool
		kind      errkind.Kind // 0: accepted
	}{
		"read back at once":    {plan: writePlan{fault: answerLost}},
		"read back late":       {plan: writePlan{fault: answerLost, failing: 2}},
		"overtaken":            {plan: writePlan{fault: answerLost}, overtaken: true},
		"applied late":         {plan: writePlan{fault: appliedLate, delay: 2}},
		"not accepted":         {plan: writePlan{fault: writeLost}, kind: errkind.PlatformDown},
		"platform out":         {plan: writePlan{fault: answerLost, failing: 3}, kind: errkind.OutcomeUnread},
		"refused by the limit": {plan: writePlan{fault: rateLimited}, kind: errkind.PlatformLimited},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			store := &scriptedStore{next: func() writePlan { return writePlan{} }}
			e := New(store, Options{Now: fixedClock, ReadBackTries: 3, ReadBackPause: time.Nanosecond})
			_, err := e.ApplySheet(ctx, sample(9, 9))
			is.NoErr(err)
			out := func(domain string) Edit {
				return Immediate(sheet.Change{Kind: config.DomainOut, Subject: domain}, fixedClock)
			}
			store.next = func() writePlan {
				store.next = func() writePlan { return writePlan{} }
				if c.overtaken {
					store.pending = append(store.pending, &lateWrite{1, func() { _, _ = e.Apply(ctx, out("cap")) }})
				}
				return c.plan
			}
			r, err := e.Apply(ctx, out("shawi"))
			if c.kind != 0 {
				is.Equal(errkind.Of(err), c.kind)
				return
			}
			is.NoErr(err)
			is.True(r.ReadBack)
			is.Equal(len(r.Difference), 1)
			is.Equal(len(store.history) == 3, c.overtaken)
		})
	}
}
