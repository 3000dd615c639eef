package docpages

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// promiseCount is the number of promises in section 1 of the design page, and
// failureCount the number of failures in its paragraph "What fails".
const (
	promiseCount = 10
	failureCount = 9
	// similarFailureCount and similarFailureCells are the rows and cells of the table of
	// failures of similar systems; its cell testsCell names the tests.
	similarFailureCount = 6
	similarFailureCells = 5
	testsCell           = 3
)

var (
	testReference   = regexp.MustCompile("`([a-z]+)\\.(Test[A-Za-z0-9_]+)`")
	notProvedReason = regexp.MustCompile(`^not proved \(([0-9]+)\)$`)
)

// Guards against a page that names a test which no longer exists, and against a
// promise or a failure without an entry.
func TestProofsPageNamesExistingTests(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(filepath.Join("..", "..", "..", "docs", "PROOFS.md"))
	is.NoErr(err)
	page := string(data)
	tests := testFunctions(t, filepath.Join("..", "..", ".."))
	for _, m := range testReference.FindAllStringSubmatch(page, -1) {
		if !tests[m[1]+"."+m[2]] {
			t.Errorf("docs/PROOFS.md names %s.%s, which does not exist", m[1], m[2])
		}
	}
	matrix, pairs, found := strings.Cut(page, "\n## Together or twice\n")
	is.True(found)
	rows := tableRows(matrix)
	is.Equal(len(rows), promiseCount)
	for i, row := range rows {
		is.True(strings.HasPrefix(row[0], fmt.Sprintf("%d. ", i+1)))
		is.Equal(len(row), 1+failureCount)
		checkProofs(t, page, row)
	}
	pairs, similar, found := strings.Cut(pairs, "\n## What went wrong for operators of similar systems\n")
	is.True(found)
	similarRows := tableRows(similar)
	is.Equal(len(similarRows), similarFailureCount)
	for _, row := range similarRows {
		is.Equal(len(row), similarFailureCells)
		checkProofs(t, page, []string{row[0], row[testsCell]})
	}
	for _, row := range tableRows(pairs) {
		is.Equal(len(row), 2)
		checkProofs(t, page, row)
	}
}

// tableRows returns the cells of the rows below a table's header.
func tableRows(text string) [][]string {
	var rows [][]string
	for line := range strings.Lines(text) {
		line = strings.TrimSpace(line)
		if !strings.HasPrefix(line, "|") {
			continue
		}
		var cells []string
		for cell := range strings.SplitSeq(strings.Trim(line, "|"), "|") {
			cells = append(cells, strings.TrimSpace(cell))
		}
		rows = append(rows, cells)
	}
	return rows[2:]
}

// checkProofs fails for a cell that neither names a test nor gives a reason.
func checkProofs(t *testing.T, page string, row []string) {
	t.Helper()
	for _, cell := range row[1:] {
		if m := notProvedReason.FindStringSubmatch(cell); m != nil {
			if !strings.Contains(page, "\n"+m[1]+". ") {
				t.Errorf("%s: reason %s is missing", row[0], m[1])
			}
			continue
		}
		if !testReference.MatchString(cell) {
			t.Errorf("%s: %q names no test and gives no reason", row[0], cell)
		}
	}
}

// testFunctions returns all test functions below root as package.TestName.
func testFunctions(t *testing.T, root string) map[string]bool {
	t.Helper()
	found := map[string]bool{}
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.SkipObjectResolution)
		if err != nil {
			return err
		}
		for _, d := range file.Decls {
			if f, ok := d.(*ast.FuncDecl); ok && f.Recv == nil {
				found[strings.TrimSuffix(file.Name.Name, "_test")+"."+f.Name.Name] = true
			}
		}
		return nil
	})
	if err != nil {
		t.Fatal(err)
	}
	return found
}
