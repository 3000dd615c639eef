package change

import (
	"context"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
)

const (
	day         = 24 * time.Hour
	objectLimit = 1_000_000 // bytes, the platform's limit for one value
)

// largeSheet returns the sheet of one day at the target size: 594 restarts, each
// a leave and a join, 9 hosts that leave permanently and 3 changes of a failure
// domain. New names replace the hosts that left.
func largeSheet(dayNumber int) *sheet.Sheet {
	s := &sheet.Sheet{}
	for i := range 6 {
		s.Domains = append(s.Domains, sheet.Domain{Name: fmt.Sprintf("gj-west-%d", i), Region: "gj-west"})
	}
	for i := range 340 {
		service := sample(9, 9).Services[0]
		service.Name = fmt.Sprintf("numbering-%03d", i)
		service.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 1, byte(i >> 8), byte(i)}), 7001)
		service.FeedPaths = []string{"/feed"}
		s.Services = append(s.Services, service)
	}
	at := start.Add(time.Duration(dayNumber) * day)
	backend := func(kind config.ChangeKind, id int, after time.Duration) {
		service := s.Services[id%340].Name
		name := fmt.Sprintf("%s-%04d", service, id)
		s.Changes = append(s.Changes, sheet.Change{Kind: kind, Subject: name, Service: service, At: at.Add(after)})
	}
	for i := range 594 {
		id := (dayNumber*594 + i) % 3300
		backend(config.Leave, id, time.Duration(i+1)*time.Minute)
		backend(config.Join, id, time.Duration(i+10)*time.Minute)
	}
	for i := range 9 {
		backend(config.Leave, 3300+dayNumber*9+i, time.Duration(i+1)*time.Hour)
	}
	for i, kind := range []config.ChangeKind{config.DomainOut, config.DomainBack, config.DomainOut} {
		s.Changes = append(s.Changes, sheet.Change{Kind: kind, Subject: "gj-west-0", At: at.Add(time.Duration(i+1) * time.Hour)})
	}
	return s
}

// Guards against a configuration that grows beyond the platform's limit, and
// against a sheet that makes changes when it is applied again, on the same day
// or a day later.
func TestSixtyDaysStayBelowObjectLimit(t *testing.T) {
	is := is.New(t)
	ctx, now := context.Background(), start
	store := &scriptedStore{next: func() writePlan { return writePlan{} }}
	e := New(store, Options{Now: func() time.Time { return now }})
	largest := 0
	for dayNumber := range 60 {
		now = start.Add(time.Duration(dayNumber) * day)
		is.Equal(len(largeSheet(dayNumber).Changes), 1200)
		r, err := e.ApplySheet(ctx, largeSheet(dayNumber))
		is.NoErr(err)
		is.True(len(r.Difference) >= 1200)
		for _, reappliedDay := range []int{dayNumber, dayNumber - 1} {
			if dayNumber%20 != 1 {
				continue // check one day in 20 to save time
			}
			r, err = e.ApplySheet(ctx, largeSheet(reappliedDay))
			is.NoErr(err)
			is.Equal(len(r.Difference), 0)
		}
		largest = max(largest, len(store.object.Value))
		store.history = store.history[len(store.history)-1:]
	}
	t.Logf("largest configuration %d bytes, last %d bytes with %d planned changes",
		largest, len(store.object.Value), len(store.history[0].Changes))
	is.True(largest < objectLimit)
}

// Guards against pruning that changes views, and against old sheets that make
// their changes again because the changes were pruned.
func TestPruningDoesNotChangeViews(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		now, store := start, &scriptedStore{next: func() writePlan { return writePlan{} }}
		e := New(store, Options{Now: func() time.Time { return now }})
		var full *config.Config // the same changes without pruning
		var sheets []*sheet.Sheet
		for range rapid.IntRange(2, 8).Draw(t, "sheets") {
			now = now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "hours")) * time.Hour)
			s := drawSheet(t, now)
			r, err := e.ApplySheet(context.Background(), s)
			if errkind.Is(err, errkind.SheetStale) {
				continue // plans a leave more than 24 h in the past
			}
			if err != nil {
				t.Fatal(err)
			}
			sheets = append(sheets, s)
			full = sheet.CopyConfig(full)
			for _, c := range s.Changes {
				sheet.AddChange(full, c)
			}
			full.Generation++
			old, err := e.ApplySheet(context.Background(), rapid.SampledFrom(sheets).Draw(t, "old"))
			if err != nil && !errkind.Is(err, errkind.SheetStale) || len(old.Difference) > 0 {
				t.Fatalf("reapplied sheet made the changes %v, error %v", old.Difference, err)
			}
			for hour := range 60 {
				compareViews(t, full, r.Config, now.Add(time.Duration(hour)*time.Hour))
			}
		}
	})
}

// drawSheet returns a sheet with restarts and a change of a failure domain at
// random times around now.
func drawSheet(t *rapid.T, now time.Time) *sheet.Sheet {
	s := sample(9, 9)
	at := func() time.Time { return now.Add(time.Duration(rapid.IntRange(-30, 30).Draw(t, "at")) * time.Hour) }
	for _, name := range []string{"b-1", "b-2"} {
		leave := sheet.Change{Kind: config.Leave, Subject: name, Service: "comptoir", At: at()}
		s.Changes = append(s.Changes, leave)
		if rapid.Bool().Draw(t, "returns") {
			leave.Kind, leave.At = config.Join, leave.At.Add(time.Minute)
			s.Changes = append(s.Changes, leave)
		}
	}
	kind := rapid.SampledFrom([]config.ChangeKind{config.DomainOut, config.DomainBack}).Draw(t, "kind")
	s.Changes = append(s.Changes, sheet.Change{Kind: kind, Subject: "cap", At: at()})
	return s
}

func compareViews(t *rapid.T, full, pruned *config.Config, at time.Time) {
	a, b := full.View(at), pruned.View(at)
	for _, name := range []string{"b-1", "b-2"} {
		was, leaving := a.BackendLeaving(name)
		is, still := b.BackendLeaving(name)
		if leaving != still || !was.Equal(is) || a.BackendJoined(name) != b.BackendJoined(name) {
			t.Fatalf("%s at %v: %v %v, pruned %v %v", name, at, leaving, a.BackendJoined(name), still, b.BackendJoined(name))
		}
	}
	was, out := a.DomainOut("cap")
	is, still := b.DomainOut("cap")
	if out != still || !was.Equal(is) {
		t.Fatalf("cap at %v: %v, pruned %v", at, out, still)
	}
}

// Guards against a conflict that is reported only because a concurrent update
// pruned due changes, and against a stale sheet that is accepted because a
// change that it does not know was pruned.
func TestConflictsWithPruning(t *testing.T) {
	is := is.New(t)
	ctx, now := context.Background(), start
	store := &scriptedStore{next: func() writePlan { return writePlan{} }}
	e := New(store, Options{Now: func() time.Time { return now }})
	applyChange := func(kind config.ChangeKind, subject, service string) error {
		now = now.Add(time.Hour)
		_, err := e.Apply(ctx, Immediate(sheet.Change{Kind: kind, Subject: subject, Service: service}, e.Now))
		return err
	}
	_, err := e.ApplySheet(ctx, sample(9, 9))
	is.NoErr(err)
	is.NoErr(applyChange(config.Leave, "b-1", "comptoir"))
	is.NoErr(applyChange(config.Join, "b-1", "comptoir"))
	is.NoErr(applyChange(config.DomainOut, "cap", ""))
	is.NoErr(applyChange(config.DomainBack, "cap", ""))
	now = now.Add(3 * day)
	store.next = func() writePlan {
		store.next = func() writePlan { return writePlan{} }
		is.NoErr(applyChange(config.DomainOut, "shawi", "")) // prunes the changes of b-1
		return writePlan{}
	}
	is.NoErr(applyChange(config.Leave, "b-1", "comptoir"))
	last := store.history[len(store.history)-1]
	is.Equal(len(store.history), 7)
	is.Equal(len(last.Changes), 3) // cap is back, shawi is out, b-1 leaves again
	is.NoErr(applyChange(config.Join, "b-2", "comptoir"))
	is.Equal(len(store.history), 7) // it has joined, whether or not its join was pruned
	stale := sample(9, 9)
	stale.BaseGeneration = 1
	stale.Changes = []sheet.Change{{Kind: config.DomainOut, Subject: "cap", At: now.Add(day)}}
	_, err = e.ApplySheet(ctx, stale)
	is.True(errkind.Is(err, errkind.SheetStale))
}
