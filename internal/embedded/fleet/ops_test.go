package fleet_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/embedded/fleet"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/pkg/cli"
)

// startFleet starts a fleet with the full policy and closes it after the test.
func startFleet(t *testing.T, options fleet.Options) *fleet.Fleet {
	t.Helper()
	options.Policy, options.Seed = fleet.Full, 1
	f, err := fleet.New(options)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// gelDeskSheet returns the sheet of the gel order desk, with service addresses
// moved to 127.prefix.0.1.
func gelDeskSheet(t *testing.T, prefix byte) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/gel-desk.csv")
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ",127.0.0.1:", fmt.Sprintf(",127.%d.0.1:", prefix))
}

// runCommand runs one command line and returns its output and exit code.
func runCommand(t *testing.T, line string) (string, int) {
	var out bytes.Buffer
	code := cli.Run(t.Context(), strings.Fields(line), cli.Options{Out: &out, Err: &out})
	return out.String(), code
}

// accessFlags returns the flags with which commands reach the fleet. The first
// peer address does not answer, so that commands must try the next one.
func accessFlags(f *fleet.Fleet, prefix byte) string {
	o := f.OperatorAccess()
	return fmt.Sprintf(" --peers 127.%d.9.9:1,%s --keyring %s --platform %s", prefix, o.Peers[0], o.Keyring, o.Platform)
}

// Guards against a status command that leaves out processes or refusals, that
// needs an answer from the first balancer it asks, or that succeeds without any
// answer.
func TestStatusOfRunningFleet(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Options{Sheet: []byte(gelDeskSheet(t, 200)), Prefix: 200})
	var s status.Status
	for deadline := time.Now().Add(5 * time.Second); !s.Platform.Reachable; { // a process checks the platform once a second
		is.True(time.Now().Before(deadline))
		out, code := runCommand(t, "status --json"+accessFlags(f, 200))
		is.Equal(code, 0)
		s = status.Status{}
		is.NoErr(json.Unmarshal([]byte(out), &s))
		time.Sleep(50 * time.Millisecond)
	}
	is.Equal(s.Source, "balancer-1")
	is.Equal(s.Balancers, status.BalancerCounts{Serving: 3})
	is.Equal(s.Services[0].Counted, 7)
	is.Equal(s.Services[1].Counted, 3)
	is.Equal(len(s.Services[0].NotCounted), 0)

	out, code := runCommand(t, "status nuancier"+accessFlags(f, 200))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "nuancier") && !strings.Contains(out, "comptoir"))
	out, code = runCommand(t, "report burn"+accessFlags(f, 200))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "comptoir"))

	out, code = runCommand(t, "status --peers 127.200.9.9:1 --keyring "+f.OperatorAccess().Keyring)
	is.Equal(code, errkind.ExitPlatform)
	is.True(strings.Contains(out, "127.200.9.9:1"))
	_, code = runCommand(t, "status --peers "+f.OperatorAccess().Peers[0].String()+" --keyring 1:"+strings.Repeat("a1", 32))
	is.Equal(code, errkind.ExitPlatform) // another key ring
	_, code = runCommand(t, "status")
	is.Equal(code, errkind.ExitUsage)
}

// Guards against --wait returning before the change is in force everywhere,
// waiting for a balancer that was stopped on purpose, or timing out without
// saying which processes lag or that this is not known.
func TestWaitUntilInForce(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, fleet.Options{Sheet: []byte(gelDeskSheet(t, 201)), Prefix: 201})
	out, code := runCommand(t, "backend leave nuancier-1 --service nuancier --wait"+accessFlags(f, 201))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force everywhere"))
	_, err := f.StartBalancer(t.Context())
	is.NoErr(err)
	is.NoErr(f.StopBalancer(t.Context(), "balancer-4")) // stopped on purpose, so --wait must not wait for it
	file := filepath.Join(t.TempDir(), "day.csv")
	is.NoErr(os.WriteFile(file, []byte(gelDeskSheet(t, 201)+"leave,nuancier-2,,nuancier,2126-12-04T08:00:00Z\n"), 0o600))
	out, code = runCommand(t, "sheet apply --wait "+file+accessFlags(f, 201))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force everywhere"))
	out, code = runCommand(t, "domain out shawi --wait --wait-timeout 1ns"+accessFlags(f, 201))
	is.Equal(code, errkind.ExitLagging)
	is.True(strings.Contains(out, "cannot tell which processes lag"))
	_, code = runCommand(t, "domain back shawi --wait --platform "+f.OperatorAccess().Platform)
	is.Equal(code, errkind.ExitUsage)
}
