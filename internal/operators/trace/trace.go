// Package trace builds the timeline of one request from the logs of several
// processes, with causes before their effects. It reads JSON logs only and must
// not depend on running processes.
package trace

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const (
	// contextMargin is how long before the request other events of the processes
	// that handled it are included.
	contextMargin = 2 * time.Second
	// maxSpan bounds the time after the start of a request in which its events
	// are included.
	maxSpan = 10 * time.Second
	// maxLineBytes is the length of the longest log line.
	maxLineBytes = 1 << 20
)

// Line is one line of a log.
type Line struct {
	Process string
	Time    time.Time
	Event   event.ID
	Message string
	Fields  map[string]any
}

type jsonLine struct {
	Fields  map[string]any `json:"fields"`
	Time    time.Time      `json:"timestamp"`
	Message string         `json:"message"`
}

// Read reads a JSON log. Text before the JSON object is allowed; its last word is
// the name of the process. Without it, the process is called name. Lines that
// hold no event are skipped. Errors have kind ReportFailed.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		before, text, found := strings.Cut(scanner.Text(), "{")
		var j jsonLine
		if !found || json.Unmarshal([]byte("{"+text), &j) != nil {
			continue
		}
		number, ok := j.Fields["event"].(float64)
		if !ok {
			continue
		}
		line := Line{Process: name, Time: j.Time, Event: event.ID(number), Message: j.Message, Fields: j.Fields}
		if words := strings.Fields(before); len(words) > 0 {
			line.Process = words[len(words)-1]
		}
		lines = append(lines, line)
	}
	if err := scanner.Err(); err != nil {
		return nil, errkind.Wrap(err, errkind.ReportFailed, "read "+name)
	}
	return lines, nil
}

func (l Line) stringField(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// flowKey returns the caller's address and the service's address of the flow
// that a line is about, "" if it is about none.
func (l Line) flowKey() string {
	if f := l.stringField("flow"); f != "" {
		return f + " " + l.stringField("to")
	}
	return ""
}

// Timeline holds the log lines on one request, ordered by time.
type Timeline struct {
	Request string
	Flow    string
	Lines   []Line
	// ClockCorrections are added to the times of a process's lines, so that an
	// agent accepts no flow before its balancer offered it.
	ClockCorrections map[string]time.Duration
}

// BuildTimeline builds the timeline of the request with the given ID. For a flow
// without a request, id is the caller's address and port. Errors have kind
// NotFound.
func BuildTimeline(id string, all []Line) (Timeline, error) {
	t := Timeline{Request: id, ClockCorrections: map[string]time.Duration{}}
	for _, l := range all {
		request := l.Event == event.RequestReceived && l.stringField("request") == id
		if request || (t.Flow == "" && l.stringField("flow") == id) {
			t.Flow = l.flowKey()
		}
	}
	if t.Flow == "" {
		return t, errkind.Errorf(errkind.NotFound, "request or flow %s not found in these logs", id)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	t.correctClocks(all)
	t.collectLines(all)
	return t, nil
}

// correctClocks sets ClockCorrections to the least amounts by which the agents'
// clocks must be behind those of the balancers.
func (t *Timeline) correctClocks(all []Line) {
	offered := map[string]time.Time{}
	for _, l := range all {
		if l.Event == event.FlowOffered {
			if at, ok := offered[l.flowKey()]; !ok || l.Time.Before(at) {
				offered[l.flowKey()] = l.Time
			}
		}
	}
	for _, l := range all {
		at, ok := offered[l.flowKey()]
		if l.Event == event.FlowPlaced && ok && at.Sub(l.Time) > t.ClockCorrections[l.Process] {
			t.ClockCorrections[l.Process] = at.Sub(l.Time)
		}
	}
}

// timeSpan returns the time span of the request's events: from contextMargin
// before the request, or before the first line of a flow without a request, to
// the answer, the next request on the flow, or maxSpan after the flow's last
// event.
func (t *Timeline) timeSpan(all []Line) (first, last time.Time) {
	var requestTime time.Time
	byFlow := strings.HasPrefix(t.Flow, t.Request+" ")
	for _, l := range all {
		at := l.Time.Add(t.ClockCorrections[l.Process])
		switch {
		case byFlow && l.flowKey() == t.Flow:
			if requestTime.IsZero() {
				requestTime = at
			}
			last = at
		case l.flowKey() != t.Flow:
		case l.Event == event.RequestReceived && l.stringField("request") == t.Request:
			requestTime, last = at, at
		case !requestTime.IsZero() && l.Event == event.RequestReceived:
			return requestTime.Add(-contextMargin), last
		case !requestTime.IsZero() && at.Before(requestTime.Add(maxSpan)):
			last = at
			if l.Event == event.FlowAnswered {
				return requestTime.Add(-contextMargin), last
			}
		}
	}
	// The reason why a request got no answer may be logged later.
	return requestTime.Add(-contextMargin), last.Add(maxSpan)
}

// collectLines selects the lines of the flow within the time span and, from the
// processes that handled the flow, the lines that are about no flow. The lines
// about the placement of the flow are included even outside the time span.
func (t *Timeline) collectLines(all []Line) {
	first, last := t.timeSpan(all)
	within := func(l Line) bool {
		at := l.Time.Add(t.ClockCorrections[l.Process])
		return !at.Before(first) && !at.After(last)
	}
	processes := map[string]bool{}
	for _, l := range all {
		if l.flowKey() == t.Flow && (within(l) || l.Event == event.FlowPlaced) {
			processes[l.Process] = true
		}
	}
	for _, l := range all {
		placing := l.Event == event.FlowOffered || l.Event == event.FlowPlaced
		ofFlow := l.flowKey() == t.Flow && (placing || within(l))
		if ofFlow || (l.flowKey() == "" && processes[l.Process] && within(l)) {
			l.Time = l.Time.Add(t.ClockCorrections[l.Process])
			t.Lines = append(t.Lines, l)
		}
	}
	// The numbers of a flow's events increase along its path, so they order events
	// with equal times.
	slices.SortStableFunc(t.Lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) })
}

// Write prints the timeline, one event per line, with the milliseconds since the
// first event. Errors have kind ReportFailed.
func (t Timeline) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on flow %s\n", t.Request, t.Flow)
	for _, process := range sortedKeys(t.ClockCorrections) {
		if t.ClockCorrections[process] > 0 {
			fmt.Fprintf(&b, "clock of %s put forward by %v\n", process, t.ClockCorrections[process])
		}
	}
	for _, l := range t.Lines {
		fmt.Fprintf(&b, "%9.1f ms  %-26s %d %s%s\n", float64(l.Time.Sub(t.Lines[0].Time).Microseconds())/1000, l.Process, l.Event, l.Message, l.details())
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write the timeline")
	}
	return nil
}

// details formats the fields of a line, without those that the header of the
// timeline contains.
func (l Line) details() string {
	var b strings.Builder
	for _, name := range sortedKeys(l.Fields) {
		if name == "event" || name == "flow" || name == "to" {
			continue
		}
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}

func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K {
	keys := make([]K, 0, len(m))
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
