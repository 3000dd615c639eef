// Package event owns the numbered log events of all programs and limits how
// often a repeated event is written.
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

// Fields are the details of one event.
type Fields = log.Fields

// repeatInterval is how long a limited event is held back after it was
// written; the next one tells how many were suppressed.
const repeatInterval = 10 * time.Second

// Logger writes events. The zero value is not usable; see New and Discard.
type Logger struct {
	out *log.Logger
	now func() time.Time

	mu      sync.Mutex
	written map[repeatKey]*repeat
}

type repeatKey struct {
	id   ID
	kind errkind.Kind
}

type repeat struct {
	at         time.Time
	suppressed int
}

// New returns a logger that writes to w as "text" or "json". Other formats
// give a SettingInvalid error.
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

// Discard returns a logger that writes nothing, for tests.
func Discard() *Logger {
	return newLogger(log.HandlerFunc(func(*log.Entry) error { return nil }), time.Now)
}

func newLogger(h log.Handler, now func() time.Time) *Logger {
	return &Logger{
		out:     &log.Logger{Handler: h, Level: log.InfoLevel},
		now:     now,
		written: map[repeatKey]*repeat{},
	}
}

// Emit writes event id. Events that the catalogue marks as limited are written
// at most once per 10 s, with the number suppressed since.
func (l *Logger) Emit(id ID, fields Fields) {
	l.emit(id, 0, fields)
}

// Failure writes event id for err, with the number and name of its kind. It
// is limited per event and kind.
func (l *Logger) Failure(id ID, err error, fields Fields) {
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
	suppressed, write := 0, true
	if def.Limited {
		suppressed, write = l.admit(repeatKey{id, kind})
	}
	if !write {
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

// admit reports whether an event may be written now, and how many were
// suppressed since the last one.
func (l *Logger) admit(key repeatKey) (suppressed int, write bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	last, ok := l.written[key]
	if ok && now.Sub(last.at) < repeatInterval {
		last.suppressed++
		return 0, false
	}
	if ok {
		suppressed = last.suppressed
	}
	l.written[key] = &repeat{at: now}
	return suppressed, true
}
