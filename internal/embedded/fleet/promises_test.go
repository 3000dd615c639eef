package fleet

import (
	"fmt"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
)

// plannedLoad returns the load of a run with planned changes, as a share of the capacity,
// and the number of callers for each backend server. With the race detector, a machine
// that can't supply the processor time for more would answer nothing in time.
func plannedLoad() (share float64, callersPerBackend int) {
	if RaceDetector {
		return 0.03, 3
	}
	return 0.15, 20
}

// testDuration is the shortest run that has time for all planned changes.
const testDuration = quickstart.MinDuration

// Guards against planned changes that break a promise: a balancer is replaced, a
// backend server leaves, and a failure domain goes out and comes back, in both
// deployments. It checks every promise that the ledgers can show to be broken.
func TestPlannedChangesKeepEveryPromise(t *testing.T) {
	for i, name := range []string{"gel-desk", "invoice-numbering"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			prefix := byte(90 + i)
			text, err := os.ReadFile("../../../examples/" + name + ".csv")
			is.NoErr(err)
			// Other tests and runs use the addresses of the examples.
			own := strings.ReplaceAll(string(text), "127.0.0.1:", fmt.Sprintf("127.%d.0.1:", prefix))
			f, err := New(Options{Sheet: []byte(own), Policy: Full, Seed: 1, Prefix: prefix, Delay: time.Millisecond})
			is.NoErr(err)
			load, callersPerBackend := plannedLoad()
			summary, err := quickstart.Run(t.Context(), f, quickstart.Options{
				Duration: testDuration, Seed: 1, Load: load, CallersPerBackend: callersPerBackend, Progress: t.Output(),
			})
			is.NoErr(err)
			is.NoErr(summary.Err())
			is.Equal(summary.BrokenFlows, 0)
			is.Equal(summary.OverCapacityStarts, 0)
			is.True(summary.Answered > 0 && summary.FlowsEndedWithDomain > 0)
		})
	}
}
