package event

import (
	"bytes"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/apex/log"
	"github.com/matryer/is"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Guards against a flood of log lines for one repeated fault, and against
// losing the count of suppressed ones.
func TestRepeatedEventsAreLimited(t *testing.T) {
	is := is.New(t)
	now := time.Unix(0, 0)
	var entries []*log.Entry
	l := newLogger(log.HandlerFunc(func(e *log.Entry) error {
		entries = append(entries, e)
		return nil
	}), func() time.Time { return now })

	for range 5 {
		l.EmitError(PacketDropped, errkind.New(errkind.TunnelTag, "bad tag"), nil)
	}
	l.EmitError(PacketDropped, errkind.New(errkind.PacketMalformed, "short"), nil)
	is.Equal(len(entries), 2) // one for each error kind

	now = now.Add(repeatInterval)
	l.EmitError(PacketDropped, errkind.New(errkind.TunnelTag, "bad tag"), nil)
	is.Equal(len(entries), 3)
	is.Equal(entries[2].Fields["suppressed"], 4)
}

// Guards against an error that is logged without its kind, and against an
// unknown log format that is accepted.
func TestFailureLogsErrorKind(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	l, err := New(&out, "json")
	is.NoErr(err)
	l.EmitError(RelayFailed, errors.Join(errkind.New(errkind.PeerDown, "refused")), nil)
	is.True(strings.Contains(out.String(), `"kind_name":"peer-down"`))
	is.True(strings.Contains(out.String(), `"event":1306`))
	_, err = New(&out, "xml")
	is.True(errkind.Is(err, errkind.SettingInvalid))
}

// Guards against two definitions for one event number, and against a definition
// without a message or an action.
func TestEventIDsAreUnique(t *testing.T) {
	is := is.New(t)
	seen := map[ID]bool{}
	for _, def := range Catalogue() {
		is.True(!seen[def.ID])
		is.True(def.Message != "" && def.Action != "")
		seen[def.ID] = true
	}
}
