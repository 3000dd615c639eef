package cli

import (
	"context"

	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
)

// withEnv builds an Env, calls run with it, and closes its parts.
func withEnv(ctx context.Context, s Settings, o Options, run func(*Env) error) error {
	var env *Env
	app := fx.New(
		fx.NopLogger,
		fx.Supply(s, o),
		fx.Provide(newLogger, newStore, newEditor, newEnv),
		fx.Populate(&env),
	)
	if err := app.Start(ctx); err != nil {
		return errkind.Wrap(err, errkind.Internal, "start")
	}
	runErr := run(env)
	if err := app.Stop(context.WithoutCancel(ctx)); err != nil && runErr == nil {
		runErr = errkind.Wrap(err, errkind.Internal, "stop")
	}
	return runErr
}

func newLogger(s Settings, o Options) (*event.Logger, error) {
	if s.Log == "none" {
		return event.Discard(), nil
	}
	return event.New(o.Err, s.Log)
}

func newStore(lc fx.Lifecycle, s Settings, o Options) objectstore.Store {
	if o.Store != nil {
		return o.Store
	}
	client := objectstore.NewClient(s.Platform, s.Timeout)
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newEditor(store objectstore.Store, log *event.Logger, o Options) *change.Editor {
	return change.New(store, change.Options{Now: o.Now, NewID: o.NewID, Log: log})
}

func newEnv(s Settings, o Options, log *event.Logger, editor *change.Editor, store objectstore.Store) *Env {
	laggingProcesses := o.LaggingProcesses
	if laggingProcesses == nil && len(s.Peers) > 0 {
		laggingProcesses = balancerClient{s}.LaggingProcesses
	}
	return &Env{
		Out: o.Out, Settings: s, LaggingProcesses: laggingProcesses, Log: log,
		editor: editor, store: store, hasPlatform: s.Platform != "" || o.Store != nil,
	}
}
