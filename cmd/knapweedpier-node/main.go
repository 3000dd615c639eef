// Command knapweedpier-node runs one process of the packet path on the
// platform: a balancer, or the agent beside a backend server.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/errkind"
	"github.com/knapweedpier/knapweedpier/internal/event"
	"github.com/knapweedpier/knapweedpier/internal/follow"
	"github.com/knapweedpier/knapweedpier/pkg/flowagent"
	"github.com/knapweedpier/knapweedpier/pkg/flowbalancer"
	"github.com/knapweedpier/knapweedpier/platform"
)

type commands struct {
	LogFormat string   `help:"Format of log lines on standard output: text or json." env:"KNAPWEEDPIER_LOG_FORMAT" default:"json"`
	Balancer  struct{} `cmd:"" help:"Forward callers' packets to agents."`
	Agent     struct{} `cmd:"" help:"Guard the backend server on this machine."`
}

// service is what the process runs.
type service interface {
	Start(context.Context) error
	Stop(context.Context) error
}

func main() {
	var c commands
	role := kong.Parse(&c, kong.Name("knapweedpier-node")).Command()
	if err := run(role, c.LogFormat); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedpier-node:", err)
		os.Exit(errkind.ExitCode(err))
	}
}

func run(role, format string) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	lines := event.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	logger, err := event.New(lines, format)
	if err != nil {
		return err
	}
	settings, err := platform.ReadSettings(os.Getenv(platform.SettingsVariable))
	if err != nil {
		logger.Failure(event.SettingRefused, err, nil)
		return err
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(settings, logger),
		fx.StopTimeout(settings.Grace),
		fx.Provide(
			func() *platform.Store { return platform.NewStore(settings.Store) },
			func(s *platform.Store) follow.Store { return s },
			builder(role),
		),
		fx.Invoke(func(lc fx.Lifecycle, s service, store *platform.Store) {
			lc.Append(fx.StopHook(store.Close))
			lc.Append(fx.StartStopHook(s.Start, s.Stop))
		}),
	)
	if err := app.Start(ctx); err != nil {
		return errkind.Wrap(err, errkind.Of(err), "start")
	}
	reload := make(chan os.Signal, 1)
	signal.Notify(reload, syscall.SIGHUP)
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), settings.Grace)
	defer cancelStop()
	return app.Stop(stop)
}

func builder(role string) any {
	if role == "agent" {
		return func(s platform.Settings, store follow.Store, l *event.Logger) service {
			return flowagent.New(s, store, l)
		}
	}
	return func(s platform.Settings, store follow.Store, l *event.Logger) service {
		return flowbalancer.New(s, store, l)
	}
}
