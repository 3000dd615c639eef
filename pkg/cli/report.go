package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/burnpage"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// reportFileMode is the mode of report files, which contain no secrets.
const reportFileMode = 0o644

// BurnSource returns the burn rates of the error budgets of all services.
type BurnSource interface {
	// Burn returns the burn rates of all services. Missing lists the processes
	// that did not answer. Errors carry a kind.
	Burn(ctx context.Context) (burn.Report, error)
}

// ReportCmd groups the report commands.
type ReportCmd struct {
	Burn BurnCmd `cmd:"" help:"Report how fast services spend their error budgets."`
}

// BurnCmd reports the burn rates of error budgets over 5 min, 30 min, 1 h and
// 6 h.
type BurnCmd struct {
	Service string `arg:"" optional:"" help:"Report only this service."`
	JSON    bool   `name:"json" help:"Print one JSON object in place of the table."`
	HTML    string `name:"html" placeholder:"FILE" help:"Write one self-contained HTML page to FILE as well."`
}

// Run prints the report and, with --html, also writes it as a page.
func (c *BurnCmd) Run(ctx context.Context, source BurnSource, out io.Writer) error {
	report, err := source.Burn(ctx)
	if err != nil {
		return err
	}
	if err := c.selectService(&report); err != nil {
		return err
	}
	if c.HTML != "" {
		if err := writePage(c.HTML, report); err != nil {
			return err
		}
	}
	if c.JSON {
		return errkind.Wrap(json.NewEncoder(out).Encode(report), errkind.ReportFailed, "write report")
	}
	return burnpage.WriteText(out, report)
}

// selectService reduces the report to the requested service, if one is given.
func (c *BurnCmd) selectService(report *burn.Report) error {
	if c.Service == "" {
		return nil
	}
	i := slices.IndexFunc(report.Services, func(s burn.ServiceReport) bool { return s.Service == c.Service })
	if i < 0 {
		return errkind.Errorf(errkind.NotFound, "service %q is not configured", c.Service)
	}
	report.Services = report.Services[i : i+1]
	return nil
}

// writePage renders the page before it opens the file, so that a failure to
// render keeps an existing page.
func writePage(path string, report burn.Report) error {
	var page bytes.Buffer
	if err := burnpage.WriteHTML(&page, report); err != nil {
		return err
	}
	err := os.WriteFile(path, page.Bytes(), reportFileMode)
	return errkind.Wrap(err, errkind.ReportFailed, fmt.Sprintf("write %s", path))
}
