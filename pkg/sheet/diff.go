package sheet

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// Action says what happened to an entry of a difference.
type Action string

// The actions of entries, as they are printed.
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
	Subject string // what the entry touches, such as "failure domain shawi"
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

// Difference is what changes from one configuration to another.
type Difference []Entry

// String returns one line for each entry.
func (d Difference) String() string {
	lines := make([]string, len(d))
	for i, e := range d {
		lines[i] = e.String()
	}
	return strings.Join(lines, "\n")
}

// Touching returns the entries whose subject is also one of other's.
func (d Difference) Touching(other Difference) Difference {
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

// Diff returns what changes from old to next. Either may be nil. Generation,
// change ID and accept time are not compared.
func Diff(old, next *config.Config) Difference {
	a, b := Copy(old), Copy(next)
	var d Difference
	d = append(d, compare(a.Domains, b.Domains, domainEntry, domainDetail)...)
	d = append(d, compare(a.Services, b.Services, serviceEntry, serviceDetail)...)
	return append(d, compare(a.Changes, b.Changes, changeEntry, changeDetail)...)
}

// compare lists what was added, changed and removed, by the subject and name
// that entry gives to a value. detail returns "" for equal values.
func compare[T any](old, next []T, entry func(T) Entry, detail func(a, b T) string) Difference {
	var d Difference
	before := map[Entry]T{}
	for _, v := range old {
		before[entry(v)] = v
	}
	var none T
	for _, v := range next {
		e := entry(v)
		was, had := before[e]
		delete(before, e)
		e.Action, e.Detail = Changed, detail(was, v)
		if !had {
			e.Action = Added
			e.Detail = detail(none, v)
		}
		if e.Detail != "" {
			d = append(d, e)
		}
	}
	for _, v := range old {
		e := entry(v)
		if _, gone := before[e]; gone {
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
	return fields(field{"region", a.Region, b.Region})
}

func serviceEntry(s config.Service) Entry {
	return Entry{Object: "service", Name: s.Name, Subject: "service " + s.Name}
}

func serviceDetail(a, b config.Service) string {
	return fields(
		field{"address", a.Address, b.Address},
		field{"slots", a.Limits.Slots, b.Limits.Slots},
		field{"connections", a.Limits.Connections, b.Limits.Connections},
		field{"cold_slots", a.Limits.ColdSlots, b.Limits.ColdSlots},
		field{"warm_up", a.Limits.WarmUp, b.Limits.WarmUp},
		field{"feed_paths", strings.Join(a.FeedPaths, " "), strings.Join(b.FeedPaths, " ")},
		field{"request_timeout", a.RequestTimeout, b.RequestTimeout},
		field{"answered_share", a.Objectives.AnsweredShare, b.Objectives.AnsweredShare},
		field{"unbroken_share", a.Objectives.UnbrokenShare, b.Objectives.UnbrokenShare},
		field{"latency_p99", a.Objectives.LatencyP99, b.Objectives.LatencyP99},
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

// field is one compared value; was is the zero value for an added entry.
type field struct {
	name    string
	was, is any
}

// unset is printed for a value that was removed.
const unset = "none"

// fields returns the values that differ: "name is" for a value that was not
// set, otherwise "name was -> is".
func fields(all ...field) string {
	var parts []string
	for _, f := range all {
		switch {
		case f.was == f.is:
		case shown(f.was) == unset:
			parts = append(parts, f.name+" "+shown(f.is))
		default:
			parts = append(parts, f.name+" "+shown(f.was)+" -> "+shown(f.is))
		}
	}
	return strings.Join(parts, ", ")
}

func shown(value any) string {
	text := fmt.Sprint(value)
	if slices.Contains([]string{"", "0", "0s", "invalid AddrPort"}, text) {
		return unset
	}
	return text
}
