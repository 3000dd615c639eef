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

// LaggingProcesses returns the IDs of the processes in which a generation is
// not yet in force.
type LaggingProcesses func(ctx context.Context, generation uint64) (lagging []string, err error)

// Options configure Run. Zero fields select the defaults.
type Options struct {
	Out, Err         io.Writer         // results; errors and logged events
	Version          string            // printed by --version
	Now              func() time.Time  // clock of the operator's host
	NewID            func() string     // generates random change IDs
	Exit             func(code int)    // called after --help and --version
	Store            objectstore.Store // replaces the client of the platform in the settings
	LaggingProcesses LaggingProcesses  // nil: queries the balancers in the settings; if there are none, --wait is refused
}

// Env holds what commands need to run.
type Env struct {
	Out              io.Writer
	Settings         Settings
	LaggingProcesses LaggingProcesses
	Log              *event.Logger

	editor      *change.Editor
	store       objectstore.Store
	hasPlatform bool // a platform or a store is configured
}

// Editor returns the editor of the accepted configuration, or a SettingInvalid
// error if no platform is configured.
func (e *Env) Editor() (*change.Editor, error) {
	return e.editor, e.requirePlatform()
}

// Store returns the platform's object store, or a SettingInvalid error if no
// platform is configured.
func (e *Env) Store() (objectstore.Store, error) {
	return e.store, e.requirePlatform()
}

func (e *Env) requirePlatform() error {
	if e.hasPlatform {
		return nil
	}
	return errkind.New(errkind.SettingInvalid, "--platform or KNAPWEEDPIER_PLATFORM: must be set; expected http://HOST:PORT")
}

// Printf writes to the command's output. Write errors are ignored, since there
// is nowhere else to report them.
func (e *Env) Printf(format string, args ...any) {
	_, _ = fmt.Fprintf(e.Out, format, args...)
}
