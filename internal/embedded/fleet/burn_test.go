package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/embedded/fleet"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/standin/caller"
)

const (
	latencyObjective = 120 * time.Millisecond
	// handlerAllowance bounds by how much the latency that answerTimer measures
	// exceeds the one that the gate measures within it.
	handlerAllowance = 60 * time.Millisecond
)

// answerTimer measures beside the gate how long requests take from the call of
// the agent's handler to the header of a 200 answer.
type answerTimer struct {
	mu        sync.Mutex
	latencies []time.Duration
}

func (a *answerTimer) wrap(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		next.ServeHTTP(&timedWriter{ResponseWriter: w, timer: a, startedAt: time.Now()}, r)
	})
}

// slowerThan returns how many answers took longer than a limit.
func (a *answerTimer) slowerThan(limit time.Duration) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, latency := range a.latencies {
		if latency > limit {
			n++
		}
	}
	return n
}

// timedWriter records when the header of its answer is written.
type timedWriter struct {
	http.ResponseWriter
	timer     *answerTimer
	startedAt time.Time
}

func (w *timedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *timedWriter) WriteHeader(status int) {
	if status == http.StatusOK {
		w.timer.mu.Lock()
		w.timer.latencies = append(w.timer.latencies, time.Since(w.startedAt))
		w.timer.mu.Unlock()
	}
	w.ResponseWriter.WriteHeader(status)
}

// overloadRate returns the requests per second of an overload. With the race detector it
// is lower, so that requests are refused for lack of slots, not lost for lack of processor
// time.
func overloadRate() float64 {
	if fleet.RaceDetector {
		return 150
	}
	return 400
}

// runOverload sends one service more requests than its cold backend servers can
// process, and returns its callers' ledger.
func runOverload(t *testing.T, f *fleet.Fleet, service int) caller.Ledger {
	t.Helper()
	target := f.Targets()[service].Service
	target.Callers, target.Rate = 20, overloadRate()
	load, err := caller.New(caller.Options{
		Services: []caller.ServiceLoad{target}, Seed: 1, Duration: 4 * time.Second,
		TLS: f.TLS(), MaxAttempts: 1,
	})
	if err != nil {
		t.Fatal(err)
	}
	load.Start(t.Context())
	load.Wait()
	return load.Ledger()
}

// countOutcomes counts the requests in a caller ledger by outcome.
func countOutcomes(l caller.Ledger) map[caller.Outcome]int {
	outcomes := map[caller.Outcome]int{}
	for _, r := range l.Requests {
		outcomes[r.Outcome]++
	}
	return outcomes
}

// countStarts returns how many requests the backend servers of a service started.
func countStarts(f *fleet.Fleet, service string) int {
	n := 0
	for _, b := range f.Ledgers().Backends {
		if b.Service == service {
			n += len(b.Starts)
		}
	}
	return n
}

// longestWindow returns the figures of an indicator over its longest window.
func longestWindow(t *testing.T, s burn.ServiceReport, i burn.Indicator) burn.WindowReport {
	t.Helper()
	for _, r := range s.Indicators {
		if r.Indicator == i {
			return r.Longest()
		}
	}
	t.Fatalf("no indicator %s", i)
	return burn.WindowReport{}
}

// Guards against a burn report that counts relayed requests twice, omits
// refusals or flows, or counts refusals as slow answers. Its figures are
// compared with the ledgers of callers and backend servers.
func TestBurnReportMatchesLedgers(t *testing.T) {
	is := is.New(t)
	timer := &answerTimer{}
	f := startFleet(t, fleet.Options{
		Sheet:  []byte(strings.ReplaceAll(gelDeskSheet(t, 202), "250ms", latencyObjective.String())),
		Prefix: 202, Middleware: timer.wrap,
	})
	ledger := runOverload(t, f, 1)
	outcomes := countOutcomes(ledger)
	t.Logf("callers saw %v, %d flows; %d starts; over the objective at agents: %d", outcomes, len(ledger.Flows), countStarts(f, "nuancier"), timer.slowerThan(latencyObjective))
	is.True(outcomes[caller.NotRun] > 50)                       // the load exceeded the capacity
	is.Equal(outcomes[caller.Lost]+outcomes[caller.NotSent], 0) // otherwise the counts of agents and callers may differ

	var report burn.Report
	flows := uint64(0)
	for range 40 { // agents count a flow only once they notice its close
		out, code := runCommand(t, "report burn nuancier --json"+accessFlags(f, 202))
		is.Equal(code, 0)
		is.NoErr(json.Unmarshal([]byte(out), &report))
		if flows = longestWindow(t, report.Services[0], burn.Unbroken).Total; flows >= uint64(len(ledger.Flows)) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(report.Sources, 10)
	is.Equal(len(report.Missing), 0)
	answered := longestWindow(t, report.Services[0], burn.Answered)
	latency := longestWindow(t, report.Services[0], burn.Latency)
	is.Equal(answered.Total, uint64(len(ledger.Requests)))
	is.Equal(answered.Bad, uint64(outcomes[caller.NotRun]+outcomes[caller.Unknown]))
	is.Equal(latency.Total, uint64(outcomes[caller.Done]))
	is.Equal(countStarts(f, "nuancier"), outcomes[caller.Done]+outcomes[caller.Unknown])
	is.Equal(len(timer.latencies), outcomes[caller.Done]) // every answer was timed
	is.True(int(latency.Bad) <= timer.slowerThan(latencyObjective))
	is.True(int(latency.Bad) >= timer.slowerThan(latencyObjective+handlerAllowance))
	is.True(latency.Bad > 0) // some answers missed the objective
	is.Equal(flows, uint64(len(ledger.Flows)))
	is.Equal(longestWindow(t, report.Services[0], burn.Unbroken).Bad, uint64(0))
	checkStatusRefusals(t, f, outcomes[caller.NotRun]+outcomes[caller.Unknown])
}

// checkStatusRefusals checks that the status command counts as many refusals as
// callers received.
func checkStatusRefusals(t *testing.T, f *fleet.Fleet, refused int) {
	t.Helper()
	is := is.New(t)
	out, code := runCommand(t, "status nuancier --json"+accessFlags(f, 202))
	is.Equal(code, 0)
	var s status.Status
	is.NoErr(json.Unmarshal([]byte(out), &s))
	total := uint64(0)
	for _, r := range s.Services[0].Refusals {
		total += r.Count
	}
	is.Equal(total, uint64(refused))
}

// Guards against control path counters that the metrics endpoint does not serve
// or that nothing increments.
func TestControlMetricsServed(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Options{Sheet: []byte(gelDeskSheet(t, 203)), Prefix: 203})
	resp, err := http.Get(fmt.Sprintf("http://%s:9002/metrics", f.OperatorAccess().Peers[0].Addr()))
	is.NoErr(err)
	defer resp.Body.Close()
	var all map[string]map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&all))
	for _, name := range []string{"control.pulls", "control.pulls_served", "control.in_bytes", "control.platform_calls"} {
		count, ok := all[name]["count"].(float64)
		is.True(ok && count > 0) // the counter is incremented
	}
	is.Equal(all["balancer.agents"]["value"], 10.0)
}
