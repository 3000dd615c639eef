package docpages

import (
	"flag"
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
)

var update = flag.Bool("update", false, "rewrite the pages")

// Guards against generated pages that were not updated after a change of the
// tables in the code.
func TestPages(t *testing.T) {
	for name, page := range map[string]string{"ERRORS.md": Errors(), "EVENTS.md": Events()} {
		golden.Compare(t, filepath.Join("..", "..", "..", "docs", name), page, *update)
	}
}

// Guards against a page without a kind, because its number is outside the known
// ranges, or without the meaning of an exit code.
func TestErrorsPageListsEveryKind(t *testing.T) {
	page := Errors()
	for _, row := range errkind.Table() {
		if !strings.Contains(page, "| "+row.Name+" |") {
			t.Errorf("kind %d (%s) is not on the page", row.Kind, row.Name)
		}
		if !strings.Contains(page, "\n| "+strconv.Itoa(row.ExitCode)+" | ") {
			t.Errorf("exit code %d is not on the page", row.ExitCode)
		}
	}
}

// Guards against a constant without a row in its table. Such an error kind would
// be answered as internal, and such an event would panic when it is logged.
func TestEveryConstantIsListed(t *testing.T) {
	kinds := declaredConstants(t, "../../base/errkind", "Kind")
	for name, number := range kinds {
		if k := errkind.Kind(number); k.Definition().Kind != k {
			t.Errorf("errkind.%s (%d) has no row", name, number)
		}
	}
	events := declaredConstants(t, "../../base/event", "ID")
	for name, number := range events {
		if _, ok := event.Lookup(event.ID(number)); !ok {
			t.Errorf("event.%s (%d) is not in the catalogue", name, number)
		}
	}
	is := is.New(t)
	is.Equal(len(kinds), len(errkind.Table()))
	is.Equal(len(events), len(event.Catalogue()))
}

// declaredConstants returns the constants of a named integer type in the package
// at dir.
func declaredConstants(t *testing.T, dir, typeName string) map[string]uint16 {
	t.Helper()
	paths, err := filepath.Glob(filepath.Join(dir, "*.go"))
	if err != nil || len(paths) == 0 {
		t.Fatalf("no source in %s: %v", dir, err)
	}
	found := map[string]uint16{}
	for _, path := range paths {
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(file, func(n ast.Node) bool {
			if spec, ok := n.(*ast.ValueSpec); ok && hasTypeName(spec.Type, typeName) && len(spec.Values) == 1 {
				addConstant(t, found, spec)
			}
			return true
		})
	}
	return found
}

func hasTypeName(expr ast.Expr, name string) bool {
	ident, ok := expr.(*ast.Ident)
	return ok && ident.Name == name
}

func addConstant(t *testing.T, found map[string]uint16, spec *ast.ValueSpec) {
	t.Helper()
	literal, ok := spec.Values[0].(*ast.BasicLit)
	if !ok {
		t.Fatalf("%s: value is not a literal", spec.Names[0].Name)
	}
	number, err := strconv.ParseUint(literal.Value, 10, 16)
	if err != nil {
		t.Fatal(err)
	}
	found[spec.Names[0].Name] = uint16(number)
}
