package cli

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/clockoffset"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
)

// maxListedNames is the maximum number of names in one line of the screen.
const maxListedNames = 8

const screenTimeFormat = "2006-01-02 15:04:05 MST"

// writeStatus writes s as text.
func writeStatus(out io.Writer, s status.Status) error {
	var b strings.Builder
	writeFleet(&b, s)
	for _, service := range s.Services {
		writeService(&b, service)
	}
	_, err := io.WriteString(out, b.String())
	return err
}

func writeFleet(w io.Writer, s status.Status) {
	fmt.Fprintf(w, "status      %s, as %s sees it\n", s.At.UTC().Format(screenTimeFormat), s.Source)
	fmt.Fprintf(w, "generation  %s\n", generationText(s))
	fmt.Fprintf(w, "platform    %s\n", platformText(s))
	fmt.Fprintf(w, "next        %s\n", nextText(s))
	fmt.Fprintf(w, "domains     %s\n", domainsText(s))
	fmt.Fprintf(w, "balancers   %d serving, %d leaving, %d silent\n", s.Balancers.Serving, s.Balancers.Leaving, s.Balancers.Silent)
	fmt.Fprintf(w, "clocks      %s\n", clocksText(s))
	if len(s.UnconfiguredAgents) > 0 {
		fmt.Fprintf(w, "strays      agents of services that are not configured: %s\n", joinNames(s.UnconfiguredAgents))
	}
}

func generationText(s status.Status) string {
	if s.Generation == 0 {
		return "none: no configuration has been accepted"
	}
	if len(s.Lagging) == 0 {
		return fmt.Sprintf("%d, in force everywhere", s.Generation)
	}
	lagging := make([]string, len(s.Lagging))
	for i, l := range s.Lagging {
		lagging[i] = fmt.Sprintf("%s at %d%s", l.ID, l.Generation, silentText(l.Silent))
	}
	return fmt.Sprintf("%d, not in force at %d: %s", s.Generation, len(lagging), joinNames(lagging))
}

func silentText(silent bool) string {
	if silent {
		return " (silent)"
	}
	return ""
}

func platformText(s status.Status) string {
	since := s.At.Sub(s.Platform.Since).Round(time.Second)
	if s.Platform.Reachable {
		return fmt.Sprintf("reachable for %s", since)
	}
	return fmt.Sprintf("NOT REACHABLE for %s: what is in force stays, nothing can be applied", since)
}

func nextText(s status.Status) string {
	if s.NextChange == nil {
		return "no planned change"
	}
	return fmt.Sprintf("planned change at %s, in %s", s.NextChange.UTC().Format(screenTimeFormat), s.NextChange.Sub(s.At).Round(time.Second))
}

func domainsText(s status.Status) string {
	var out []string
	for _, d := range s.Domains {
		if d.Out != nil {
			out = append(out, fmt.Sprintf("%s for %s", d.Name, s.At.Sub(*d.Out).Round(time.Second)))
		}
	}
	if len(out) == 0 {
		return fmt.Sprintf("%d, none out", len(s.Domains))
	}
	return fmt.Sprintf("%d, OUT: %s", len(s.Domains), joinNames(out))
}

func clocksText(s status.Status) string {
	if len(s.Clocks) == 0 {
		return fmt.Sprintf("all within %s, worst %s", clockoffset.Limit, formatOffset(s.WorstClock))
	}
	off := make([]string, len(s.Clocks))
	for i, c := range s.Clocks {
		off[i] = c.ID + " " + formatOffset(c.Offset)
	}
	return fmt.Sprintf("OFF by more than %s: %s", clockoffset.Limit, joinNames(off))
}

func formatOffset(d time.Duration) string {
	if d > 0 {
		return "+" + d.Round(time.Millisecond).String()
	}
	return d.Round(time.Millisecond).String()
}

// joinNames lists the first maxListedNames names and the number of the others.
func joinNames(list []string) string {
	if len(list) <= maxListedNames {
		return strings.Join(list, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(list[:maxListedNames], ", "), len(list)-maxListedNames)
}

func writeService(w io.Writer, s status.Service) {
	fmt.Fprintf(w, "\n%s  %s  %s\n", s.Name, s.Address, serviceStateText(s))
	fmt.Fprintf(w, "  requests  %d in progress, limit %d now, %d when warm\n", s.Use.InProgress, s.Use.Limit, s.WarmLimit)
	fmt.Fprintf(w, "  flows     %d open, limit %d, %d more at leaving backend servers\n", s.Use.Flows, s.Connections, s.LeavingFlows)
	fmt.Fprintf(w, "  refusals  %s\n", refusalsText(s))
	if len(s.Domains) > 0 {
		writeDomains(w, s.Domains)
	}
}

func serviceStateText(s status.Service) string {
	if s.Down {
		return "DOWN: no backend server takes requests"
	}
	return "up"
}

func refusalsText(s status.Service) string {
	counted := fmt.Sprintf("(%d of %d agents answered)", s.Counted, s.Counted+len(s.NotCounted))
	if len(s.Refusals) == 0 {
		return "none " + counted
	}
	parts := make([]string, len(s.Refusals))
	for i, r := range s.Refusals {
		parts[i] = fmt.Sprintf("%s %d", r.Kind, r.Count)
	}
	return strings.Join(parts, ", ") + " " + counted
}

func writeDomains(w io.Writer, domains []status.ServiceDomain) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "  domain\tannounced\tcold\twarm\tleaving\tsilent\trequests\tflows")
	for _, d := range domains {
		b := d.Backends
		fmt.Fprintf(table, "  %s\t%d\t%d\t%d\t%d\t%d\t%d/%d\t%d\n", domainName(d), b.Announced, b.Cold, b.Warm, b.Leaving, b.Silent,
			d.Use.InProgress, d.Use.Limit, d.Use.Flows)
	}
	_ = table.Flush() // the writer is a strings.Builder, which cannot fail
}

func domainName(d status.ServiceDomain) string {
	if d.Out {
		return d.Name + " (OUT)"
	}
	return d.Name
}
