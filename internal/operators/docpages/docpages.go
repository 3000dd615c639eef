// Package docpages generates the documentation pages that list error kinds and
// events from the tables in the code. Only tests use it.
package docpages

import (
	"fmt"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
)

const errorsIntro = `# Errors

Every error has one kind of this closed list. Logs, metrics and the status screen name kinds by number or name; neither
changes between releases nor is reused. A caller gets the HTTP status and the header ` + "`Knapweedpier-Outcome`" + `:
` + "`not-run`" + ` states that the request was not executed and may be sent again, ` + "`unknown`" + ` that it may have been
executed. A program that ends with a kind uses its exit code. This page is generated:
` + "`go test ./internal/operators/docpages -run TestPages -update`" + `.

| exit code | meaning |
|---|---|
`

const eventsIntro = `# Events

Every log line is one event of this catalogue. Numbers do not change between releases and are not reused. A limited
event is written at most once per 10 s for each error kind; the next line tells how many were suppressed. This page is
generated: ` + "`go test ./internal/operators/docpages -run TestPages -update`" + `.

| event | level | limited | message | what to do |
|---|---|---|---|---|
`

// exitCodes lists the exit codes other than 0 in ascending order.
var exitCodes = []struct {
	code    int
	meaning string
}{
	{errkind.ExitFailure, "a check failed or a promise was broken"},
	{errkind.ExitUsage, "bad settings or a faulty sheet"},
	{errkind.ExitConflict, "another operator was faster"},
	{errkind.ExitPlatform, "the platform, or every balancer that was asked, cannot be reached"},
	{errkind.ExitLagging, "a generation is not in force everywhere"},
}

// section is a section of a page, with the numbers up to and including last.
type section struct {
	last  uint16
	title string
}

var kindSections = []section{
	{199, "Requests: answers of an agent to a caller"},
	{299, "Packets: input on the data path that is dropped and counted"},
	{399, "Control: platform, peers, keys and configuration"},
	{499, "Operators: input of operators and results of commands"},
	{999, "Internal"},
}

// Errors renders docs/ERRORS.md.
func Errors() string {
	var b strings.Builder
	b.WriteString(errorsIntro)
	for _, e := range exitCodes {
		fmt.Fprintf(&b, "| %d | %s |\n", e.code, e.meaning)
	}
	rows := errkind.Table()
	for _, s := range kindSections {
		fmt.Fprintf(&b, "\n## %s\n\n", s.title)
		b.WriteString("| kind | name | HTTP status | outcome | retry after | exit code | meaning |\n|---|---|---|---|---|---|---|\n")
		for len(rows) > 0 && uint16(rows[0].Kind) <= s.last {
			writeKind(&b, rows[0])
			rows = rows[1:]
		}
	}
	return b.String()
}

func writeKind(b *strings.Builder, def errkind.Definition) {
	status := "-"
	if def.HTTPStatus != 0 {
		status = fmt.Sprint(def.HTTPStatus)
	}
	fmt.Fprintf(b, "| %d | %s | %s | %s | %s | %d | %s |\n",
		def.Kind, def.Name, status, orDash(string(def.Outcome)), retryAfter(def.RetryAfter), def.ExitCode, def.Meaning)
}

func retryAfter(d time.Duration) string {
	if d == 0 {
		return "-"
	}
	return d.String()
}

func orDash(s string) string {
	if s == "" {
		return "-"
	}
	return s
}

// Events renders docs/EVENTS.md.
func Events() string {
	var b strings.Builder
	b.WriteString(eventsIntro)
	for _, def := range event.Catalogue() {
		limited := "no"
		if def.RateLimited {
			limited = "yes"
		}
		fmt.Fprintf(&b, "| %d | %s | %s | %s | %s |\n", def.ID, def.Level, limited, def.Message, def.Action)
	}
	return b.String()
}
