// Package golden compares text that a test generates with a committed file, for
// example pages, screens and transcripts of sessions. It must not import other
// packages of this module.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Permissions of the files and directories that an update creates.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

// Compare fails the test if the content of the file at path differs from text.
// With update, it writes text to the file first.
func Compare(t testing.TB, path, text string, update bool) {
	t.Helper()
	if update {
		write(t, path, text)
	}
	committed, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(committed), text); diff != "" {
		t.Errorf("%s differs (-committed +generated):\n%s", path, diff)
	}
}

func write(t testing.TB, path, text string) {
	t.Helper()
	if err := os.MkdirAll(filepath.Dir(path), dirMode); err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, []byte(text), fileMode); err != nil {
		t.Fatal(err)
	}
}
