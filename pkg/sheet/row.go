package sheet

import (
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Kinds of rows beside the kinds of planned changes.
const (
	rowBase    = "base"
	rowDomain  = "domain"
	rowService = "service"
)

const expectedRow = "one of base, domain, service, join, leave, domain-out, domain-back"

// lowestTimeout is the shortest request timeout that the configuration takes.
const lowestTimeout = time.Nanosecond

func (p *parser) parseRow(raw rawRow) {
	r := row{p, raw, map[string]bool{}}
	kind, ok := r.required(colRow, expectedRow)
	if !ok {
		return
	}
	switch kind = strings.ToLower(kind); kind {
	case rowBase:
		r.parseBase()
	case rowDomain:
		r.parseDomain()
	case rowService:
		r.parseService()
	case string(config.Join), string(config.Leave):
		r.parseBackendChange(config.ChangeKind(kind))
	case string(config.DomainOut), string(config.DomainBack):
		r.parseDomainChange(config.ChangeKind(kind))
	default:
		r.faultAt(colRow, quote(kind)+" is not a kind of row", expectedRow)
		return
	}
	r.checkUnused(kind)
}

// checkUnused reports cells that this kind of row does not use: they are
// usually shifted by one column.
func (r row) checkUnused(kind string) {
	for i, cell := range r.raw.cells {
		name := ""
		if i < len(r.header) {
			name = normalize(r.header[i])
		}
		if cell == "" || r.used[name] {
			continue
		}
		if name != "" && r.columns[name] != i {
			continue // an unknown or repeated column, reported with the header
		}
		r.fault(r.raw.line, i+1, name, quote(cell)+" is not used by a "+kind+" row", "an empty cell")
	}
}

func (r row) parseBase() {
	const expected = "the generation that the sheet was made on, a whole number from 1"
	r.claim(colRow, "row base")
	text, ok := r.required(colGeneration, expected)
	if !ok {
		return
	}
	generation, err := strconv.ParseUint(text, 10, 64)
	if err != nil || generation == 0 {
		r.faultAt(colGeneration, quote(text)+" is not a generation", expected)
		return
	}
	r.sheet.Base = generation
}

func (r row) parseDomain() {
	d := Domain{Name: r.name(colName)}
	d.Region, _ = r.required(colRegion, "the name of a region")
	r.claim(colName, "failure domain "+d.Name)
	r.sheet.Domains = append(r.sheet.Domains, d)
}

func (r row) parseService() {
	s := config.Service{
		Name:           r.name(colName),
		Address:        r.address(colAddress),
		Limits:         r.limits(),
		FeedPaths:      r.paths(colFeedPaths),
		RequestTimeout: r.duration(colRequestTimeout, lowestTimeout),
		Objectives: config.Objectives{
			AnsweredShare: r.share(colAnsweredShare),
			UnbrokenShare: r.share(colUnbrokenShare),
			LatencyP99:    r.optionalDuration(colLatencyP99),
		},
	}
	r.claim(colName, "service "+s.Name)
	if s.Address.IsValid() {
		r.claim(colAddress, "address "+s.Address.String())
	}
	r.sheet.Services = append(r.sheet.Services, s)
}

func (r row) limits() config.Limits {
	l := config.Limits{
		Slots:       r.integer(colSlots, config.MaxSlots),
		Connections: r.integer(colConnections, config.MaxConnections),
		ColdSlots:   r.integer(colColdSlots, config.MaxSlots),
		WarmUp:      r.duration(colWarmUp, 0),
	}
	if l.Slots > 0 && l.ColdSlots > l.Slots {
		r.faultAt(colColdSlots, itoa(l.ColdSlots)+" is above slots", "1 to "+itoa(l.Slots))
	}
	return l
}

func (r row) parseBackendChange(kind config.ChangeKind) {
	r.addChange(Change{Kind: kind, Subject: r.name(colName), Service: r.name(colService), At: r.time(colAt)})
}

func (r row) parseDomainChange(kind config.ChangeKind) {
	r.addChange(Change{Kind: kind, Subject: r.name(colName), At: r.time(colAt)})
}

func (r row) addChange(c Change) {
	r.claim(colName, "planned change "+c.Planned(0).ID)
	r.sheet.Changes = append(r.sheet.Changes, c)
	r.references = append(r.references, reference{r, c})
}

// claim reports a value that an earlier row already has.
func (r row) claim(column, what string) {
	if line, ok := r.lines[what]; ok {
		r.faultAt(column, what+" is already on line "+itoa(line), "each once")
		return
	}
	r.lines[what] = r.raw.line
}

// reference is a planned change whose subject is checked after all rows.
type reference struct {
	row    row
	change Change
}

// checkReferences verifies that planned changes name rows of the sheet.
func (p *parser) checkReferences() {
	for _, ref := range p.references {
		column, what := colName, "failure domain "+ref.change.Subject
		if ref.change.Kind == config.Join || ref.change.Kind == config.Leave {
			column, what = colService, "service "+ref.change.Service
		}
		if _, ok := p.lines[what]; ok || ref.row.text(column) == "" {
			continue
		}
		ref.row.faultAt(column, what+" has no row", "the name of a row in this sheet")
	}
}
