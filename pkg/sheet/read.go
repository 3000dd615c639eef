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
	commentMarker = '#'
)

// parser collects the values and the faults of one sheet.
type parser struct {
	headerLine      int
	header          []string
	columns         map[string]int  // index of each column, by name
	reportedMissing map[string]bool // columns already reported as missing
	faults          Faults
	sheet           Sheet
	lineOf          map[string]int // line of each value that must be unique, by its description
	references      []changeReference
}

// record is one CSV record with surrounding space removed from its cells.
type record struct {
	line  int
	cells []string
}

// readRows parses the header and returns the records below it, without blank
// records and repetitions of the header.
func (p *parser) readRows(data []byte) []record {
	text, ok := p.decode(data)
	if !ok {
		return nil
	}
	var rows []record
	for _, r := range p.readRecords(text) {
		switch {
		case r.isBlank():
		case p.header == nil:
			p.parseHeader(r)
		case !p.isHeader(r):
			rows = append(rows, r)
		}
	}
	if p.header == nil && len(p.faults) == 0 {
		p.addFault(1, 1, "", "the sheet is empty", "a header line with the column names of docs/SHEET.md")
	}
	return rows
}

// decode removes a byte-order mark and converts CR line ends, which old
// spreadsheets write, to LF. It reports a fault and returns false if the text
// is not UTF-8.
func (p *parser) decode(data []byte) (string, bool) {
	data = bytes.TrimPrefix(data, []byte(byteOrderMark))
	if at := invalidUTF8(data); at >= 0 {
		line := 1 + bytes.Count(data[:at], []byte("\n"))
		p.addFault(line, 1, "", "the text is not UTF-8", "a sheet exported as CSV UTF-8")
		return "", false
	}
	text := string(data)
	if !strings.Contains(text, "\n") {
		text = strings.ReplaceAll(text, "\r", "\n")
	}
	return text, true
}

// invalidUTF8 returns the offset of the first byte that is not valid UTF-8 or
// is NUL, which occurs in UTF-16 text; -1 if there is none.
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

// readRecords reads all records. It reports a malformed record as a fault and
// continues with the next one.
func (p *parser) readRecords(text string) []record {
	separator := detectSeparator(text)
	r := csv.NewReader(strings.NewReader(text))
	r.Comma = separator
	r.Comment = commentMarker
	r.FieldsPerRecord = -1
	r.TrimLeadingSpace = true
	var rows []record
	for {
		cells, err := r.Read()
		if err == io.EOF {
			return rows
		}
		if err != nil {
			p.addCSVFault(text, separator, err)
			continue
		}
		line, _ := r.FieldPos(0)
		rows = append(rows, record{line, trimCells(cells)})
	}
}

// detectSeparator returns the separator of the first line that contains one: a
// semicolon if the line has more semicolons than commas.
func detectSeparator(text string) rune {
	for line := range strings.Lines(text) {
		if strings.HasPrefix(line, string(commentMarker)) {
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

// addCSVFault reports an error of the CSV reader, in most cases a misplaced
// quote.
func (p *parser) addCSVFault(text string, separator rune, err error) {
	var parse *csv.ParseError
	if !errors.As(err, &parse) {
		p.addFault(1, 1, "", err.Error(), "CSV")
		return
	}
	const expected = `quotes around a whole cell, with "" for a quote inside it`
	if parse.StartLine != parse.Line {
		p.addFault(parse.StartLine, 1, "", "a quote opened here runs on to line "+itoa(parse.Line), expected)
		return
	}
	column := cellAtByte(text, separator, parse.Line, parse.Column)
	p.addFault(parse.Line, column, "", parse.Err.Error(), expected)
}

// cellAtByte returns the number of the cell that contains a byte of a line.
// Cell, line and byte position count from 1.
func cellAtByte(text string, separator rune, line, position int) int {
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

func trimCells(cells []string) []string {
	for i, cell := range cells {
		cells[i] = strings.TrimSpace(cell)
	}
	return cells
}

func (r record) isBlank() bool {
	return strings.Join(r.cells, "") == ""
}

func (p *parser) addFault(line, column int, name, reason, expected string) {
	p.faults = append(p.faults, Fault{line, column, name, reason, expected})
}

func quote(s string) string { return strconv.Quote(s) }
