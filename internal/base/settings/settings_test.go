package settings

import (
	"bytes"
	"errors"
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the page")

var secretA = strings.Repeat("a1", 32)
var secretB = strings.Repeat("b2", 32)

// balancerArgs returns valid arguments of a balancer, then extra. A later flag
// overrides an earlier one.
func balancerArgs(extra ...string) []string {
	return append([]string{
		"--id=bal-1", "--failure-domain=tr-centre", "--region=mauricie",
		"--peer-listen=127.0.0.1:7001", "--ops-listen=127.0.0.1:7002", "--tunnel-listen=127.0.0.1:7003",
		"--platform=http://127.0.0.1:7000", "--keyring=1:" + secretA,
	}, extra...)
}

// Guards against accepting a setting with which a daemon could not work safely,
// against a refusal that does not name the flag and against one that shows a
// secret.
func TestRefusedSettings(t *testing.T) {
	dir := t.TempDir()
	worldReadable := filepath.Join(dir, "open")
	if err := os.WriteFile(worldReadable, []byte("1:"+secretA), 0o644); err != nil {
		t.Fatal(err)
	}
	for name, tc := range map[string]struct{ flag, value string }{
		"empty ID":              {"id", ""},
		"ID with a space":       {"id", "bal 1"},
		"long ID":               {"id", strings.Repeat("a", 64)},
		"peer all interfaces":   {"peer-listen", "0.0.0.0:7001"},
		"peer port 0":           {"peer-listen", "127.0.0.1:0"},
		"peer host name":        {"peer-listen", "localhost:7001"},
		"ops all interfaces":    {"ops-listen", "[::]:7002"},
		"ops same as peer":      {"ops-listen", "127.0.0.1:7001"},
		"platform host name":    {"platform", "http://platform:7000"},
		"platform password":     {"platform", "http://a:b@127.0.0.1:7000"},
		"platform other scheme": {"platform", "ftp://127.0.0.1"},
		"seed without port":     {"seeds", "127.0.0.9:7001,127.0.0.8"},
		"seed twice":            {"seeds", "127.0.0.9:7001,127.0.0.9:7001"},
		"two key rings":         {"keyring-file", worldReadable},
		"short key":             {"keyring", "1:a1"},
		"zero key":              {"keyring", "1:" + strings.Repeat("0", 64)},
		"log format":            {"log-format", "xml"},
		"grace without unit":    {"shutdown-grace", "30"},
		"grace too long":        {"shutdown-grace", "25h"},
		"bind host IPv6":        {"bind-host", "::1"},
		"bind all interfaces":   {"bind-host", "0.0.0.0"},
		"tunnel IPv6":           {"tunnel-listen", "[::1]:7003"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			exit, done := Parse(&Balancer{}, "knapweedpier-balancer", balancerArgs("--"+tc.flag+"="+tc.value), &out, &errs)
			is.True(done)
			is.Equal(exit, errkind.ExitUsage)
			is.True(strings.Contains(errs.String(), "--"+tc.flag)) // names the flag
			is.True(!strings.Contains(errs.String(), secretA))     // hides the secret
		})
	}
}

// Guards against a start that reports only the first of several faults, and
// against a Check whose error gives its caller no list of faults.
func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	var errs bytes.Buffer
	exit, done := Parse(&Agent{}, "knapweedpier-agent", []string{"--backend=192.0.2.1:80"}, &errs, &errs)
	is.True(done)
	is.Equal(exit, errkind.ExitUsage)
	for _, field := range []string{"id", "failure-domain", "region", "peer-listen", "ops-listen", "platform",
		"keyring", "service", "backend", "tunnel-listen", "tls-cert-file", "tls-key-file"} {
		is.True(strings.Contains(errs.String(), "--"+field+" ("+envVariable(field)+"): ")) // each fault
	}
	var faults Faults
	is.True(errors.As((&Balancer{}).Check(), &faults))
	is.Equal(faults[0].Flag, "id")
	is.True(errkind.Is((&Balancer{}).Check(), errkind.SettingInvalid))
}

// Guards against environment variables that are ignored or override flags, and
// against defaults that are not applied.
func TestEnvironmentAndDefaults(t *testing.T) {
	is := is.New(t)
	t.Setenv("KNAPWEEDPIER_ID", "from-env")
	t.Setenv("KNAPWEEDPIER_SEEDS", "127.0.0.8:7001,127.0.0.9:7001")
	t.Setenv("KNAPWEEDPIER_BIND_HOST", "127.0.0.7")
	var b Balancer
	var out, errs bytes.Buffer
	_, done := Parse(&b, "knapweedpier-balancer", balancerArgs()[1:], &out, &errs)
	is.Equal(errs.String(), "")
	is.True(!done)
	is.Equal(b.ID, "from-env")
	is.Equal(len(b.Seeds), 2)
	is.Equal(b.LogFormat, "text")
	is.Equal(b.ShutdownGrace.String(), "30s")
	is.Equal(b.BindAddress(ParseAddr("192.0.2.1:443").AddrPort).String(), "127.0.0.7:443")

	_, done = Parse(&b, "knapweedpier-balancer", balancerArgs(), &out, &errs)
	is.True(!done)
	is.Equal(b.ID, "bal-1")
}

// Guards against --help or --version that fails because required settings are
// missing.
func TestHelpAndVersion(t *testing.T) {
	for flag, expected := range map[string]string{"--help": "--shutdown-grace", "--version": "knapweedpier-agent "} {
		is := is.New(t)
		var out, errs bytes.Buffer
		exit, done := Parse(&Agent{}, "knapweedpier-agent", []string{flag}, &out, &errs)
		is.True(done)
		is.Equal(exit, 0)
		is.True(strings.Contains(out.String(), expected))
		is.Equal(errs.String(), "")
	}
	is := is.New(t)
	var errs bytes.Buffer
	exit, done := Parse(&Agent{}, "knapweedpier-agent", []string{"--no-such-flag"}, &errs, &errs)
	is.True(done)
	is.Equal(exit, errkind.ExitUsage)
}

// Guards against a settings page that no longer matches the flags.
func TestSettingsPage(t *testing.T) {
	is := is.New(t)
	page, err := RenderPage()
	is.NoErr(err)
	golden.Compare(t, filepath.Join("..", "..", "..", "docs", "SETTINGS.md"), page, *update)
}

// Guards against a node that binds an IP at which nobody reaches it.
func TestNodeRefusesBindHost(t *testing.T) {
	is := is.New(t)
	for _, host := range []string{"::1", "0.0.0.0", "localhost", "224.0.0.1"} {
		_, err := (&Node{BindHost: host}).BindAddress()
		is.True(errkind.Is(err, errkind.SettingInvalid)) // refuses the host
	}
	bind, err := (&Node{BindHost: "127.0.0.7"}).BindAddress()
	is.NoErr(err)
	is.Equal(bind.String(), "127.0.0.7")
	bind, err = (&Node{}).BindAddress()
	is.NoErr(err)
	is.True(!bind.IsValid())
}
