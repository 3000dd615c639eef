// Command knapweedpier-node runs one process of the packet path on the
// platform: a balancer, or the agent beside a backend server.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/settings"
	"github.com/knapweedpier/knapweedpier/internal/control/follow"
	"github.com/knapweedpier/knapweedpier/pkg/flowagent"
	"github.com/knapweedpier/knapweedpier/pkg/flowbalancer"
	"github.com/knapweedpier/knapweedpier/platform"
)

// service is what the process runs.
type service interface {
	Start(context.Context) error
	Stop(context.Context) error
	// Reload takes settings over that changed while the process runs.
	Reload(platform.Settings)
}

// settingsCheck is how often the settings file is compared with what is in
// use: it may change without a signal.
const settingsCheck = 5 * time.Second

func main() {
	var c settings.Node
	role := kong.Parse(&c, kong.Name("knapweedpier-node")).Command()
	if err := run(role, c); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedpier-node:", err)
		os.Exit(errkind.ExitCode(err))
	}
}

func run(role string, c settings.Node) error {
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	lines := event.NewAsyncWriter(os.Stdout)
	defer lines.Close()
	logger, err := event.New(lines, c.LogFormat)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go lines.TellDropped(logger, stopped)
	path := os.Getenv(platform.SettingsVariable)
	node, err := platform.ReadSettings(path)
	if err != nil {
		logger.Failure(event.SettingRefused, err, nil)
		return err
	}
	node.Metrics = netip.AddrPortFrom(node.Address, c.MetricsPort)
	app := fx.New(
		fx.NopLogger,
		fx.Supply(node, logger),
		fx.StopTimeout(node.Grace),
		fx.Provide(
			func() *platform.Store { return platform.NewStore(node.Store) },
			func(s *platform.Store) follow.Store { return s },
			builder(role),
		),
		fx.Invoke(func(lc fx.Lifecycle, s service, store *platform.Store) {
			lc.Append(fx.StopHook(store.Close))
			lc.Append(fx.StartStopHook(s.Start, s.Stop))
			go reload(path, node, s, logger, stopped)
		}),
	)
	if err := app.Start(ctx); err != nil {
		return errkind.Wrap(err, errkind.Of(err), "start")
	}
	<-ctx.Done()
	stop, cancelStop := context.WithTimeout(context.Background(), node.Grace)
	defer cancelStop()
	return app.Stop(stop)
}

// reload hands changed settings to the service, after SIGHUP and from time to
// time, until stopped is closed. A file that can't be read changes nothing.
func reload(path string, inUse platform.Settings, s service, logger *event.Logger, stopped <-chan struct{}) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsCheck)
	defer ticker.Stop()
	metrics := inUse.Metrics
	for {
		select {
		case <-signals:
		case <-ticker.C:
		case <-stopped:
			return
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			logger.Failure(event.ReloadFailed, err, nil)
			continue
		}
		next.Metrics = metrics
		if reflect.DeepEqual(next, inUse) {
			continue
		}
		inUse = next
		s.Reload(next)
		logger.Emit(event.SettingsReloaded, event.Fields{"report_interval_ms": next.ReportInterval.Milliseconds(), "seeds": len(next.Seeds)})
	}
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
