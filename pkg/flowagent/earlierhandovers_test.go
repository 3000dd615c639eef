package flowagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against new flows while a later process may use a handover of an earlier one, and
// against a refusal that lasts although none can be used.
func TestEvidenceAgainstHandovers(t *testing.T) {
	started := time.Now()
	for name, c := range map[string]struct {
		runningFor  time.Duration
		announced   bool
		confirmedAt time.Duration // since the start; 0 if never
		want        handoverEvidence
	}{
		"nothing known":                       {maxSuccessionTime - 1, false, 0, noEvidence},
		"current view without announcement":   {100 * time.Millisecond, false, 10 * time.Millisecond, currentView},
		"current view with announcement":      {maxSuccessionTime - 1, true, 10 * time.Millisecond, noEvidence},
		"view of just before the start":       {maxSuccessionTime - 1, false, -time.Millisecond, noEvidence},
		"no handover is complete any more":    {maxSuccessionTime, true, 0, handoversExpired},
		"same, with a view of before a start": {maxSuccessionTime, false, -time.Second, handoversExpired},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := earlierHandovers{startedAt: started}
			var confirmedAt time.Time
			if c.confirmedAt != 0 {
				confirmedAt = started.Add(c.confirmedAt)
			}
			is.Equal(s.evidence(started.Add(c.runningFor), c.announced, confirmedAt), c.want)
		})
	}
}

// Guards against a stale handover that ends learning because the time of day was set back, or
// because the version that wrote it doesn't state the time since the start of the machine.
func TestOnlyARecentHandoverEndsLearning(t *testing.T) {
	for name, c := range map[string]struct {
		age, gap       time.Duration
		earlierVersion bool
		complete       bool
	}{
		"recent":                   {time.Second, maxSuccessionTime - 50*time.Millisecond, false, true},
		"a process between":        {time.Second, maxSuccessionTime + 50*time.Millisecond, false, false},
		"time of day set back":     {-time.Second, 4 * time.Second, false, false},
		"time of day set forward":  {8 * time.Second, time.Second, false, false},
		"before a machine restart": {time.Second, -time.Hour, false, false},
		"of an earlier version":    {time.Second, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(platform.Settings{Service: "comptoir", FlowLifetime: time.Minute}, nil, event.Discard())
			h := platform.Handover{Written: time.Now().Add(-c.age), SinceBoot: a.startedSinceBoot - c.gap, Service: "comptoir"}
			if c.earlierVersion {
				h.SinceBoot = 0
			}
			h.Run = flowgate.Run{Instance: "i-1", Started: time.Now().Add(-time.Hour)}
			_, err := a.applyHandover(&h)
			is.NoErr(err)
			is.Equal(a.gate.Handover(time.Now()).LearnFor == 0, c.complete)
		})
	}
}
