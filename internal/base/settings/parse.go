package settings

import (
	"errors"
	"fmt"
	"io"
	"runtime/debug"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

// Checker is implemented by settings that can be checked as a whole.
type Checker interface {
	Check() error
}

// versionFlag adds --version to any settings.
type versionFlag struct {
	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Parse reads flags and environment variables into dst, a pointer to a kong
// struct, and checks it if it implements Checker. If done is true, the program
// ends with code exit: 0 after --help or --version, 2 after a refused setting,
// which is named on stderr.
func Parse(dst any, name string, args []string, stdout, stderr io.Writer) (exit int, done bool) {
	ended := false
	parser, err := kong.New(dst,
		kong.Name(name),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": name + " " + Version()},
		kong.Embed(&versionFlag{}),
		kong.Exit(func(int) { ended = true }),
	)
	if err != nil {
		return refuse(name, errkind.Wrap(err, errkind.Internal, "settings"), stderr), true
	}
	_, err = parser.Parse(args)
	if ended { // kong has printed the help text or the version
		return 0, true
	}
	if err != nil {
		return refuse(name, errkind.Wrap(err, errkind.SettingInvalid, "read"), stderr), true
	}
	if err := check(dst); err != nil {
		return refuse(name, err, stderr), true
	}
	return 0, false
}

func check(dst any) error {
	if c, ok := dst.(Checker); ok {
		return c.Check()
	}
	return nil
}

// refuse writes one line for each fault and returns the exit code.
func refuse(name string, err error, stderr io.Writer) int {
	var faults Faults
	if !errors.As(err, &faults) {
		writeFault(stderr, name, err.Error())
	}
	for _, fault := range faults {
		writeFault(stderr, name, fault.String())
	}
	fmt.Fprintf(stderr, "%s: see %s --help for all settings\n", name, name)
	return errkind.ExitCode(err)
}

func writeFault(w io.Writer, name, text string) {
	def, _ := event.Lookup(event.SettingRefused)
	fmt.Fprintf(w, "%s: event %d: %s: %s\n", name, def.ID, def.Message, text)
}

// Version returns the module version from the build, or "(devel)".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
