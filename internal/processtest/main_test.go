//go:build linux

// Package processtest runs the programs and the stand-ins as separate
// processes on loopback, and checks what only separate processes show: signals,
// exit codes, pauses and deaths.
package processtest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

// programs are the directories of the programs, relative to this package.
var programs = []string{
	"../../cmd/knapweedpier",
	"../../cmd/knapweedpier-balancer",
	"../../cmd/knapweedpier-agent",
	"../../standin/cmd/standin-backend",
	"../../standin/cmd/standin-caller",
	"../../standin/cmd/standin-fabric",
	"../../standin/cmd/standin-platform",
}

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
