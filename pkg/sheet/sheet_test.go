package sheet

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var now = time.Date(2026, 12, 4, 8, 0, 0, 0, time.UTC)

const header = "row,name,region,service,at,address,slots,connections,cold_slots,warm_up,feed_paths,request_timeout,generation\n"

const rows = `domain,shawi,mauricie,,,,,,,,,,
domain,tr-centre,mauricie,,,,,,,,,,
service,comptoir,,,,127.0.0.1:7001,9,2000,2,3s,/feed /live,2s,
leave,comptoir-3,,comptoir,2026-12-04T10:00:00-05:00,,,,,,,,
domain-out,shawi,,,2026-12-04T11:00:00Z,,,,,,,,
`

const baseRow5 = "base,,,,,,,,,,,,5\n"

func mustParse(t *testing.T, text string) *Sheet {
	t.Helper()
	s, err := Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// applyAndAccept applies a sheet and increments the generation, as the editor
// of package change does.
func applyAndAccept(t *testing.T, s *Sheet, base *config.Config) *config.Config {
	t.Helper()
	next, err := s.Apply(base, now)
	if err != nil {
		t.Fatal(err)
	}
	next.Generation++
	if err := next.Check(); err != nil {
		t.Fatal(err)
	}
	return next
}

// Guards against different results for forms of the same sheet that
// spreadsheet programs export.
func TestEquivalentForms(t *testing.T) {
	want := mustParse(t, header+rows)
	for name, text := range map[string]string{
		"byte-order mark":  byteOrderMark + header + rows,
		"CRLF":             strings.ReplaceAll(header+rows, "\n", "\r\n"),
		"CR":               strings.ReplaceAll(header+rows, "\n", "\r"),
		"semicolons":       strings.ReplaceAll(header+rows, ",", ";"),
		"blank rows":       "\n,,,\n" + header + rows + "\n,,,,,,\n  \n",
		"repeated header":  header + rows + header,
		"comments, spaces": "# made by hand\n" + strings.ReplaceAll(strings.ToUpper(header), ",", " , ") + rows,
		"unnamed columns":  strings.ReplaceAll(header+rows, "\n", ",,\n"),
		"quotes":           strings.Replace(header+rows, "shawi", `"shawi"`, 1),
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, err := Parse([]byte(text))
			is.NoErr(err)
			is.Equal(got, want)
		})
	}
}

// Guards against a parser that stops at the first fault, reports a fault
// without its place, or misses one.
func TestAllFaultsAtOnce(t *testing.T) {
	is := is.New(t)
	text, err := os.ReadFile(filepath.Join("testdata", "faults.csv"))
	is.NoErr(err)
	want, err := os.ReadFile(filepath.Join("testdata", "faults.golden"))
	is.NoErr(err)
	_, err = Parse(text)
	is.True(errkind.Is(err, errkind.SheetInvalid))
	is.Equal(FaultsOf(err).Error()+"\n", string(want))
	for text, expected := range map[string]string{
		"":                                  "line 1, column 1: the sheet is empty",
		"row,name\ndomain,\xe9\n":           "line 2, column 1: the text is not UTF-8",
		"\xff\xfer\x00o\x00":                "line 1, column 1: the text is not UTF-8",
		"row,name,Name\n":                   "line 1, column 3 (name): column is named twice, first as column 2",
		"row,name\n\"domain,x\nbase,\n":     "line 2, column 1: a quote opened here runs on to line 3",
		"row,name,colour\n":                 "line 1, column 3 (colour): unknown column",
		"row,name\ndomain,x\ndomain,y\n":    "line 1, column 3 (region): column is missing",
		"row;answered_share\nservice;0,9\n": `line 2, column 2 (answered_share): "0,9" is not a share`,
	} {
		_, err := Parse([]byte(text))
		is.True(strings.Contains(err.Error(), expected)) // the error names the place and the fault
	}
}

// Guards against a sheet that changes something when it is applied again, and
// against failure domain indexes that depend on the order of rows.
func TestApplyIsIdempotent(t *testing.T) {
	is := is.New(t)
	first := applyAndAccept(t, mustParse(t, header+rows), nil)
	again, err := mustParse(t, header+rows).Apply(first, now)
	is.NoErr(err)
	is.Equal(len(Diff(first, again)), 0)
	other := applyAndAccept(t, mustParse(t, header+"domain,cap,mauricie,,,,,,,,,,\ndomain,tr-centre,gj,,,,,,,,,,\n"), first)
	is.Equal(other.Domains, []config.FailureDomain{{Name: "shawi", Region: "mauricie", Index: 0}, {Name: "tr-centre", Region: "gj", Index: 1}, {Name: "cap", Region: "mauricie", Index: 2}})
	is.Equal(len(other.Services), 1)
}

// Guards against a sheet that removes a planned change which may already be in
// force, or that removes planned changes without naming its base.
func TestRemovalOfPlannedChanges(t *testing.T) {
	is := is.New(t)
	accepted := applyAndAccept(t, mustParse(t, header+rows), nil)
	accepted.Generation = 5
	AddChange(accepted, Change{Kind: config.DomainOut, Subject: "shawi", At: now.Add(-time.Hour)})
	AddChange(accepted, Change{Kind: config.DomainOut, Subject: "shawi", At: now.Add(minRemovalLead)})
	shortened := header + strings.Join(strings.SplitAfter(rows, "\n")[:3], "")
	withoutBase, err := mustParse(t, shortened).Apply(accepted, now)
	is.NoErr(err)
	is.Equal(len(withoutBase.Changes), 4)
	withBase, err := mustParse(t, shortened+baseRow5).Apply(accepted, now)
	is.NoErr(err)
	is.Equal(withBase.Changes, accepted.Changes[2:])
	is.Equal(len(Diff(accepted, withBase)), 2)
	accepted.Generation = 4
	_, err = mustParse(t, shortened+baseRow5).Apply(accepted, now)
	is.True(errkind.Is(err, errkind.SheetInvalid))
}

// Guards against a sheet that assigns the address of a service that it does
// not list to another service.
func TestApplyRejectsAddressOfKeptService(t *testing.T) {
	is := is.New(t)
	accepted := applyAndAccept(t, mustParse(t, header+rows), nil)
	_, err := mustParse(t, header+"service,nuancier,,,,127.0.0.1:7001,9,2000,2,3s,,2s,\n").Apply(accepted, now)
	is.True(errkind.Is(err, errkind.SheetInvalid))
	is.True(strings.Contains(err.Error(), "already used by comptoir"))
}

// Guards against sheets in examples/ that cannot be applied.
func TestExamplesApply(t *testing.T) {
	for _, name := range []string{"gel-desk.csv", "invoice-numbering.csv"} {
		text, err := os.ReadFile(filepath.Join("..", "..", "examples", name))
		is.New(t).NoErr(err)
		is.New(t).Equal(len(applyAndAccept(t, mustParse(t, string(text)), nil).Domains), 3)
	}
}

// Guards against text that makes the parser panic or fail without faults, and
// against a valid sheet that gives an invalid configuration or that changes
// something when it is applied again.
func FuzzParse(f *testing.F) {
	f.Add([]byte(header + rows + baseRow5))
	f.Add([]byte(byteOrderMark + strings.ReplaceAll(header+rows, ",", ";")))
	f.Add([]byte("row,name\n\"domain\"x,\"\n"))
	f.Add([]byte("\r\r,,\r"))
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Parse(text)
		if err != nil {
			if !errkind.Is(err, errkind.SheetInvalid) || len(FaultsOf(err)) == 0 {
				t.Fatalf("error without faults: %v", err)
			}
			return
		}
		next, err := s.Apply(&config.Config{Generation: s.BaseGeneration}, now)
		if err != nil {
			t.Fatal(err)
		}
		next.Generation++
		again, err := s.Apply(next, now)
		if err != nil || len(Diff(next, again)) != 0 {
			t.Fatalf("applied again: error %v, difference %v", err, Diff(next, again))
		}
	})
}
