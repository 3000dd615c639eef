package burnpage

import (
	"bytes"
	"encoding/xml"
	"errors"
	"flag"
	"io"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/internal/testkit/golden"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var start = time.Date(2026, 12, 4, 8, 2, 30, 0, time.UTC)

// sampleReport returns a report with an outage in its last 20 minutes.
func sampleReport() burn.Report {
	tracker := burn.NewTracker()
	for minute := range 6 * 60 {
		at := start.Add(time.Duration(minute) * time.Minute)
		for n := range 50 {
			kind := errkind.Kind(0)
			if minute >= 340 && n < 3 {
				kind = []errkind.Kind{errkind.BackendFull, errkind.BackendLost, errkind.BackendFull}[n]
			}
			tracker.RecordRequest(at, "comptoir", kind, n == 49 && minute%2 == 0)
		}
		tracker.RecordFlowEnd(at, "comptoir", 0)
	}
	end := start.Add(6 * time.Hour)
	tracker.RecordFlowEnd(end, "comptoir", errkind.BackendLost)
	tracker.RecordFlowEnd(end, "comptoir", errkind.DomainOut)
	objectives := config.Objectives{AnsweredShare: 0.999, UnbrokenShare: 0.9999, LatencyP99: 250 * time.Millisecond}
	c := &config.Config{Generation: 7, Services: []config.Service{
		{Name: "comptoir", Objectives: objectives}, {Name: "nuancier", Objectives: objectives}}}
	r := tracker.Report(c.View(end))
	r.Sources, r.Missing = 7, []string{"agent-8"}
	return r
}

// Guards against unintended changes of the text report.
func TestTextGolden(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	is.NoErr(WriteText(&out, sampleReport()))
	golden.Compare(t, filepath.Join("testdata", "report.txt"), out.String(), *update)
}

// Guards against a page that is not well-formed, loads external resources, or
// lets a name inject markup.
func TestHTMLIsWellFormedAndSelfContained(t *testing.T) {
	is := is.New(t)
	report := sampleReport()
	report.Missing = []string{"<script>alert(1)</script>"}
	var out bytes.Buffer
	is.NoErr(WriteHTML(&out, report))
	decoder := xml.NewDecoder(bytes.NewReader(out.Bytes()))
	lines := 0
	for {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}
		is.NoErr(err)
		element, ok := token.(xml.StartElement)
		if !ok {
			continue
		}
		is.True(element.Name.Local != "script" && element.Name.Local != "link")
		for _, attr := range element.Attr {
			is.True(attr.Name.Local != "src" && attr.Name.Local != "href")
		}
		if element.Name.Local == "polyline" {
			lines++
			is.Equal(len(strings.Fields(element.Attr[1].Value)), 73)
		}
	}
	is.Equal(lines, 6) // three indicators of two services
	is.True(!strings.Contains(out.String(), "://"))
}
