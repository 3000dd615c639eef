package sheet

import (
	"slices"
	"strings"
)

// Names of the columns.
const (
	colRow            = "row"
	colName           = "name"
	colRegion         = "region"
	colService        = "service"
	colAt             = "at"
	colAddress        = "address"
	colSlots          = "slots"
	colConnections    = "connections"
	colColdSlots      = "cold_slots"
	colWarmUp         = "warm_up"
	colFeedPaths      = "feed_paths"
	colRequestTimeout = "request_timeout"
	colAnsweredShare  = "answered_share"
	colUnbrokenShare  = "unbroken_share"
	colLatencyP99     = "latency_p99"
	colGeneration     = "generation"
)

// Columns returns the names of all columns, in the order of docs/SHEET.md.
func Columns() []string {
	return []string{
		colRow, colName, colRegion, colService, colAt, colAddress, colSlots, colConnections, colColdSlots,
		colWarmUp, colFeedPaths, colRequestTimeout, colAnsweredShare, colUnbrokenShare, colLatencyP99, colGeneration,
	}
}

// parseHeader reads the names of the columns, in any order and case. Columns
// without a name are allowed while their cells are empty.
func (p *parser) parseHeader(r rawRow) {
	p.header, p.headerLine = r.cells, r.line
	for i, cell := range r.cells {
		name := normalize(cell)
		if name == "" {
			continue
		}
		if !slices.Contains(Columns(), name) {
			p.fault(r.line, i+1, cell, "unknown column", "one of "+strings.Join(Columns(), ", "))
			continue
		}
		if first, ok := p.columns[name]; ok {
			p.fault(r.line, i+1, name, "column is named twice, first as column "+itoa(first+1), "each column once")
			continue
		}
		p.columns[name] = i
	}
}

// isHeader reports whether r repeats the header, as in joined exports.
func (p *parser) isHeader(r rawRow) bool {
	return slices.EqualFunc(r.cells, p.header, strings.EqualFold)
}

// reportMissing adds one fault for a column that rows need and the header
// lacks.
func (p *parser) reportMissing(column string) {
	if p.missing[column] {
		return
	}
	p.missing[column] = true
	p.fault(p.headerLine, len(p.header)+1, column, "column is missing", "a column named "+column)
}

func normalize(name string) string {
	name = strings.ToLower(strings.TrimSpace(name))
	return strings.NewReplacer(" ", "_", "-", "_").Replace(name)
}
