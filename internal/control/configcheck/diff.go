package configcheck

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/knapweedpier/knapweedpier/internal/control/view"
)

// CheckVersion returns a finding if the version isn't greater than that in force.
func CheckVersion(inForce, next Configuration) []Finding {
	if next.Version > inForce.Version {
		return nil
	}
	return []Finding{{Error, "version", fmt.Sprintf("it is %d, which isn't greater than the version in force, %d", next.Version, inForce.Version)}}
}

// Difference is an entry that differs from the configuration in force.
type Difference struct {
	Action byte   // '+' added, '-' dropped, '~' changed
	Entry  string // such as route "name"
	Detail string // fields
}

// String returns the difference as one line of text.
func (d Difference) String() string { return fmt.Sprintf("%c %s: %s", d.Action, d.Entry, d.Detail) }

// Compare returns what differs from the configuration in force: routes, services and limits.
// Routes and services are the same if they have the same name; of several with one name, the
// first is compared with the first and so on.
func Compare(inForce, next Configuration) []Difference {
	differences := compare("route", entriesOf(inForce.Routes, routeEntry), entriesOf(next.Routes, routeEntry))
	differences = append(differences, compare("service", entriesOf(inForce.Services, serviceEntry), entriesOf(next.Services, serviceEntry))...)
	if detail := changedFields(limitFields(inForce), limitFields(next)); detail != "" {
		differences = append(differences, Difference{'~', "limits", detail})
	}
	return differences
}

type field struct{ name, value string }

type entryKey struct {
	name       string
	occurrence int
}

type entry struct {
	key    entryKey
	fields []field
}

// entriesOf returns the entries of a list with keys that are unique in it.
func entriesOf[T any](list []T, convert func(T) (name string, fields []field)) []entry {
	entries := make([]entry, 0, len(list))
	occurrences := map[string]int{}
	for _, v := range list {
		name, fields := convert(v)
		entries = append(entries, entry{entryKey{name, occurrences[name]}, fields})
		occurrences[name]++
	}
	return entries
}

func compare(object string, inForce, next []entry) []Difference {
	var differences []Difference
	old := map[entryKey][]field{}
	for _, e := range inForce {
		old[e.key] = e.fields
	}
	for _, e := range next {
		fields, existed := old[e.key]
		delete(old, e.key)
		name := object + " " + strconv.Quote(e.key.name)
		if !existed {
			differences = append(differences, Difference{'+', name, allFields(e.fields)})
		} else if detail := changedFields(fields, e.fields); detail != "" {
			differences = append(differences, Difference{'~', name, detail})
		}
	}
	for _, e := range inForce {
		if fields, dropped := old[e.key]; dropped {
			differences = append(differences, Difference{'-', object + " " + strconv.Quote(e.key.name), allFields(fields)})
		}
	}
	return differences
}

func allFields(fields []field) string {
	var texts []string
	for _, f := range fields {
		if f.value != "" {
			texts = append(texts, f.name+" "+f.value)
		}
	}
	return strings.Join(texts, ", ")
}

// changedFields returns the fields that differ, with both values. Both lists have the same
// names in the same order.
func changedFields(old, next []field) string {
	var texts []string
	for i, f := range next {
		if f.value != old[i].value {
			texts = append(texts, fmt.Sprintf("%s %s -> %s", f.name, orNone(old[i].value), orNone(f.value)))
		}
	}
	return strings.Join(texts, ", ")
}

func orNone(value string) string {
	if value == "" {
		return "none"
	}
	return value
}

func routeEntry(r Route) (string, []field) {
	address := ""
	if r.AddressFault == "" {
		address = r.Address.String()
	}
	var shares []string
	for _, s := range r.Split {
		shares = append(shares, fmt.Sprintf("%s:%d", s.Service, s.Weight))
	}
	return r.Name, []field{
		{"address", address},
		{"type", r.Type},
		{"priority", strconv.Itoa(r.Priority)},
		{"timeout", r.Timeout.String()},
		{"objective", r.Objective.String()},
		{"service", r.Service},
		{"split", strings.Join(shares, " ")},
	}
}

func serviceEntry(s view.Service) (string, []field) {
	return s.Name, []field{
		{"health path", s.HealthPath},
		{"maximum connections", strconv.Itoa(s.MaxFlows)},
		{"warm-up time", s.WarmUp.String()},
		{"cold rate", strconv.FormatFloat(s.ColdPerSecond, 'g', -1, 64)},
	}
}

func limitFields(c Configuration) []field { return []field{{"idle timeout", c.IdleTimeout.String()}} }
