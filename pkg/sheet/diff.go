package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Action tells how an entry of a difference changed.
type Action string

// The actions, as printed in a difference.
const (
	Added   Action = "+"
	Removed Action = "-"
	Changed Action = "~"
)

// Entry is one difference between two configurations.
type Entry struct {
	Action  Action
	Object  string // "failure domain", "service" or "planned change"
	Name    string
	Subject string // affected object, such as "failure domain shawi"
	Detail  string
}

// String returns the entry as one line of text.
func (e Entry) String() string {
	line := string(e.Action) + " " + e.Object + " " + e.Name
	if e.Detail != "" {
		line += ": " + e.Detail
	}
	return line
}

// Difference lists what changes from one configuration to another.
type Difference []Entry

// String returns one line for each entry.
func (d Difference) String() string {
	lines := make([]string, len(d))
	for i, e := range d {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// WithSubjectsOf returns the entries of d that affect the same subject as an
// entry of other.
func (d Difference) WithSubjectsOf(other Difference) Difference {
	subjects := map[string]bool{}
	for _, e := range other {
		subjects[e.Subject] = true
	}
	var shared Difference
	for _, e := range d {
		if subjects[e.Subject] {
			shared = append(shared, e)
		}
	}
	return shared
}

// Diff returns the difference from old to next. Either may be nil. Generation,
// change ID and accept time are not compared.
func Diff(old, next *config.Config) Difference {
	a, b := CopyConfig(old), CopyConfig(next)
	var d Difference
	d = append(d, compare(a.Domains, b.Domains, domainEntry, domainDetail)...)
	d = append(d, compare(a.Services, b.Services, serviceEntry, serviceDetail)...)
	return append(d, compare(a.Changes, b.Changes, changeEntry, changeDetail)...)
}

// compare returns the entries that were added, changed and removed. entry
// returns the subject and name that identify a value; detail returns the
// changed fields, "" for equal values.
func compare[T any](old, next []T, entry func(T) Entry, detail func(a, b T) string) Difference {
	var d Difference
	before := map[Entry]T{}
	for _, v := range old {
		before[entry(v)] = v
	}
	var zero T
	for _, v := range next {
		e := entry(v)
		previous, existed := before[e]
		delete(before, e)
		e.Action, e.Detail = Changed, detail(previous, v)
		if !existed {
			e.Action = Added
			e.Detail = detail(zero, v)
		}
		if e.Detail != "" {
			d = append(d, e)
		}
	}
	for _, v := range old {
		e := entry(v)
		if _, removed := before[e]; removed {
			e.Action = Removed
			d = append(d, e)
		}
	}
	return d
}

func domainEntry(d config.FailureDomain) Entry {
	return Entry{Object: "failure domain", Name: d.Name, Subject: "failure domain " + d.Name}
}

func domainDetail(a, b config.FailureDomain) string {
	return formatChangedFields(comparedField{"region", a.Region, b.Region})
}

func serviceEntry(s config.Service) Entry {
	return Entry{Object: "service", Name: s.Name, Subject: "service " + s.Name}
}

func serviceDetail(a, b config.Service) string {
	return formatChangedFields(
		comparedField{"address", a.Address, b.Address},
		comparedField{"slots", a.Limits.Slots, b.Limits.Slots},
		comparedField{"connections", a.Limits.Connections, b.Limits.Connections},
		comparedField{"cold_slots", a.Limits.ColdSlots, b.Limits.ColdSlots},
		comparedField{"warm_up", a.Limits.WarmUp, b.Limits.WarmUp},
		comparedField{"feed_paths", strings.Join(a.FeedPaths, " "), strings.Join(b.FeedPaths, " ")},
		comparedField{"request_timeout", a.RequestTimeout, b.RequestTimeout},
		comparedField{"answered_share", a.Objectives.AnsweredShare, b.Objectives.AnsweredShare},
		comparedField{"unbroken_share", a.Objectives.UnbrokenShare, b.Objectives.UnbrokenShare},
		comparedField{"latency_p99", a.Objectives.LatencyP99, b.Objectives.LatencyP99},
	)
}

func changeEntry(c config.PlannedChange) Entry {
	name := string(c.Kind) + " " + c.Subject
	subject := "failure domain " + c.Subject
	if c.Service != "" {
		name += " of " + c.Service
		subject = "backend server " + c.Subject
	}
	return Entry{
		Object: "planned change", Subject: subject,
		Name: name + " at " + c.At.UTC().Format(time.RFC3339Nano),
	}
}

func changeDetail(a, b config.PlannedChange) string {
	if a.ID == b.ID {
		return ""
	}
	return fmt.Sprintf("generation %d", b.Generation)
}

// comparedField is one field of a compared value; old is the zero value for an
// added entry.
type comparedField struct {
	name     string
	old, new any
}

// unsetText is printed for a field that has no value any more.
const unsetText = "none"

// formatChangedFields returns the fields that differ: "name new" for a field
// that was not set, otherwise "name old -> new".
func formatChangedFields(all ...comparedField) string {
	var parts []string
	for _, f := range all {
		switch {
		case f.old == f.new:
		case formatValue(f.old) == unsetText:
			parts = append(parts, f.name+" "+formatValue(f.new))
		default:
			parts = append(parts, f.name+" "+formatValue(f.old)+" -> "+formatValue(f.new))
		}
	}
	return strings.Join(parts, ", ")
}

func formatValue(value any) string {
	text := fmt.Sprint(value)
	if slices.Contains([]string{"", "0", "0s", "invalid AddrPort"}, text) {
		return unsetText
	}
	return text
}
