package sheet

import (
	"slices"
	"strings"
)

// Column names.
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

// Columns returns all column names, in the order of docs/SHEET.md.
func Columns() []string {
	return []string{
		colRow, colName, colRegion, colService, colAt, colAddress, colSlots, colConnections, colColdSlots,
		colWarmUp, colFeedPaths, colRequestTimeout, colAnsweredShare, colUnbrokenShare, colLatencyP99, colGeneration,
	}
}

// parseHeader reads the column names, in any order and case. A column without
// a name is allowed if all its cells are empty.
func (p *parser) parseHeader(r record) {
	p.header, p.headerLine = r.cells, r.line
	for i, cell := range r.cells {
		name := normalizeColumnName(cell)
		if name == "" {
			continue
		}
		if !slices.Contains(Columns(), name) {
			p.addFault(r.line, i+1, cell, "unknown column", "one of "+strings.Join(Columns(), ", "))
			continue
		}
		if first, ok := p.columns[name]; ok {
			p.addFault(r.line, i+1, name, "column is named twice, first as column "+itoa(first+1), "each column once")
			continue
		}
		p.columns[name] = i
	}
}

// isHeader reports whether r repeats the header, as happens when exports are
// concatenated.
func (p *parser) isHeader(r record) bool {
	return slices.EqualFunc(r.cells, p.header, strings.EqualFold)
}

// reportMissing reports a column that a row requires and the header lacks,
// once for each column.
func (p *parser) reportMissing(column string) {
	if p.reportedMissing[column] {
		return
	}
	p.reportedMissing[column] = true
	p.addFault(p.headerLine, len(p.header)+1, column, "column is missing", "a column named "+column)
}

// normalizeColumnName converts a column name to lower case, with underscores
// in place of spaces and hyphens.
func normalizeColumnName(name string) string {
	name = strings.ToLower(strings.TrimSpace(name))
	return strings.NewReplacer(" ", "_", "-", "_").Replace(name)
}
