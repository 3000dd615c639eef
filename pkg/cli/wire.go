package cli

import (
	"context"

	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
)

// inApp builds the parts of an Env, runs do, and closes the parts again.
func inApp(ctx context.Context, s Settings, o Options, do func(*Env) error) error {
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
	failed := do(env)
	if err := app.Stop(context.WithoutCancel(ctx)); err != nil && failed == nil {
		failed = errkind.Wrap(err, errkind.Internal, "stop")
	}
	return failed
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
	inForce := o.InForce
	if inForce == nil && len(s.Peers) > 0 {
		inForce = balancers{s}.InForce
	}
	return &Env{
		Out: o.Out, Settings: s, InForce: inForce, Log: log,
		editor: editor, store: store, usable: s.Platform != "" || o.Store != nil,
	}
}
