package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"io"
	"strconv"
	"strings"
	"unicode/utf8"
)

const (
	byteOrderMark = "\xef\xbb\xbf"
	comment       = '#'
)

// parser collects the values and the faults of one sheet.
type parser struct {
	headerLine int
	header     []string
	columns    map[string]int  // position of each named column
	missing    map[string]bool // columns whose absence has been reported
	faults     Faults
	sheet      Sheet
	lines      map[string]int // line of each value that must be unique
	references []reference
}

// rawRow is one record before it is checked.
type rawRow struct {
	line  int
	cells []string
}

// read splits the text into records below the header. Blank records and
// repetitions of the header are left out.
func (p *parser) read(data []byte) []rawRow {
	text, ok := p.decode(data)
	if !ok {
		return nil
	}
	var rows []rawRow
	for _, r := range p.records(text) {
		switch {
		case r.blank():
		case p.header == nil:
			p.parseHeader(r)
		case !p.isHeader(r):
			rows = append(rows, r)
		}
	}
	if p.header == nil && len(p.faults) == 0 {
		p.fault(1, 1, "", "the sheet is empty", "a header line with the column names of docs/SHEET.md")
	}
	return rows
}

// decode removes a byte-order mark and turns line ends of old spreadsheets
// (CR only) into LF.
func (p *parser) decode(data []byte) (string, bool) {
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if at := invalidUTF8(data); at >= 0 {
		line := 1 + bytes.Count(data[:at], []byte("\n"))
		p.fault(line, 1, "", "the text is not UTF-8", "a sheet exported as CSV UTF-8")
		return "", false
	}
	text := string(data)
	if !strings.Contains(text, "\n") {
		text = strings.ReplaceAll(text, "\r", "\n")
	}
	return text, true
}

// invalidUTF8 returns the position of the first byte that is not UTF-8, or of
// the first NUL byte, which UTF-16 text has; -1 if there is none.
func invalidUTF8(data []byte) int {
	for i := 0; i < len(data); {
		r, size := utf8.DecodeRune(data[i:])
		if r == 0 || (r == utf8.RuneError && size == 1) {
			return i
		}
		i += size
	}
	return -1
}

// records reads all records and goes on after a fault.
func (p *parser) records(text string) []rawRow {
	separator := detectSeparator(text)
	r := csv.NewReader(strings.NewReader(text))
	r.Comma = separator
	r.Comment = comment
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	var rows []rawRow
	for {
		cells, err := r.Read()
		if err == io.EOF {
			return rows
		}
		if err != nil {
			p.quoteFault(text, separator, err)
			continue
		}
		line, _ := r.FieldPos(0)
		rows = append(rows, rawRow{line, trim(cells)})
	}
}

// detectSeparator returns the separator of the first line that has one.
func detectSeparator(text string) rune {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, string(comment)) {
			continue
		}
		commas, semicolons := strings.Count(line, ","), strings.Count(line, ";")
		if semicolons > commas {
			return ';'
		}
		if commas > 0 {
			return ','
		}
	}
	return ','
}

func (p *parser) quoteFault(text string, separator rune, err error) {
	var parse *csv.ParseError
	if !errors.As(err, &parse) {
		p.fault(1, 1, "", err.Error(), "CSV")
		return
	}
	const expected = `quotes around a whole cell, with "" for a quote inside it`
	if parse.StartLine != parse.Line {
		p.fault(parse.StartLine, 1, "", "a quote opened here runs on to line "+itoa(parse.Line), expected)
		return
	}
	column := cellAt(text, separator, parse.Line, parse.Column)
	p.fault(parse.Line, column, "", parse.Err.Error(), expected)
}

// cellAt returns which cell of a line holds a byte position, both from 1.
func cellAt(text string, separator rune, line, position int) int {
	lines := strings.Split(text, "\n")
	if line < 1 || line > len(lines) {
		return 1
	}
	cell, quoted := 1, false
	for i, r := range lines[line-1] {
		if i >= position-1 {
			break
		}
		quoted = quoted != (r == '"')
		if r == separator && !quoted {
			cell++
		}
	}
	return cell
}

func trim(cells []string) []string {
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	return cells
}

func (r rawRow) blank() bool {
	return strings.Join(r.cells, "") == ""
}

func (p *parser) fault(line, column int, name, reason, expected string) {
	p.faults = append(p.faults, Fault{line, column, name, reason, expected})
}

func quote(s string) string { return strconv.Quote(s) }
