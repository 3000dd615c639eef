package cli

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
)

// InForce reports which processes do not yet have a generation in force.
type InForce func(ctx context.Context, generation uint64) (lagging []string, err error)

// Options connect the commands to their surroundings. Zero fields give the
// defaults.
type Options struct {
	Out, Err io.Writer         // results, and errors with logged events
	Version  string            // printed by --version
	Now      func() time.Time  // clock of the operator's host
	NewID    func() string     // random change IDs
	Exit     func(code int)    // after --help and --version
	Store    objectstore.Store // instead of a client of the platform in the settings
	InForce  InForce           // nil: asks the balancers in the settings; without any, --wait is refused
}

// Env is what commands use.
type Env struct {
	Out      io.Writer
	Settings Settings
	InForce  InForce
	Log      *event.Logger

	editor *change.Editor
	store  objectstore.Store
	usable bool // a platform is set
}

// Editor returns the editor of the accepted configuration, or a SettingInvalid
// error when no platform is set.
func (e *Env) Editor() (*change.Editor, error) {
	return e.editor, e.needPlatform()
}

// Store returns the platform's objects, or a SettingInvalid error when no
// platform is set.
func (e *Env) Store() (objectstore.Store, error) {
	return e.store, e.needPlatform()
}

func (e *Env) needPlatform() error {
	if e.usable {
		return nil
	}
	return errkind.New(errkind.SettingInvalid, "--platform or KNAPWEEDPIER_PLATFORM: must be set; expected http://HOST:PORT")
}

// Printf writes to the command's output. A failure to write is not reported,
// since there is nowhere else to report it.
func (e *Env) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}
