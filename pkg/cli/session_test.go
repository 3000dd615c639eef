package cli

import (
	"bytes"
	"context"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	standin "github.com/knapweedpier/knapweedpier/standin/platform"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var start = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

// session runs the command lines ("$ ...") and directives ("! ...") of a
// golden file against a stand-in platform and records them with their output.
type session struct {
	objectstore.Store
	server            *standin.Server
	concurrentCommand string // command line that another operator runs just before the next write
	minute            int
	out               bytes.Buffer
}

// Put runs the command of the other operator, if there is one, before the
// write.
func (s *session) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (objectstore.Object, error) {
	if other := s.concurrentCommand; other != "" {
		s.concurrentCommand = ""
		fmt.Fprintln(&s.out, "(other operator)")
		s.command(other)
		fmt.Fprintln(&s.out, "(first operator)")
	}
	return s.Store.Put(ctx, key, value, ifVersion)
}

// now returns a time that advances by a minute with each command of either
// operator.
func (s *session) now() time.Time { return start.Add(time.Duration(s.minute) * time.Minute) }

func (s *session) command(line string) {
	s.minute++
	code := Run(context.Background(), strings.Fields(line), Options{
		Out: &s.out, Err: &s.out, Store: s, Now: s.now,
	})
	if code != 0 {
		fmt.Fprintf(&s.out, "[exit code %d]\n", code)
	}
}

func (s *session) directive(t *testing.T, line string) {
	word, rest, _ := strings.Cut(line, " ")
	switch word {
	case "lose-answer":
		s.server.LoseAnswers(1)
	case "outage":
		s.server.SetOutage(rest == "on")
	case "race":
		s.concurrentCommand = rest
	default:
		t.Fatalf("unknown directive %q", line)
	}
}

func (s *session) run(t *testing.T, golden string) string {
	for line := range strings.Lines(golden) {
		line = strings.TrimSuffix(line, "\n")
		if command, ok := strings.CutPrefix(line, "$ "); ok {
			fmt.Fprintln(&s.out, line)
			s.command(command)
		}
		if directive, ok := strings.CutPrefix(line, "! "); ok {
			fmt.Fprintln(&s.out, line)
			s.directive(t, directive)
		}
	}
	return s.out.String()
}

// Guards against commands that lose a change, hide a fault or a conflict, or
// return a wrong exit code: the output of whole sessions is compared with
// golden files.
func TestSessions(t *testing.T) {
	files, err := filepath.Glob(filepath.Join("testdata", "*.session"))
	if err != nil || len(files) == 0 {
		t.Fatalf("no sessions: %v", err)
	}
	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			is := is.New(t)
			golden, err := os.ReadFile(file)
			is.NoErr(err)
			server := standin.New(standin.Options{})
			addr, err := server.Start("127.0.0.1:0")
			is.NoErr(err)
			defer server.Close()
			client := objectstore.NewClient("http://"+addr.String(), time.Second)
			defer client.Close()
			s := &session{Store: client, server: server}
			got := s.run(t, string(golden))
			if *update {
				is.NoErr(os.WriteFile(file, []byte(got), 0o600))
				return
			}
			is.Equal(got, string(golden))
		})
	}
}

// Guards against a wait that ends before the generation is in force in all
// processes, or that does not name the lagging ones.
func TestWaitInForce(t *testing.T) {
	is := is.New(t)
	calls := 0
	env := &Env{Out: &bytes.Buffer{}, LaggingProcesses: func(context.Context, uint64) ([]string, error) {
		calls++
		return []string{"agent-1"}[:calls%2], nil
	}}
	is.NoErr(env.waitInForce(context.Background(), 1, time.Minute))
	is.Equal(calls, 2)
	calls = 0
	err := env.waitInForce(context.Background(), 1, time.Millisecond)
	is.True(errkind.Is(err, errkind.NotInForce))
	is.True(strings.Contains(err.Error(), "agent-1"))
}

// Guards against commands that run with invalid settings, and against errors
// that do not name the setting.
func TestInvalidSettingsAreRefused(t *testing.T) {
	for line, expected := range map[string]string{
		"domain out shawi":                                "--platform or KNAPWEEDPIER_PLATFORM",
		"domain out shawi --platform 127.0.0.1":           "--platform:",
		"domain out shawi --timeout 0s":                   "--timeout:",
		"sheet check ../../examples/none.csv":             "none.csv",
		"backend leave comptoir-3":                        "--service",
		"domain out shawi --at tomorrow":                  "--at",
		"sheet apply ../../examples/gel-desk.csv --log x": "--log",
	} {
		is := is.New(t)
		var out bytes.Buffer
		is.Equal(Run(context.Background(), strings.Fields(line), Options{Out: &out, Err: &out}), errkind.ExitUsage)
		is.True(strings.Contains(out.String(), expected)) // the message names the setting
	}
}
