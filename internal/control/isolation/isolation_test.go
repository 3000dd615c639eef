package isolation

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
)

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// Guards against a platform outage that isolates a process with a majority in
// reach, and against a cut-off process that is not isolated. The status must
// depend only on the contacts of the last 3 s.
func TestIsolationRule(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 6).Draw(t, "domains")
		tracker, names := New("d0", "r", start), []string{}
		for i := range n {
			names = append(names, fmt.Sprint("d", i))
		}
		alone := rapid.Bool().Draw(t, "alone")
		tracker.SetDomains(names, alone, start)
		now := start.Add(time.Minute)
		ago := func(name string) time.Duration {
			return time.Duration(rapid.IntRange(0, 6000).Draw(t, name)) * time.Millisecond
		}
		reached := 0
		for i, name := range names {
			d := ago(name)
			tracker.RecordProcessContact(name, "r", now.Add(-d))
			tracker.RecordProcessContact(name, "elsewhere", now)
			if d < IsolatedAfter || (alone && i == 0) {
				reached++
			}
		}
		platform := ago("platform")
		tracker.RecordPlatformContact(now.Add(-platform))
		want := platform >= IsolatedAfter && 2*reached <= n
		status := tracker.Status(now)
		if status.Isolated != want {
			t.Fatalf("isolated = %v, with contact to %d of %d domains and to the platform %v ago", status.Isolated, reached, n, platform)
		}
		if want && status.Since.After(now) {
			t.Fatalf("isolated since %v, which is in the future", status.Since)
		}
	})
}

// Guards against isolating a process that reached a majority so far, when a
// failure domain is taken out and the remaining majority has not been reached
// yet.
func TestDomainOutKeepsMajorityContact(t *testing.T) {
	is := is.New(t)
	tracker, now := New("a", "r", start), start.Add(time.Minute)
	tracker.SetDomains([]string{"a", "b", "c"}, false, start)
	tracker.RecordProcessContact("a", "r", now)
	tracker.RecordProcessContact("c", "r", now)
	tracker.SetDomains([]string{"a", "b"}, false, now.Add(time.Second))
	is.True(!tracker.Status(now.Add(IsolatedAfter - 1)).Isolated)
	is.True(tracker.Status(now.Add(IsolatedAfter)).Isolated)
}

// Guards against a balancer that opens flows after 3 s without contact or
// forwards packets after 4 s.
func TestPhases(t *testing.T) {
	is := is.New(t)
	tracker := New("d", "r", start)
	for after, want := range map[time.Duration]Phase{
		IsolatedAfter - 1: PhaseNormal, IsolatedAfter: PhaseNoNewFlows, NoForwardingAfter - 1: PhaseNoNewFlows, NoForwardingAfter: PhaseNoForwarding,
	} {
		now := start.Add(after)
		is.Equal(tracker.Status(now).Phase(now), want)
	}
}
