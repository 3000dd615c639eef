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

func fixed() time.Time { return start }

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

// world runs operations of two operators against one scripted store.
type world struct {
	t      *rapid.T
	store  *scripted
	now    time.Time
	ops    int
	nested bool // an operation runs inside another one's write
}

func (w *world) clock() time.Time { return w.now }

// operation is what one operator did.
type operation struct {
	name  string // prefix of its change IDs
	began int    // length of the history when it first read
	err   error
	made  bool
}

func (w *world) script() script {
	if !w.nested && rapid.Bool().Draw(w.t, "race") {
		w.nested = true
		w.run()
		w.nested = false
	}
	return script{
		fault:   fault(rapid.IntRange(int(none), int(limited)).Draw(w.t, "fault")),
		failing: rapid.IntRange(0, 4).Draw(w.t, "failing"),
		delay:   rapid.IntRange(1, 6).Draw(w.t, "delay"),
	}
}

// run performs one random operation and checks its result.
func (w *world) run() {
	w.ops++
	w.now = w.now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(w.t, "ms")) * time.Millisecond)
	op := operation{name: fmt.Sprintf("op%d.", w.ops)}
	seen := &observed{scripted: w.store}
	attempts := 0
	e := New(seen, Options{ReadBackTries: 3, ReadBackPause: time.Nanosecond,
		Now: w.clock,
		NewID: func() string {
			attempts++
			return fmt.Sprintf("%s%d", op.name, attempts)
		},
	})
	var result Result
	result, op.err = w.apply(e)
	op.made, op.began = len(result.Difference) > 0, seen.began
	w.check(op)
}

func (w *world) apply(e *Editor) (Result, error) {
	ctx := context.Background()
	slots := rapid.IntRange(1, 3)
	switch rapid.IntRange(0, 3).Draw(w.t, "operation") {
	case 0:
		s := sample(slots.Draw(w.t, "comptoir"), slots.Draw(w.t, "nuancier"))
		s.Base = uint64(rapid.IntRange(0, len(w.store.history)).Draw(w.t, "base"))
		s.Changes = []sheet.Change{{Kind: config.DomainOut, Subject: "cap", At: w.now.Add(time.Hour)}}
		return e.ApplySheet(ctx, s)
	case 1:
		c := sheet.Change{Kind: config.Leave, Subject: "comptoir-1", Service: "comptoir"}
		return e.Apply(ctx, Immediate(c, w.clock))
	case 2:
		c := sheet.Change{Kind: config.DomainOut, Subject: "shawi", At: w.now.Add(time.Minute)}
		return e.Apply(ctx, Planned(c))
	}
	kind := rapid.SampledFrom([]config.ChangeKind{config.DomainOut, config.DomainBack}).Draw(w.t, "kind")
	domain := rapid.SampledFrom([]string{"shawi", "cap"}).Draw(w.t, "domain")
	return e.Apply(ctx, Immediate(sheet.Change{Kind: kind, Subject: domain}, w.clock))
}

// check compares an operation's result with what the store accepted.
func (w *world) check(op operation) {
	var mine []int
	for i, c := range w.store.history {
		if strings.HasPrefix(c.ChangeID, op.name) {
			mine = append(mine, i)
		}
	}
	if len(mine) > 1 {
		w.t.Fatalf("%s was applied %d times", op.name, len(mine))
	}
	if op.made && len(mine) == 0 {
		w.t.Fatalf("%s says that it was accepted and was not", op.name)
	}
	unsure := errkind.Is(op.err, errkind.PlatformDown) || errkind.Is(op.err, errkind.OutcomeUnread)
	if op.err != nil && !unsure && len(mine) > 0 {
		w.t.Fatalf("%s was accepted and says %v", op.name, op.err)
	}
	if len(mine) == 1 && op.began > 0 {
		w.checkRace(op, mine[0])
	}
}

// checkRace verifies that an accepted operation left alone what others changed
// after it began.
func (w *world) checkRace(op operation, at int) {
	theirs := sheet.Diff(w.store.history[op.began-1], w.store.history[at-1])
	ours := sheet.Diff(w.store.history[at-1], w.store.history[at])
	if both := theirs.Touching(ours); len(both) > 0 {
		w.t.Fatalf("%s overwrote a change made meanwhile: %v", op.name, both)
	}
}

// Guards against lost or repeated changes with two racing operators, answers
// that are lost, writes that take effect late, and outages.
func TestNoChangeIsLostOrAppliedTwice(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		w := &world{t: t, store: &scripted{}, now: start}
		w.store.next = func() script { return script{} }
		_, err := New(w.store, Options{}).ApplySheet(context.Background(), sample(1, 1))
		if err != nil {
			t.Fatal(err)
		}
		w.store.next = w.script
		for range rapid.IntRange(1, 8).Draw(t, "operations") {
			w.run()
		}
		checkHistory(t, w.store.history)
	})
}

// checkHistory verifies that generations rise by one, change IDs are unique,
// and no planned change that is due disappears.
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
				t.Fatalf("generation %d took back %v", c.Generation, e)
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

// Guards against operators who cannot see why a change was refused, and
// against a merge that is refused although the subjects differ.
func TestConflicts(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := &scripted{next: func() script { return script{} }}
	e := New(store, Options{Now: fixed})
	_, err := e.ApplySheet(ctx, sample(9, 9))
	is.NoErr(err)
	race := func(other Edit) {
		store.next = func() script {
			store.next = func() script { return script{} }
			_, err := e.Apply(ctx, other)
			is.NoErr(err)
			return script{}
		}
	}
	out := func(domain string) Edit {
		return Immediate(sheet.Change{Kind: config.DomainOut, Subject: domain}, fixed)
	}
	race(out("cap"))
	r, err := e.Apply(ctx, out("shawi"))
	is.NoErr(err)
	is.Equal(r.Config.Generation, uint64(3))
	race(Planned(sheet.Change{Kind: config.DomainOut, Subject: "shawi", At: start.Add(time.Hour)}))
	_, err = e.Apply(ctx, Immediate(sheet.Change{Kind: config.DomainBack, Subject: "shawi"}, fixed))
	is.True(errkind.Is(err, errkind.VersionConflict))
	is.True(strings.Contains(err.Error(), "the other changed:\n+ planned change domain-out shawi at 2026-12-04T09:00:00Z"))
	stale := sample(8, 9)
	stale.Base = 1
	_, err = e.ApplySheet(ctx, stale)
	is.True(errkind.Is(err, errkind.SheetStale))
	is.True(strings.Contains(err.Error(), "slots 9 -> 8"))
	race(func(base *config.Config) (*config.Config, error) { return sample(9, 5).Apply(base, start) })
	_, err = e.ApplySheet(ctx, sample(8, 9))
	is.True(errkind.Is(err, errkind.SheetStale))
	_, err = e.Apply(ctx, out("nowhere"))
	is.True(errkind.Is(err, errkind.SettingInvalid))
}

// Guards against a change of a host whose clock is behind that loses against
// the earlier change it answers to.
func TestImmediateWinsOverClockAhead(t *testing.T) {
	is := is.New(t)
	store := &scripted{next: func() script { return script{} }}
	e := New(store, Options{Now: fixed})
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

// Guards against a lost answer that is reported as a failure or as nothing
// done, also when another change came in before the reading, and against a
// claim to know an outcome that could not be read.
func TestLostAnswerIsReadBack(t *testing.T) {
	for name, c := range map[string]struct {
		step      script
		overtaken bool
		kind      errkind.Kind // 0: accepted
	}{
		"read back at once":    {step: script{fault: lost}},
		"read back late":       {step: script{fault: lost, failing: 2}},
		"overtaken":            {step: script{fault: lost}, overtaken: true},
		"applied late":         {step: script{fault: late, delay: 2}},
		"not accepted":         {step: script{fault: refused}, kind: errkind.PlatformDown},
		"platform out":         {step: script{fault: lost, failing: 3}, kind: errkind.OutcomeUnread},
		"refused by the limit": {step: script{fault: limited}, kind: errkind.PlatformLimited},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			ctx := context.Background()
			store := &scripted{next: func() script { return script{} }}
			e := New(store, Options{Now: fixed, ReadBackTries: 3, ReadBackPause: time.Nanosecond})
			_, err := e.ApplySheet(ctx, sample(9, 9))
			is.NoErr(err)
			out := func(domain string) Edit {
				return Immediate(sheet.Change{Kind: config.DomainOut, Subject: domain}, fixed)
			}
			store.next = func() script {
				store.next = func() script { return script{} }
				if c.overtaken {
					store.pending = append(store.pending, &lateWrite{1, func() { _, _ = e.Apply(ctx, out("cap")) }})
				}
				return c.step
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
