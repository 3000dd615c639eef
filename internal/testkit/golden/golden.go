// Package golden compares generated text with committed files, for tests of
// pages and screens.
package golden

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// Modes of files and directories that are written anew.
const (
	fileMode = 0o644
	dirMode  = 0o755
)

// Compare fails the test if the file at path does not hold text. With update,
// it writes the file first.
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
