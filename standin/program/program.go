// Package program holds what the main functions of the stand-in programs share:
// parsing flags and exit codes. It must not depend on any stand-in.
package program

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Main parses the command line into an S and calls run. It exits with code 2 if
// the flags are invalid, and with the exit code of the error's kind if run fails.
func Main[S any](name string, run func(S) error) {
	var s S
	if _, err := kong.Must(&s, kong.Name(name)).Parse(os.Args[1:]); err != nil {
		fail(err, errkind.ExitUsage)
	}
	if err := run(s); err != nil {
		fail(err, errkind.ExitCode(err))
	}
}

func fail(err error, code int) {
	fmt.Fprintln(os.Stderr, err)
	os.Exit(code)
}
