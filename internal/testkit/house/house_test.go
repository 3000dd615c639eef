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
	repositoryRoot = "../../.."
	modulePrefix   = "github.com/knapweedpier/knapweedpier/"
)

// Guards against a package that can be understood only with the layers above
// it, and against import cycles between folders: an import of a higher layer,
// or of another folder of the same layer, causes both. Test files may import
// any folder.
func TestImportsOnlyLowerLayers(t *testing.T) {
	err := filepath.WalkDir(repositoryRoot, func(path string, d fs.DirEntry, err error) error {
		if err != nil || d.IsDir() || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := filepath.Rel(repositoryRoot, path)
		if err != nil {
			return err
		}
		packagePath := filepath.ToSlash(filepath.Dir(file))
		folder, ok := Find(packagePath)
		if !ok {
			t.Errorf("%s is in no folder of the list", file)
			return nil
		}
		parsed, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ImportsOnly)
		if err != nil {
			return err
		}
		for _, spec := range parsed.Imports {
			importPath, err := strconv.Unquote(spec.Path.Value)
			if err != nil {
				return err
			}
			importedPath, inModule := strings.CutPrefix(importPath, modulePrefix)
			if !inModule {
				continue
			}
			importedFolder, ok := Find(importedPath)
			if !ok || importedFolder.Layer > folder.Layer || (importedFolder.Layer == folder.Layer && importedFolder != folder) {
				t.Errorf("%s imports %s, which is not in a lower layer", file, importedPath)
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
}

// Guards against a table of folders in docs/design.md that lacks a folder of
// the list.
func TestDesignListsEveryFolder(t *testing.T) {
	page, err := os.ReadFile(filepath.Join(repositoryRoot, "docs", "design.md"))
	if err != nil {
		t.Fatal(err)
	}
	for _, folder := range Folders {
		if !strings.Contains(string(page), "| `"+folder.Path+"` |") {
			t.Errorf("docs/design.md has no table row for %s", folder.Path)
		}
	}
}
