package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/control/membership"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var updateScreens = flag.Bool("update-screens", false, "rewrite the golden screens")

var at = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// fixedSource returns the same status, report and error for every query.
type fixedSource struct {
	status status.Status
	report burn.Report
	err    error
}

func (f fixedSource) Status(context.Context, string) (status.Status, error) { return f.status, f.err }
func (f fixedSource) Burn(context.Context) (burn.Report, error)             { return f.report, f.err }

func agent(id, service, domain string, state membership.State) membership.Member {
	return membership.Member{Record: membership.Record{ID: id, Role: membership.RoleAgent, Service: service,
		Domain: domain, State: state, Generation: 12, Slots: 9, InProgress: 4, Flows: 120}}
}

// degradedStatus returns a status with a failure domain out, a silent and a
// lagging process, a planned join, and a service that is down.
func degradedStatus() status.Status {
	limits := config.Limits{Slots: 9, Connections: 2000, ColdSlots: 2}
	c := &config.Config{
		Generation: 12,
		Domains: []config.FailureDomain{{Name: "cap-madeleine", Region: "mauricie"},
			{Name: "shawi", Region: "mauricie", Index: 1}, {Name: "tr-centre", Region: "mauricie", Index: 2}},
		Services: []config.Service{
			{Name: "comptoir", Address: netip.MustParseAddrPort("192.0.2.1:443"), Limits: limits},
			{Name: "nuancier", Address: netip.MustParseAddrPort("192.0.2.2:443"), Limits: limits}},
		Changes: []config.PlannedChange{
			{Kind: config.DomainOut, Subject: "shawi", At: at.Add(-90 * time.Second), Generation: 11},
			{Kind: config.Join, Subject: "c-5", Service: "comptoir", At: at.Add(5 * time.Minute), Generation: 12}},
	}
	silent := agent("c-3", "comptoir", "tr-centre", membership.StateServing)
	silent.SuspectSince, silent.Generation = at.Add(-5*time.Second), 10
	off := agent("c-2", "comptoir", "cap-madeleine", membership.StateCold)
	off.ClockOffset = 1500 * time.Millisecond
	members := membership.Snapshot{Members: []membership.Member{
		{Record: membership.Record{ID: "bal-1", Role: membership.RoleBalancer, Generation: 12, State: membership.StateServing}},
		{Record: membership.Record{ID: "bal-2", Role: membership.RoleBalancer, Generation: 11, State: membership.StateServing}},
		agent("c-1", "comptoir", "tr-centre", membership.StateServing), off, silent,
		agent("c-4", "comptoir", "tr-centre", membership.StateLeaving),
		agent("c-5", "comptoir", "tr-centre", membership.StateServing),
		agent("n-1", "nuancier", "shawi", membership.StateServing),
		agent("z-1", "zinc", "shawi", membership.StateServing),
	}}
	s := status.Build(status.Process{ID: "bal-1", PlatformReachableSince: at.Add(-time.Hour)}, members, c.View(at))
	s.AddRefusals(status.Process{ID: "c-1", Service: "comptoir", Refusals: []metrics.KindCount{
		{Kind: errkind.BackendFull, Count: 12}, {Kind: errkind.DeadlineNotRun, Count: 3}}})
	return s
}

// Guards against unintended changes of the screens, and against an exit code
// of 0 while a service has no backend server that takes requests.
func TestStatusScreens(t *testing.T) {
	for name, c := range map[string]struct {
		cmd    StatusCmd
		source fixedSource
		kind   errkind.Kind // 0: none
	}{
		"afternoon": {StatusCmd{}, fixedSource{status: degradedStatus()}, errkind.ServiceDown},
		"one":       {StatusCmd{Service: "comptoir"}, fixedSource{status: degradedStatus()}, 0},
		"empty":     {StatusCmd{}, fixedSource{status: status.Build(status.Process{ID: "bal-1", PlatformReachable: true, PlatformReachableSince: at}, membership.Snapshot{}, (*config.Config)(nil).View(at))}, 0},
		"unknown":   {StatusCmd{Service: "zinc"}, fixedSource{status: degradedStatus()}, errkind.NotFound},
		"no-answer": {StatusCmd{}, fixedSource{err: errkind.New(errkind.PeerDown, "no seed answers")}, errkind.PeerDown},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out bytes.Buffer
			err := c.cmd.Run(t.Context(), c.source, &out)
			is.Equal(err == nil, c.kind == 0)
			if err != nil {
				is.Equal(errkind.Of(err), c.kind)
			}
			golden.Compare(t, filepath.Join("testdata", "status", name+".txt"), out.String(), *updateScreens)
		})
	}
}

// Guards against JSON output that omits part of the status, and against a
// watch that ends when a query fails.
func TestStatusJSONAndWatch(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	cmd := StatusCmd{JSON: true}
	is.True(errkind.Is(cmd.Run(t.Context(), fixedSource{status: degradedStatus()}, &out), errkind.ServiceDown))
	var decoded status.Status
	is.NoErr(json.Unmarshal(out.Bytes(), &decoded))
	is.Equal(decoded, degradedStatus())

	ended, cancel := context.WithCancel(t.Context())
	cancel()
	cmd = StatusCmd{Watch: true}
	is.NoErr(cmd.Run(ended, fixedSource{err: errkind.New(errkind.PeerDown, "no seed answers")}, &out))
}

// Guards against a report that does not write the HTML page, and against
// success for a service that does not exist.
func TestBurnReport(t *testing.T) {
	is := is.New(t)
	source := fixedSource{report: burn.Report{At: at, Services: []burn.ServiceReport{{Service: "comptoir"}, {Service: "nuancier"}}}}
	path := filepath.Join(t.TempDir(), "burn.html")
	var out bytes.Buffer
	cmd := BurnCmd{Service: "nuancier", HTML: path}
	is.NoErr(cmd.Run(t.Context(), source, &out))
	is.True(strings.Contains(out.String(), "nuancier") && !strings.Contains(out.String(), "comptoir"))
	page, err := os.ReadFile(path)
	is.NoErr(err)
	is.True(bytes.Contains(page, []byte("nuancier")))

	cmd = BurnCmd{Service: "zinc"}
	is.True(errkind.Is(cmd.Run(t.Context(), source, &out), errkind.NotFound))
	cmd = BurnCmd{HTML: filepath.Join(path, "not-a-directory")}
	is.True(errkind.Is(cmd.Run(t.Context(), source, &out), errkind.ReportFailed))
}
