package flowagent

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/suspension"
	"github.com/knapweedpier/knapweedpier/internal/flowpath/flowgate"
	"github.com/knapweedpier/knapweedpier/platform"
)

// Guards against new flows while a later process may use a handover of an earlier one, and
// against a refusal that lasts although none can be used.
func TestEvidenceAgainstHandovers(t *testing.T) {
	started := time.Now()
	for name, c := range map[string]struct {
		silent      bool
		runningFor  time.Duration
		announced   bool
		confirmedAt time.Duration // since the start; 0 if never
		want        bool
	}{
		"nothing known":                     {false, time.Second, false, 0, false},
		"current view without announcement": {false, time.Second, false, 10 * time.Millisecond, true},
		"current view with announcement":    {true, time.Second, true, 10 * time.Millisecond, false},
		"view of before the start":          {false, time.Second, false, -time.Second, false},
		"same, no answer of the store":      {true, time.Second, false, -time.Second, true},
		"same, peers may get it now":        {true, 399 * time.Millisecond, false, -time.Second, false},
		"same, with announcement":           {true, time.Second, true, -time.Second, false},
		"old view, no answer of the store":  {true, time.Second, false, -2600 * time.Millisecond, false},
		"no handover is complete any more":  {true, maxCompleteAge, true, 0, true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := earlierHandovers{startedAt: started, storeSilent: c.silent}
			var confirmedAt time.Time
			if c.confirmedAt != 0 {
				confirmedAt = started.Add(c.confirmedAt)
			}
			is.Equal(s.evidence(started.Add(c.runningFor), c.announced, confirmedAt) != noEvidence, c.want)
		})
	}
}

// Guards against a stale handover that ends learning because the time of day was set back, or
// because the version that wrote it doesn't state the time since the start of the machine.
func TestOnlyARecentHandoverEndsLearning(t *testing.T) {
	for name, c := range map[string]struct {
		age, ageSinceBoot time.Duration
		earlierVersion    bool
		complete          bool
	}{
		"recent":                   {time.Second, time.Second, false, true},
		"time of day set back":     {-time.Second, 4 * time.Second, false, false},
		"time of day set forward":  {8 * time.Second, time.Second, false, false},
		"before a machine restart": {time.Second, -time.Hour, false, false},
		"of an earlier version":    {time.Second, 0, true, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			a := New(platform.Settings{Service: "comptoir", FlowLifetime: time.Minute}, nil, event.Discard())
			h := platform.Handover{Written: time.Now().Add(-c.age), SinceBoot: suspension.SinceBoot() - c.ageSinceBoot, Service: "comptoir"}
			if c.earlierVersion {
				h.SinceBoot = 0
			}
			h.Run = flowgate.Run{Instance: "i-1", Started: time.Now().Add(-time.Hour)}
			is.NoErr(a.applyHandover(&h))
			is.Equal(a.gate.Handover(time.Now()).LearnFor == 0, c.complete)
		})
	}
}
