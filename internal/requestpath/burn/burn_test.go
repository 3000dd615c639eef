package burn

import (
	"encoding/json"
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/proptest"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var start = time.Date(2026, 12, 4, 8, 2, 30, 0, time.UTC)

func configView(at time.Time, names ...string) config.View {
	c := &config.Config{Generation: 7}
	for _, name := range names {
		c.Services = append(c.Services, config.Service{Name: name, Objectives: config.Objectives{
			AnsweredShare: 0.999, UnbrokenShare: 0.9999, LatencyP99: 250 * time.Millisecond}})
	}
	return c.View(at)
}

// event is the end of one request or one flow.
type event struct {
	at      time.Time
	service string
	flow    bool
	kind    errkind.Kind
	slow    bool
}

func (e event) record(t *Tracker) {
	if e.flow {
		t.RecordFlowEnd(e.at, e.service, e.kind)
		return
	}
	t.RecordRequest(e.at, e.service, e.kind, e.slow)
}

// drawEvents returns up to 60 events over up to 20 h, in order of time.
func drawEvents(t *rapid.T) []event {
	at := start
	var list []event
	for range rapid.IntRange(0, 60).Draw(t, "count") {
		at = at.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Second)
		list = append(list, event{
			at:      at,
			service: rapid.SampledFrom([]string{"comptoir", "nuancier"}).Draw(t, "service"),
			flow:    rapid.Bool().Draw(t, "flow"),
			kind:    rapid.SampledFrom([]errkind.Kind{0, 0, errkind.BackendFull, errkind.BackendLost, errkind.DomainOut}).Draw(t, "kind"),
			slow:    rapid.Bool().Draw(t, "slow"),
		})
	}
	return list
}

func lastEventAt(list []event) time.Time {
	if len(list) == 0 {
		return start
	}
	return list[len(list)-1].at
}

// Guards against a merge that counts twice, loses counts or depends on the order
// in which the processes' messages arrive.
func TestMergedTrackersEqualOneTracker(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list := drawEvents(t)
		single, parts := NewTracker(), []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		for _, e := range list {
			e.record(single)
			e.record(parts[rapid.IntRange(0, 2).Draw(t, "process")])
		}
		now := lastEventAt(list).Add(time.Duration(rapid.IntRange(0, 7*3600).Draw(t, "later")) * time.Second)
		merged := NewTracker()
		for _, n := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			if err := merged.Merge(now, roundTripJSON(t, parts[n].Message())); err != nil {
				t.Fatal(err)
			}
		}
		v := configView(now, "comptoir", "nuancier")
		if a, b := single.Report(v), merged.Report(v); !reflect.DeepEqual(a, b) {
			t.Fatal(cmp.Diff(a, b))
		}
	})
}

func roundTripJSON(t *rapid.T, m Message) Message {
	data, err := json.Marshal(m)
	if err != nil {
		t.Fatal(err)
	}
	var out Message
	if err := json.Unmarshal(data, &out); err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against a window that misses events inside it, or that counts events
// older than the window plus one bucket.
func TestWindowsCountTheirEvents(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list := drawEvents(t)
		tracker := NewTracker()
		for _, e := range list {
			e.record(tracker)
		}
		now := lastEventAt(list).Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "later")) * time.Second)
		for _, s := range tracker.Report(configView(now, "comptoir")).Services {
			for _, w := range s.Indicators[0].Windows {
				span := fineSpan
				if w.Window > Window30m {
					span = coarseSpan
				}
				minimum, maximum := unansweredSince(list, now.Add(-w.Window)), unansweredSince(list, now.Add(-w.Window-span))
				if w.Bad < minimum || w.Bad > maximum {
					t.Fatalf("%s: %d unanswered, want %d to %d", w.Window, w.Bad, minimum, maximum)
				}
			}
		}
	})
}

func unansweredSince(list []event, since time.Time) (n uint64) {
	for _, e := range list {
		counted := e.kind != 0 && e.kind != errkind.DomainOut
		if e.service == "comptoir" && !e.flow && counted && !e.at.Before(since) {
			n++
		}
	}
	return n
}

// Guards against an alert that starts late in an outage, stays active long after
// it, or is active without an outage.
func TestFastAlertFollowsOutage(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	alerting := func(minute int) bool {
		return tracker.Report(configView(start.Add(time.Duration(minute)*time.Minute), "comptoir")).HasActiveAlerts()
	}
	var alertAt []int
	for minute := range 120 {
		outage := minute >= 60 && minute < 70
		for n := range 100 {
			kind := errkind.Kind(0)
			if outage && n < 20 {
				kind = errkind.BackendDown
			}
			tracker.RecordRequest(start.Add(time.Duration(minute)*time.Minute), "comptoir", kind, false)
		}
		if alerting(minute) {
			alertAt = append(alertAt, minute)
		}
	}
	is.True(len(alertAt) > 0)
	is.True(alertAt[0] >= 60 && alertAt[0] <= 65)
	is.True(alertAt[len(alertAt)-1] <= 101) // 10 min outage, then the slow alert's 30 min window
}

// Guards against messages that grow with time or traffic: a report merges the
// messages of 3,300 processes.
func TestMessageIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 20_000 {
		row := errkind.Table()[n%len(errkind.Table())]
		tracker.RecordRequest(start.Add(time.Duration(n)*4*time.Second), "comptoir", row.Kind, false)
		tracker.RecordFlowEnd(start.Add(time.Duration(n)*4*time.Second), "comptoir", row.Kind)
	}
	m := tracker.Message()
	is.Equal([]int{len(m.Services[0].Fine), len(m.Services[0].Coarse), len(m.Services[0].Causes)}, []int{31, 73, 13})
	data, err := json.Marshal(m)
	is.NoErr(err)
	is.True(len(data) < 48*1024) // although every bucket holds every kind of the table
}

// Guards against a malformed message from a peer that changes or displaces
// correct counts.
func TestMalformedMessagesAddNothing(t *testing.T) {
	counts := func(index int64, n int) []bucket[Counts] {
		list := make([]bucket[Counts], n)
		for i := range list {
			list[i] = bucket[Counts]{index, Counts{Requests: 1}}
		}
		return list
	}
	current := start.UnixNano() / int64(fineSpan)
	services := make([]ServiceMessage, maxServices)
	for n := range services {
		services[n].Name = fmt.Sprint("s", n)
	}
	for name, m := range map[string]Message{
		"ahead":             {[]ServiceMessage{{Name: "comptoir", Fine: counts(current+5, 1)}}},
		"negative":          {[]ServiceMessage{{Name: "comptoir", Fine: counts(-1, 1)}}},
		"too many buckets":  {[]ServiceMessage{{Name: "comptoir", Fine: counts(current, 32)}}},
		"second is ahead":   {[]ServiceMessage{{Name: "comptoir", Fine: counts(current, 1)}, {Name: "b", Fine: counts(current+5, 1)}}},
		"too many services": {services},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			tracker := NewTracker()
			tracker.RecordRequest(start, "comptoir", 0, false)
			before := tracker.Message()
			is.True(errkind.Is(tracker.Merge(start, m), errkind.PeerMalformed))
			is.Equal(cmp.Diff(before, tracker.Message()), "")
		})
	}
}
