// Package trace tells the story of one request from the logs of several
// processes, in the order of cause.
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
	// context is how long before and after a request the other events of the
	// processes that saw it belong to its story.
	context = 2 * time.Second
	// maxStory bounds the time that a request is followed.
	maxStory = 10 * time.Second
	// maxLine is the length of the longest log line in bytes.
	maxLine = 1 << 20
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

// Read reads a log in JSON. Lines may start with other words, of which the last
// names the process; else the process is named by name. Lines that are no
// events are left out. Errors have kind ReportFailed.
func Read(name string, r io.Reader) ([]Line, error) {
	var lines []Line
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLine)
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

func (l Line) text(field string) string {
	s, _ := l.Fields[field].(string)
	return s
}

// flow names the flow that a line is about, "" if it is about none.
func (l Line) flow() string {
	if f := l.text("flow"); f != "" {
		return f + " " + l.text("to")
	}
	return ""
}

// Story is what the logs tell of one request.
type Story struct {
	Request string
	Flow    string
	Lines   []Line
	// Shifts are the corrections of processes' clocks, by which an agent takes
	// a flow after its balancer offered it.
	Shifts map[string]time.Duration
}

// Tell finds the story of a request by its id, or of a flow that never carried
// one by its caller's address and port. Errors have kind NotFound.
func Tell(id string, all []Line) (Story, error) {
	s := Story{Request: id, Shifts: map[string]time.Duration{}}
	for _, l := range all {
		request := l.Event == event.RequestSeen && l.text("request") == id
		if request || (s.Flow == "" && l.text("flow") == id) {
			s.Flow = l.flow()
		}
	}
	if s.Flow == "" {
		return s, errkind.Errorf(errkind.NotFound, "no line of these logs names the request or flow %s", id)
	}
	slices.SortStableFunc(all, func(a, b Line) int { return a.Time.Compare(b.Time) })
	s.correct(all)
	s.collect(all)
	return s, nil
}

// correct finds how far the clocks of agents are behind those of balancers.
func (s *Story) correct(all []Line) {
	offered := map[string]time.Time{}
	for _, l := range all {
		if l.Event == event.FlowOffered {
			if at, ok := offered[l.flow()]; !ok || l.Time.Before(at) {
				offered[l.flow()] = l.Time
			}
		}
	}
	for _, l := range all {
		at, ok := offered[l.flow()]
		if l.Event == event.FlowPlaced && ok && at.Sub(l.Time) > s.Shifts[l.Process] {
			s.Shifts[l.Process] = at.Sub(l.Time)
		}
	}
}

// span returns when the story of the request begins and ends: from the flow's
// opening, if that was shortly before, to its answer, the next request, or the
// end of the flow's lines.
func (s *Story) span(all []Line) (first, last time.Time) {
	var seen time.Time
	byFlow := strings.HasPrefix(s.Flow, s.Request+" ")
	for _, l := range all {
		at := l.Time.Add(s.Shifts[l.Process])
		switch {
		case byFlow && l.flow() == s.Flow:
			if seen.IsZero() {
				seen = at
			}
			last = at
		case l.flow() != s.Flow:
		case l.Event == event.RequestSeen && l.text("request") == s.Request:
			seen, last = at, at
		case !seen.IsZero() && l.Event == event.RequestSeen:
			return seen.Add(-context), last
		case !seen.IsZero() && at.Before(seen.Add(maxStory)):
			last = at
			if l.Event == event.FlowAnswered {
				return seen.Add(-context), last
			}
		}
	}
	// Why a request got no answer shows later.
	return seen.Add(-context), last.Add(maxStory)
}

// collect takes the lines of the flow, and what else happened to the processes
// that saw the request. The lines that placed the flow belong to it however
// long ago they were.
func (s *Story) collect(all []Line) {
	first, last := s.span(all)
	within := func(l Line) bool {
		at := l.Time.Add(s.Shifts[l.Process])
		return !at.Before(first) && !at.After(last)
	}
	processes := map[string]bool{}
	for _, l := range all {
		if l.flow() == s.Flow && (within(l) || l.Event == event.FlowPlaced) {
			processes[l.Process] = true
		}
	}
	for _, l := range all {
		placing := l.Event == event.FlowOffered || l.Event == event.FlowPlaced
		ofFlow := l.flow() == s.Flow && (placing || within(l))
		if ofFlow || (l.flow() == "" && processes[l.Process] && within(l)) {
			l.Time = l.Time.Add(s.Shifts[l.Process])
			s.Lines = append(s.Lines, l)
		}
	}
	// Numbers of events on a flow's way rise, which orders equal times.
	slices.SortStableFunc(s.Lines, func(a, b Line) int { return cmp.Or(a.Time.Compare(b.Time), cmp.Compare(a.Event, b.Event)) })
}

// Write prints the story, a line an event, with milliseconds since its start.
func (s Story) Write(w io.Writer) error {
	var b strings.Builder
	fmt.Fprintf(&b, "request %s on flow %s\n", s.Request, s.Flow)
	for _, process := range sortedKeys(s.Shifts) {
		if s.Shifts[process] > 0 {
			fmt.Fprintf(&b, "clock of %s put forward by %v\n", process, s.Shifts[process])
		}
	}
	for _, l := range s.Lines {
		fmt.Fprintf(&b, "%9.1f ms  %-26s %d %s%s\n", float64(l.Time.Sub(s.Lines[0].Time).Microseconds())/1000, l.Process, l.Event, l.Message, l.details())
	}
	_, err := io.WriteString(w, b.String())
	if err != nil {
		return errkind.Wrap(err, errkind.ReportFailed, "write the story")
	}
	return nil
}

// details lists the fields that the head of the story doesn't name.
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
