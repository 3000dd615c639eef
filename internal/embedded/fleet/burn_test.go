package fleet_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
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
	// networkAllowance bounds by how much the latency that a caller sees exceeds
	// the one that the agent measures.
	networkAllowance = 60 * time.Millisecond
)

// runOverload sends one service more requests than its cold backend servers can
// process, and returns its callers' ledger.
func runOverload(t *testing.T, f *fleet.Fleet, service int) caller.Ledger {
	t.Helper()
	target := f.Targets()[service].Service
	target.Callers, target.Rate = 20, 400
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

// countOutcomes counts the requests in a caller ledger by outcome. slowerThan
// returns how many answered requests took longer than a limit.
func countOutcomes(l caller.Ledger) (outcomes map[caller.Outcome]int, slowerThan func(time.Duration) int) {
	outcomes = map[caller.Outcome]int{}
	for _, r := range l.Requests {
		outcomes[r.Outcome]++
	}
	return outcomes, func(limit time.Duration) int {
		n := 0
		for _, r := range l.Requests {
			if r.Outcome == caller.Done && r.Latency > limit {
				n++
			}
		}
		return n
	}
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
	f := startFleet(t, 202, strings.ReplaceAll(gelDeskSheet(t, 202), "250ms", latencyObjective.String()))
	ledger := runOverload(t, f, 1)
	outcomes, slowerThan := countOutcomes(ledger)
	t.Logf("callers saw %v, %d flows; %d starts; over the objective: %d", outcomes, len(ledger.Flows), countStarts(f, "nuancier"), slowerThan(latencyObjective))
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
	is.True(int(latency.Bad) <= slowerThan(latencyObjective))
	is.True(int(latency.Bad) >= slowerThan(latencyObjective+networkAllowance))
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
	f := startFleet(t, 203, gelDeskSheet(t, 203))
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
