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

func view(at time.Time, names ...string) config.View {
	c := &config.Config{Generation: 7}
	for _, name := range names {
		c.Services = append(c.Services, config.Service{Name: name, Objectives: config.Objectives{
			AnsweredShare: 0.999, UnbrokenShare: 0.9999, LatencyP99: 250 * time.Millisecond}})
	}
	return c.View(at)
}

// happening is one request or the end of one flow.
type happening struct {
	at      time.Time
	service string
	flow    bool
	kind    errkind.Kind
	slow    bool
}

func (h happening) count(t *Tracker) {
	if h.flow {
		t.FlowEnded(h.at, h.service, h.kind)
		return
	}
	t.Request(h.at, h.service, h.kind, h.slow)
}

// drawHappenings returns up to 60 happenings over up to 20 h, in order.
func drawHappenings(t *rapid.T) []happening {
	at := start
	var list []happening
	for range rapid.IntRange(0, 60).Draw(t, "count") {
		at = at.Add(time.Duration(rapid.IntRange(0, 1200).Draw(t, "pause")) * time.Second)
		list = append(list, happening{
			at:      at,
			service: rapid.SampledFrom([]string{"comptoir", "nuancier"}).Draw(t, "service"),
			flow:    rapid.Bool().Draw(t, "flow"),
			kind:    rapid.SampledFrom([]errkind.Kind{0, 0, errkind.BackendFull, errkind.BackendLost, errkind.DomainOut}).Draw(t, "kind"),
			slow:    rapid.Bool().Draw(t, "slow"),
		})
	}
	return list
}

func lastAt(list []happening) time.Time {
	if len(list) == 0 {
		return start
	}
	return list[len(list)-1].at
}

// Guards against a merge that counts twice, loses counts or depends on the
// order in which processes answer.
func TestMergedProcessesEqualOne(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list := drawHappenings(t)
		one, parts := NewTracker(), []*Tracker{NewTracker(), NewTracker(), NewTracker()}
		for _, h := range list {
			h.count(one)
			h.count(parts[rapid.IntRange(0, 2).Draw(t, "process")])
		}
		now := lastAt(list).Add(time.Duration(rapid.IntRange(0, 7*3600).Draw(t, "later")) * time.Second)
		merged := NewTracker()
		for _, n := range rapid.Permutation([]int{0, 1, 2}).Draw(t, "order") {
			if err := merged.Merge(now, overTheWire(t, parts[n].Message())); err != nil {
				t.Fatal(err)
			}
		}
		v := view(now, "comptoir", "nuancier")
		if a, b := one.Report(v), merged.Report(v); !reflect.DeepEqual(a, b) {
			t.Fatal(cmp.Diff(a, b))
		}
	})
}

func overTheWire(t *rapid.T, m Message) Message {
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

// Guards against a window that misses what happened inside it, or that still
// counts what is older than the window and one bucket.
func TestWindowsHoldWhatHappened(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		list := drawHappenings(t)
		tracker := NewTracker()
		for _, h := range list {
			h.count(tracker)
		}
		now := lastAt(list).Add(time.Duration(rapid.IntRange(0, 3600).Draw(t, "later")) * time.Second)
		for _, s := range tracker.Report(view(now, "comptoir")).Services {
			for _, w := range s.Indicators[0].Windows {
				span := fineSpan
				if w.Window > Window30m {
					span = coarseSpan
				}
				least, most := refusedSince(list, now.Add(-w.Window)), refusedSince(list, now.Add(-w.Window-span))
				if w.Bad < least || w.Bad > most {
					t.Fatalf("%s: %d refused, expected %d to %d", w.Window, w.Bad, least, most)
				}
			}
		}
	})
}

func refusedSince(list []happening, since time.Time) (n uint64) {
	for _, h := range list {
		counted := h.kind != 0 && h.kind != errkind.DomainOut
		if h.service == "comptoir" && !h.flow && counted && !h.at.Before(since) {
			n++
		}
	}
	return n
}

// Guards against an alert that comes late in an outage, stays long after it,
// or appears without one.
func TestFastAlertFollowsOutage(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	alerting := func(minute int) bool {
		return tracker.Report(view(start.Add(time.Duration(minute)*time.Minute), "comptoir")).Alerting()
	}
	var alertAt []int
	for minute := range 120 {
		outage := minute >= 60 && minute < 70
		for n := range 100 {
			kind := errkind.Kind(0)
			if outage && n < 20 {
				kind = errkind.BackendDown
			}
			tracker.Request(start.Add(time.Duration(minute)*time.Minute), "comptoir", kind, false)
		}
		if alerting(minute) {
			alertAt = append(alertAt, minute)
		}
	}
	is.True(len(alertAt) > 0)
	is.True(alertAt[0] >= 60 && alertAt[0] <= 65)
	is.True(alertAt[len(alertAt)-1] <= 101) // 10 min outage, then the slow alert's 30 min window
}

// Guards against messages that grow with time or traffic: 3,300 processes
// answer one report.
func TestMessageIsBounded(t *testing.T) {
	is := is.New(t)
	tracker := NewTracker()
	for n := range 20_000 {
		row := errkind.Table()[n%len(errkind.Table())]
		tracker.Request(start.Add(time.Duration(n)*4*time.Second), "comptoir", row.Kind, false)
		tracker.FlowEnded(start.Add(time.Duration(n)*4*time.Second), "comptoir", row.Kind)
	}
	m := tracker.Message()
	is.Equal([]int{len(m.Services[0].Fine), len(m.Services[0].Coarse), len(m.Services[0].Causes)}, []int{31, 73, 13})
	data, err := json.Marshal(m)
	is.NoErr(err)
	is.True(len(data) < 48*1024) // every kind of the table in every bucket
}

// Guards against a peer's message that displaces correct counts.
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
			tracker.Request(start, "comptoir", 0, false)
			before := tracker.Message()
			is.True(errkind.Is(tracker.Merge(start, m), errkind.PeerMalformed))
			is.Equal(cmp.Diff(before, tracker.Message()), "")
		})
	}
}
