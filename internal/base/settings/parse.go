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

// Checker is implemented by settings that are checked after parsing, all values
// together.
type Checker interface {
	Check() error
}

// versionFlag adds --version to the flags of a program.
type versionFlag struct {
	Version kong.VersionFlag `name:"version" help:"Print the version and exit."`
}

// Parse reads flags and environment variables into dst, a pointer to a struct
// with kong tags, and checks it if it implements Checker. If done is true, the
// program must end with exit code exit: 0 after --help or --version, 2 after a
// refused setting, which is reported on stderr.
func Parse(dst any, name string, args []string, stdout, stderr io.Writer) (exit int, done bool) {
	helpOrVersionShown := false
	parser, err := kong.New(dst,
		kong.Name(name),
		kong.Writers(stdout, stderr),
		kong.Vars{"version": name + " " + Version()},
		kong.Embed(&versionFlag{}),
		kong.Exit(func(int) { helpOrVersionShown = true }),
	)
	if err != nil {
		return reportRefusal(name, errkind.Wrap(err, errkind.Internal, "build the parser of settings"), stderr), true
	}
	_, err = parser.Parse(args)
	if helpOrVersionShown { // kong has printed the help text or the version
		return 0, true
	}
	if err != nil {
		return reportRefusal(name, errkind.Wrap(err, errkind.SettingInvalid, "parse flags and environment variables"), stderr), true
	}
	if err := checkSettings(dst); err != nil {
		return reportRefusal(name, err, stderr), true
	}
	return 0, false
}

func checkSettings(dst any) error {
	if c, ok := dst.(Checker); ok {
		return c.Check()
	}
	return nil
}

// reportRefusal writes one line to stderr for each fault in err, or one for err
// itself, and returns the exit code.
func reportRefusal(name string, err error, stderr io.Writer) int {
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

// Version returns the version of the main module from the build information, or
// "(devel)".
func Version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok || info.Main.Version == "" {
		return "(devel)"
	}
	return info.Main.Version
}
