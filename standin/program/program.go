// Package program is the frame of the stand-ins' mains.
package program

import (
	"fmt"
	"os"

	"github.com/alecthomas/kong"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Main reads flags into an S, runs the program and exits: 2 for bad flags, or
// the exit code of run's error kind.
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
