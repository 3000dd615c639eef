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
	objective = 120 * time.Millisecond
	// onTheWay bounds what a caller waits beyond the agent's own latency.
	onTheWay = 60 * time.Millisecond
)

// overload sends one service more than its cold backend servers can bear, and
// returns what its callers saw.
func overload(t *testing.T, f *fleet.Fleet, service int) caller.Ledger {
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

// seen counts what callers saw: outcomes, and answers later than a limit.
func seen(l caller.Ledger) (outcomes map[caller.Outcome]int, slow func(time.Duration) int) {
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

func starts(f *fleet.Fleet, service string) int {
	n := 0
	for _, b := range f.Ledgers().Backends {
		if b.Service == service {
			n += len(b.Starts)
		}
	}
	return n
}

func window(t *testing.T, s burn.ServiceReport, i burn.Indicator) burn.WindowReport {
	t.Helper()
	for _, r := range s.Indicators {
		if r.Indicator == i {
			return r.Longest()
		}
	}
	t.Fatalf("no indicator %s", i)
	return burn.WindowReport{}
}

// Guards against a burn report that counts relayed requests twice, loses
// refusals or flows, or takes refusals for slow answers: its figures are
// compared with the ledgers of callers and backend servers.
func TestBurnAgreesWithLedgers(t *testing.T) {
	is := is.New(t)
	f := start(t, 202, strings.ReplaceAll(gelDesk(t, 202), "250ms", objective.String()))
	ledger := overload(t, f, 1)
	outcomes, slow := seen(ledger)
	t.Logf("callers saw %v, %d flows; %d starts; over the objective: %d", outcomes, len(ledger.Flows), starts(f, "nuancier"), slow(objective))
	is.True(outcomes[caller.NotRun] > 50)                       // the overload was one
	is.Equal(outcomes[caller.Lost]+outcomes[caller.NotSent], 0) // otherwise agents and callers know different things

	var report burn.Report
	flows := uint64(0)
	for range 40 { // agents learn of the last closes a little later
		out, code := command(t, "report burn nuancier --json"+access(f, 202))
		is.Equal(code, 0)
		is.NoErr(json.Unmarshal([]byte(out), &report))
		if flows = window(t, report.Services[0], burn.Unbroken).Total; flows >= uint64(len(ledger.Flows)) {
			break
		}
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(report.Sources, 10)
	is.Equal(len(report.Missing), 0)
	answered := window(t, report.Services[0], burn.Answered)
	late := window(t, report.Services[0], burn.Latency)
	is.Equal(answered.Total, uint64(len(ledger.Requests)))
	is.Equal(answered.Bad, uint64(outcomes[caller.NotRun]+outcomes[caller.Unknown]))
	is.Equal(late.Total, uint64(outcomes[caller.Done]))
	is.Equal(starts(f, "nuancier"), outcomes[caller.Done]+outcomes[caller.Unknown])
	is.True(int(late.Bad) <= slow(objective))
	is.True(int(late.Bad) >= slow(objective+onTheWay))
	is.Equal(flows, uint64(len(ledger.Flows)))
	is.Equal(window(t, report.Services[0], burn.Unbroken).Bad, uint64(0))
	statusAgrees(t, f, outcomes[caller.NotRun]+outcomes[caller.Unknown])
}

// statusAgrees compares the refusals of the status with what callers saw.
func statusAgrees(t *testing.T, f *fleet.Fleet, refused int) {
	t.Helper()
	is := is.New(t)
	out, code := command(t, "status nuancier --json"+access(f, 202))
	is.Equal(code, 0)
	var s status.Status
	is.NoErr(json.Unmarshal([]byte(out), &s))
	total := uint64(0)
	for _, r := range s.Services[0].Refusals {
		total += r.Count
	}
	is.Equal(total, uint64(refused))
}

// Guards against counters of the control path that are missing from the
// operators' address.
func TestMetricsOfControlPath(t *testing.T) {
	is := is.New(t)
	f := start(t, 203, gelDesk(t, 203))
	resp, err := http.Get(fmt.Sprintf("http://%s:9002/metrics", f.Operators().Peers[0].Addr()))
	is.NoErr(err)
	defer resp.Body.Close()
	var all map[string]map[string]any
	is.NoErr(json.NewDecoder(resp.Body).Decode(&all))
	for _, name := range []string{"control.pulls", "control.pulls_served", "control.in_bytes", "control.platform_calls"} {
		count, ok := all[name]["count"].(float64)
		is.True(ok && count > 0) // the counter is fed
	}
	is.Equal(all["balancer.agents"]["value"], 10.0)
}
