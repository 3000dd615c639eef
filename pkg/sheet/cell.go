package sheet

import (
	"net/netip"
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// expectedName describes a valid name; its bound is that of package config.
var expectedName = "1 to " + itoa(config.MaxNameBytes) + " of a-z, 0-9 and hyphens"

const (
	expectedAddress  = "an IPv4 address with a port, such as 127.0.0.1:7001"
	expectedTime     = "an RFC 3339 time with its offset, such as 2026-12-04T10:00:00-05:00"
	expectedDuration = "a duration with its unit, such as 3s or 500ms"
	expectedShare    = "a share with a decimal point, at least 0 and below 1, such as 0.999"
	expectedPaths    = "paths that start with /, separated by spaces"
)

// row parses the cells of one record and tracks which columns were read.
type row struct {
	*parser
	record      record
	usedColumns map[string]bool
}

func itoa(n int) string { return strconv.Itoa(n) }

// cell returns the cell of a column, or "" if the header or the record lacks
// it.
func (r row) cell(column string) string {
	r.usedColumns[column] = true
	i, ok := r.columns[column]
	if !ok || i >= len(r.record.cells) {
		return ""
	}
	return r.record.cells[i]
}

// required returns the cell of a column. It reports a fault and returns false
// if the cell is empty or the header lacks the column.
func (r row) required(column, expected string) (string, bool) {
	text := r.cell(column)
	if text != "" {
		return text, true
	}
	if _, ok := r.columns[column]; !ok {
		r.reportMissing(column)
		return "", false
	}
	r.addFaultAt(column, "must not be empty", expected)
	return "", false
}

func (r row) addFaultAt(column, reason, expected string) {
	r.addFault(r.record.line, r.columns[column]+1, column, reason, expected)
}

func (r row) name(column string) string {
	text, ok := r.required(column, expectedName)
	if !ok {
		return ""
	}
	if len(text) > config.MaxNameBytes || strings.ContainsFunc(text, isInvalidInName) {
		r.addFaultAt(column, quote(text)+" is not a name", expectedName)
	}
	return text
}

func isInvalidInName(c rune) bool {
	return (c < 'a' || c > 'z') && (c < '0' || c > '9') && c != '-'
}

func (r row) integer(column string, highest int) int {
	expected := "a whole number from 1 to " + itoa(highest)
	text, ok := r.required(column, expected)
	if !ok {
		return 0
	}
	n, err := strconv.Atoi(text)
	if err != nil {
		r.addFaultAt(column, quote(text)+" is not a whole number", expected)
		return 0
	}
	if n < 1 || n > highest {
		r.addFaultAt(column, text+" is out of range", expected)
		return 0
	}
	return n
}

// duration parses a required duration of at least lowest.
func (r row) duration(column string, lowest time.Duration) time.Duration {
	text, ok := r.required(column, expectedDuration)
	if !ok {
		return 0
	}
	return r.parseDuration(column, text, lowest)
}

func (r row) optionalDuration(column string) time.Duration {
	text := r.cell(column)
	if text == "" {
		return 0
	}
	return r.parseDuration(column, text, 0)
}

func (r row) parseDuration(column, text string, lowest time.Duration) time.Duration {
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addFaultAt(column, quote(text)+" is not a duration", expectedDuration)
		return 0
	}
	if d < lowest {
		r.addFaultAt(column, text+" is out of range", expectedMinDuration(lowest))
	}
	return d
}

func expectedMinDuration(lowest time.Duration) string {
	if lowest > 0 {
		return "a duration above 0"
	}
	return "a duration of 0 or more"
}

func (r row) share(column string) float64 {
	text := r.cell(column)
	if text == "" {
		return 0
	}
	share, err := strconv.ParseFloat(text, 64)
	if err != nil || !(share >= 0 && share < 1) {
		r.addFaultAt(column, quote(text)+" is not a share", expectedShare)
		return 0
	}
	return share
}

func (r row) address(column string) netip.AddrPort {
	text, ok := r.required(column, expectedAddress)
	if !ok {
		return netip.AddrPort{}
	}
	addr, err := netip.ParseAddrPort(text)
	if err != nil || !addr.Addr().Is4() || addr.Port() == 0 {
		r.addFaultAt(column, quote(text)+" is not an address", expectedAddress)
		return netip.AddrPort{}
	}
	return addr
}

func (r row) time(column string) time.Time {
	text, ok := r.required(column, expectedTime)
	if !ok {
		return time.Time{}
	}
	at, err := time.Parse(time.RFC3339, text)
	if err != nil || at.IsZero() {
		r.addFaultAt(column, quote(text)+" is not a time", expectedTime)
	}
	return at.UTC()
}

func (r row) paths(column string) []string {
	paths := strings.Fields(r.cell(column))
	for _, path := range paths {
		if !strings.HasPrefix(path, "/") || strings.ContainsAny(path, "?#") {
			r.addFaultAt(column, quote(path)+" is not a path", expectedPaths)
		}
	}
	return paths
}
