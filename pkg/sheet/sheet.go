// Package sheet reads the morning sheet, the CSV file in which operators
// describe failure domains, services and planned changes. It parses and
// validates the text and reports all faults together, applies a sheet to a
// configuration, and compares two configurations. It does no I/O and reads no
// clock: callers pass the text and the time. Of this module it may import only
// internal/base and package config.
//
// docs/SHEET.md describes the columns and their units.
package sheet

import (
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Sheet is a parsed and valid sheet.
type Sheet struct {
	BaseGeneration uint64 // generation that the sheet was made on, 0 if it names none
	Domains        []Domain
	Services       []config.Service
	Changes        []Change
}

// Domain is a failure domain as listed in a sheet. Its index is assigned when
// the sheet is applied.
type Domain struct {
	Name   string
	Region string
}

// Change is a planned change as listed in a sheet, without ID and generation.
type Change struct {
	Kind    config.ChangeKind
	Subject string // backend server or failure domain
	Service string // of the backend server; empty for a failure domain
	At      time.Time
}

// Planned returns c as a change of the configuration, accepted by the given
// generation. Its ID is derived from its content, so that listing the same
// change twice adds it once.
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

// Parse reads a sheet from CSV text. Its error has kind SheetInvalid and holds
// every fault; see FaultsOf.
func Parse(data []byte) (*Sheet, error) {
	p := &parser{columns: map[string]int{}, reportedMissing: map[string]bool{}, lineOf: map[string]int{}}
	for _, r := range p.readRows(data) {
		p.parseRecord(r)
	}
	p.checkReferences()
	if len(p.faults) > 0 {
		return nil, p.faults.sortedError()
	}
	return &p.sheet, nil
}
