//go:build linux

// Package processtest runs the programs and the stand-ins as separate processes
// on loopback addresses. It tests what can be tested only with separate
// processes: signals, exit codes, pauses, and processes that are killed.
package processtest

import (
	"fmt"
	"io/fs"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
)

// programDirs are the directories of the programs, relative to this package.
var programDirs = []string{
	"../../../cmd/knapweedpier",
	"../../../cmd/knapweedpier-balancer",
	"../../../cmd/knapweedpier-agent",
	"../../../standin/cmd/standin-backend",
	"../../../standin/cmd/standin-caller",
	"../../../standin/cmd/standin-fabric",
	"../../../standin/cmd/standin-platform",
}

// sourceDirs are the directories that the programs are built from.
var sourceDirs = []string{"../../../cmd", "../../../internal", "../../../pkg", "../../../standin"}

// binariesDir is the directory with the built programs.
var binariesDir string

func TestMain(m *testing.M) {
	os.Exit(buildAndRun(m))
}

// buildAndRun builds the programs, runs the tests and returns the exit code.
func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binariesDir = dir
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, programDirs...)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// readSourceDirs reads all directories in sourceDirs. Without it, go test would
// reuse a cached result after a change to a program: the cache depends only on
// imported packages and on files that tests read (reads in TestMain don't
// count).
var readSourceDirs = sync.OnceValue(func() error {
	for _, dir := range sourceDirs {
		err := filepath.WalkDir(dir, func(_ string, _ fs.DirEntry, err error) error { return err })
		if err != nil {
			return err
		}
	}
	return nil
})
