// Package sheet owns the morning sheet: CSV text to raw rows, raw rows to
// checked typed values with all faults at once, the configuration that a
// sheet asks for, and the difference between two configurations.
//
// docs/SHEET.md describes the columns and their units.
package sheet

import (
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Sheet is a sheet without faults.
type Sheet struct {
	Base     uint64 // generation that the sheet was made on, 0 when it names none
	Domains  []Domain
	Services []config.Service
	Changes  []Change
}

// Domain is a failure domain as a sheet names it. Its index is assigned when
// the sheet is accepted.
type Domain struct {
	Name   string
	Region string
}

// Change is a planned change as a sheet names it.
type Change struct {
	Kind    config.ChangeKind
	Subject string // backend server or failure domain
	Service string // of a backend server
	At      time.Time
}

// Planned returns c as the configuration holds it, accepted by a generation.
// Its ID is derived from its content, so that the same change given twice is
// one change.
func (c Change) Planned(generation uint64) config.PlannedChange {
	at := c.At.UTC()
	id := string(c.Kind) + ":" + c.Subject + ":" + at.Format(time.RFC3339Nano)
	if c.Service != "" {
		id = c.Service + ":" + id
	}
	return config.PlannedChange{
		ID: id, Kind: c.Kind, Subject: c.Subject, Service: c.Service, At: at, Generation: generation,
	}
}

// Parse reads a sheet. Its error has kind SheetInvalid and holds every fault;
// see FaultsOf.
func Parse(data []byte) (*Sheet, error) {
	p := &parser{columns: map[string]int{}, missing: map[string]bool{}, lines: map[string]int{}}
	for _, r := range p.read(data) {
		p.parseRow(r)
	}
	p.checkReferences()
	if len(p.faults) > 0 {
		return nil, p.faults.asError()
	}
	return &p.sheet, nil
}
