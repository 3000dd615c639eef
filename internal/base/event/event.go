// Package event defines the numbered log events of all programs, writes them and
// limits how often a repeated event is written. Of this module it imports only
// package errkind.
package event

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/apex/log"
	"github.com/apex/log/handlers/json"
	"github.com/apex/log/handlers/text"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// ID is the number of an event. Numbers are stable and never reused.
type ID uint16

// Fields holds the log fields of one event by name.
type Fields = log.Fields

// repeatInterval is the minimum time between two log lines of a rate-limited
// event and kind; the next line gives the number suppressed in between.
const repeatInterval = 10 * time.Second

// Logger writes events. It is safe for concurrent use. The zero value is not
// usable; see New and Discard.
type Logger struct {
	out *log.Logger
	now func() time.Time

	mu      sync.Mutex
	repeats map[repeatKey]*repeatState
}

type repeatKey struct {
	id   ID
	kind errkind.Kind
}

type repeatState struct {
	writtenAt  time.Time
	suppressed int
}

// New returns a logger that writes to w in the format "text" or "json". Any
// other format is a SettingInvalid error.
func New(w io.Writer, format string) (*Logger, error) {
	var handler log.Handler
	switch format {
	case "text":
		handler = text.New(w)
	case "json":
		handler = json.New(w)
	default:
		return nil, errkind.Errorf(errkind.SettingInvalid, "log format %q: expected text or json", format)
	}
	return newLogger(handler, time.Now), nil
}

// Discard returns a logger that discards all events, for tests.
func Discard() *Logger {
	return newLogger(log.HandlerFunc(func(*log.Entry) error { return nil }), time.Now)
}

func newLogger(h log.Handler, now func() time.Time) *Logger {
	return &Logger{
		out:     &log.Logger{Handler: h, Level: log.InfoLevel},
		now:     now,
		repeats: map[repeatKey]*repeatState{},
	}
}

// Emit writes event id. An event that the catalogue marks as rate-limited is
// written at most once per 10 s, with the number suppressed since the last
// line. Emit panics if id is not in the catalogue.
func (l *Logger) Emit(id ID, fields Fields) {
	l.emit(id, 0, fields)
}

// EmitError writes event id for err, with the number and the name of its error
// kind. A rate-limited event is limited for each kind separately.
func (l *Logger) EmitError(id ID, err error, fields Fields) {
	kind := errkind.Of(err)
	all := Fields{"kind": uint16(kind), "kind_name": kind.String(), "error": err.Error()}
	for k, v := range fields {
		all[k] = v
	}
	l.emit(id, kind, all)
}

func (l *Logger) emit(id ID, kind errkind.Kind, fields Fields) {
	def, ok := Lookup(id)
	if !ok {
		panic(fmt.Sprintf("event: %d is not in the catalogue", id))
	}
	suppressed, allowed := 0, true
	if def.RateLimited {
		suppressed, allowed = l.allow(repeatKey{id, kind})
	}
	if !allowed {
		return
	}
	entry := l.out.WithField("event", uint16(id)).WithFields(fields)
	if suppressed > 0 {
		entry = entry.WithField("suppressed", suppressed)
	}
	switch def.Level {
	case log.WarnLevel:
		entry.Warn(def.Message)
	case log.ErrorLevel:
		entry.Error(def.Message)
	default:
		entry.Info(def.Message)
	}
}

// allow reports whether a rate-limited event may be written now, and how many
// were suppressed since the last one was written.
func (l *Logger) allow(key repeatKey) (suppressed int, allowed bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last, ok := l.repeats[key]
	if ok && now.Sub(last.writtenAt) < repeatInterval {
		last.suppressed++
		return 0, false
	}
	if ok {
		suppressed = last.suppressed
	}
	l.repeats[key] = &repeatState{writtenAt: now}
	return suppressed, true
}
