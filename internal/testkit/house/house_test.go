package house

import (
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const (
	root   = "../../.."
	module = "github.com/knapweedpier/knapweedpier/"
)

// Guards against a package that a newcomer can't read without the rooms above
// it, and against a circle of rooms. Tests may import any room.
func TestImportsGoDownwards(t *testing.T) {
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		relative, err := filepath.Rel(root, path)
		if err != nil {
			return err
		}
		folder := filepath.ToSlash(filepath.Dir(relative))
		room, ok := Find(folder)
		if !ok {
			t.Errorf("%s is in no room", relative)
			return nil
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range file.Imports {
			name, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			imported, ours := strings.CutPrefix(name, module)
			if !ours {
				continue
			}
			below, ok := Find(imported)
			if !ok || below.Floor > room.Floor || (below.Floor == room.Floor && below != room) {
				t.Errorf("%s imports %s, which is not on a lower floor", relative, imported)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a map in the design that lacks a room.
func TestDesignNamesEachRoom(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(root, "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, room := range Rooms {
		if !strings.Contains(string(page), "| `"+room.Folder+"` |") {
			t.Errorf("docs/design.md has no line for %s", room.Folder)
		}
	}
}
