package sheet

import (
	"strconv"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Kinds of rows other than planned changes.
const (
	rowBase    = "base"
	rowDomain  = "domain"
	rowService = "service"
)

const expectedRowKind = "one of base, domain, service, join, leave, domain-out, domain-back"

// minRequestTimeout is the shortest request timeout that package config
// accepts.
const minRequestTimeout = time.Nanosecond

func (p *parser) parseRecord(rec record) {
	r := row{p, rec, map[string]bool{}}
	kind, ok := r.required(colRow, expectedRowKind)
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
		r.addFaultAt(colRow, quote(kind)+" is not a kind of row", expectedRowKind)
		return
	}
	r.checkUnused(kind)
}

// checkUnused reports non-empty cells that this kind of row does not use:
// usually the row is shifted by one column.
func (r row) checkUnused(kind string) {
	for i, cell := range r.record.cells {
		name := ""
		if i < len(r.header) {
			name = normalizeColumnName(r.header[i])
		}
		if cell == "" || r.usedColumns[name] {
			continue
		}
		if name != "" && r.columns[name] != i {
			continue // an unknown or repeated column, reported with the header
		}
		r.addFault(r.record.line, i+1, name, quote(cell)+" is not used by a "+kind+" row", "an empty cell")
	}
}

func (r row) parseBase() {
	const expected = "the generation that the sheet was made on, a whole number from 1"
	r.requireUnique(colRow, "row base")
	text, ok := r.required(colGeneration, expected)
	if !ok {
		return
	}
	generation, err := strconv.ParseUint(text, 10, 64)
	if err != nil || generation == 0 {
		r.addFaultAt(colGeneration, quote(text)+" is not a generation", expected)
		return
	}
	r.sheet.BaseGeneration = generation
}

func (r row) parseDomain() {
	d := Domain{Name: r.name(colName)}
	d.Region, _ = r.required(colRegion, "the name of a region")
	r.requireUnique(colName, "failure domain "+d.Name)
	r.sheet.Domains = append(r.sheet.Domains, d)
}

func (r row) parseService() {
	s := config.Service{
		Name:           r.name(colName),
		Address:        r.address(colAddress),
		Limits:         r.limits(),
		FeedPaths:      r.paths(colFeedPaths),
		RequestTimeout: r.duration(colRequestTimeout, minRequestTimeout),
		Objectives: config.Objectives{
			AnsweredShare: r.share(colAnsweredShare),
			UnbrokenShare: r.share(colUnbrokenShare),
			LatencyP99:    r.optionalDuration(colLatencyP99),
		},
	}
	r.requireUnique(colName, "service "+s.Name)
	if s.Address.IsValid() {
		r.requireUnique(colAddress, "address "+s.Address.String())
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
		r.addFaultAt(colColdSlots, itoa(l.ColdSlots)+" is above slots", "1 to "+itoa(l.Slots))
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
	r.requireUnique(colName, "planned change "+c.Planned(0).ID)
	r.sheet.Changes = append(r.sheet.Changes, c)
	r.references = append(r.references, changeReference{r, c})
}

// requireUnique reports a fault if an earlier row already has the value.
func (r row) requireUnique(column, description string) {
	if line, ok := r.lineOf[description]; ok {
		r.addFaultAt(column, description+" is already on line "+itoa(line), "each once")
		return
	}
	r.lineOf[description] = r.record.line
}

// changeReference is a planned change whose subject or service is looked up
// after all rows are parsed.
type changeReference struct {
	row    row
	change Change
}

// checkReferences reports planned changes whose failure domain or service has
// no row in the sheet.
func (p *parser) checkReferences() {
	for _, ref := range p.references {
		column, description := colName, "failure domain "+ref.change.Subject
		if ref.change.Kind == config.Join || ref.change.Kind == config.Leave {
			column, description = colService, "service "+ref.change.Service
		}
		if _, ok := p.lineOf[description]; ok || ref.row.cell(column) == "" {
			continue
		}
		ref.row.addFaultAt(column, description+" has no row", "the name of a row in this sheet")
	}
}
