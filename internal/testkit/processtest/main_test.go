//go:build linux

// Package processtest runs the programs and the stand-ins as separate
// processes on loopback, and checks what only separate processes show: signals,
// exit codes, pauses and deaths.
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

// programs are the directories of the programs, relative to this package.
var programs = []string{
	"../../../cmd/knapweedpier",
	"../../../cmd/knapweedpier-balancer",
	"../../../cmd/knapweedpier-agent",
	"../../../standin/cmd/standin-backend",
	"../../../standin/cmd/standin-caller",
	"../../../standin/cmd/standin-fabric",
	"../../../standin/cmd/standin-platform",
}

// sources are the directories that the programs are built from.
var sources = []string{"../../../cmd", "../../../internal", "../../../pkg", "../../../standin"}

// binaries is the directory with the built programs.
var binaries string

func TestMain(m *testing.M) {
	os.Exit(runAll(m))
}

func runAll(m *testing.M) int {
	dir, err := os.MkdirTemp("", "processtest")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	args := append([]string{"build", "-o", dir + string(filepath.Separator)}, programs...)
	if out, err := exec.Command("go", args...).CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build the programs: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// visitSources reads all directories of sources. Without it, go test would
// reuse a cached result after a change of a program: it takes only imported
// packages, and files that tests have read (TestMain does not count), into
// account.
var visitSources = sync.OnceValue(func() error {
	for _, dir := range sources {
		err := filepath.WalkDir(dir, func(_ string, _ fs.DirEntry, err error) error { return err })
		if err != nil {
			return err
		}
	}
	return nil
})
