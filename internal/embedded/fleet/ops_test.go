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

// start runs the fleet of a sheet.
func start(t *testing.T, prefix byte, text string) *fleet.Fleet {
	t.Helper()
	f, err := fleet.New(fleet.Options{Sheet: []byte(text), Policy: fleet.Full, Seed: 1, Prefix: prefix})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { f.Close() })
	if err := f.Start(t.Context()); err != nil {
		t.Fatal(err)
	}
	return f
}

// gelDesk is the sheet of the first user, with services on 127.prefix.0.1.
func gelDesk(t *testing.T, prefix byte) string {
	t.Helper()
	text, err := os.ReadFile("../../../examples/gel-desk.csv")
	if err != nil {
		t.Fatal(err)
	}
	return strings.ReplaceAll(string(text), ",127.0.0.1:", fmt.Sprintf(",127.%d.0.1:", prefix))
}

// command runs one command line and returns its output and exit code.
func command(t *testing.T, line string) (string, int) {
	var out bytes.Buffer
	code := cli.Run(t.Context(), strings.Fields(line), cli.Options{Out: &out, Err: &out})
	return out.String(), code
}

// access are the flags with which commands reach the fleet. The first peer
// does not answer.
func access(f *fleet.Fleet, prefix byte) string {
	o := f.Operators()
	return fmt.Sprintf(" --peers 127.%d.9.9:1,%s --keyring %s --platform %s", prefix, o.Peers[0], o.Keyring, o.Platform)
}

// Guards against a status that leaves out processes or refusals, that depends
// on the first balancer asked, or that succeeds without an answer.
func TestStatusOfRunningFleet(t *testing.T) {
	is := is.New(t)
	f := start(t, 200, gelDesk(t, 200))
	var s status.Status
	for deadline := time.Now().Add(5 * time.Second); !s.Platform.Reachable; { // a process looks once a second
		is.True(time.Now().Before(deadline))
		out, code := command(t, "status --json"+access(f, 200))
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

	out, code := command(t, "status nuancier"+access(f, 200))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "nuancier") && !strings.Contains(out, "comptoir"))
	out, code = command(t, "report burn"+access(f, 200))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "comptoir"))

	out, code = command(t, "status --peers 127.200.9.9:1 --keyring "+f.Operators().Keyring)
	is.Equal(code, errkind.ExitPlatform)
	is.True(strings.Contains(out, "127.200.9.9:1"))
	_, code = command(t, "status --peers "+f.Operators().Peers[0].String()+" --keyring 1:"+strings.Repeat("a1", 32))
	is.Equal(code, errkind.ExitPlatform) // another key ring
	_, code = command(t, "status")
	is.Equal(code, errkind.ExitUsage)
}

// Guards against a wait that ends early, or that does not name the process
// that lacks the generation.
func TestApplyWaits(t *testing.T) {
	is := is.New(t)
	f := start(t, 201, gelDesk(t, 201))
	out, code := command(t, "backend leave nuancier-1 --service nuancier --wait"+access(f, 201))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force everywhere"))
	_, err := f.StartBalancer(t.Context())
	is.NoErr(err)
	is.NoErr(f.StopBalancer(t.Context(), "balancer-4")) // stopped on purpose: not waited for
	file := filepath.Join(t.TempDir(), "day.csv")
	is.NoErr(os.WriteFile(file, []byte(gelDesk(t, 201)+"leave,nuancier-2,,nuancier,2126-12-04T08:00:00Z\n"), 0o600))
	out, code = command(t, "sheet apply --wait "+file+access(f, 201))
	is.Equal(code, 0)
	is.True(strings.Contains(out, "in force everywhere"))
	out, code = command(t, "domain out shawi --wait --wait-timeout 1ns"+access(f, 201))
	is.Equal(code, errkind.ExitLagging)
	is.True(strings.Contains(out, "cannot tell which processes lag"))
	_, code = command(t, "domain back shawi --wait --platform "+f.Operators().Platform)
	is.Equal(code, errkind.ExitUsage)
}
