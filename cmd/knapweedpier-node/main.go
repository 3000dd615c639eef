// Command knapweedpier-node runs one process of the packet path: a balancer, or
// the agent beside a backend server. Package platform gives it its settings and
// its store.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"reflect"
	"runtime/debug"
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

// daemon is the balancer or agent that the process runs.
type daemon interface {
	Start(context.Context) error
	Stop(context.Context) error
	// Reload applies settings that changed while the process runs.
	Reload(platform.Settings)
}

// settingsCheckInterval is the time between two comparisons of the settings
// file with the settings in use: the file may change without a SIGHUP.
const settingsCheckInterval = 5 * time.Second

// memoryLimitShare is the share of the process's memory beyond which the garbage
// collector runs more often. The rest is left for the C library, unread datagrams and
// memory that is not returned yet.
const memoryLimitShare = 0.75

func main() {
	// Before anything else: a signal that isn't caught ends the process at once.
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	var flags settings.Node
	role := kong.Parse(&flags, kong.Name("knapweedpier-node")).Command()
	if err := run(ctx, hangups, role, flags); err != nil {
		fmt.Fprintln(os.Stderr, "knapweedpier-node:", err)
		os.Exit(errkind.ExitCode(err))
	}
}

// run runs the daemon of a role until ctx ends. It reads the settings again at each signal
// of hangups.
func run(ctx context.Context, hangups <-chan os.Signal, role string, flags settings.Node) error {
	output := event.NewAsyncWriter(os.Stdout)
	defer output.Close()
	logger, err := event.New(output, flags.LogFormat)
	if err != nil {
		return err
	}
	stopped := make(chan struct{})
	defer close(stopped)
	go output.ReportDropped(logger, stopped)
	path := os.Getenv(platform.SettingsVariable)
	loaded, err := platform.ReadSettings(path)
	if err != nil {
		logger.EmitError(event.SettingRefused, err, nil)
		return err
	}
	if loaded.MemoryLimit > 0 {
		debug.SetMemoryLimit(int64(memoryLimitShare * float64(loaded.MemoryLimit)))
	}
	loaded.MetricsAddress = netip.AddrPortFrom(loaded.Address, flags.MetricsPort)
	if loaded.BindHost, err = flags.BindAddress(); err != nil {
		logger.EmitError(event.SettingRefused, err, nil)
		return err
	}
	app := fx.New(
		fx.NopLogger,
		fx.Supply(loaded, logger),
		fx.StopTimeout(loaded.GracePeriod),
		fx.Provide(
			func() *platform.Store {
				store := platform.NewStore(loaded.Store)
				store.SetLogger(logger)
				return store
			},
			func(s *platform.Store) follow.Store { return s },
			constructor(role),
		),
		fx.Invoke(func(lc fx.Lifecycle, d daemon, store *platform.Store) {
			lc.Append(fx.StopHook(store.Close))
			lc.Append(fx.StartStopHook(d.Start, d.Stop))
			go watchSettings(hangups, path, loaded, d, logger, stopped)
		}),
	)
	// A signal doesn't interrupt the start: fx would end the process without stopping the
	// daemon in order.
	startCtx, cancelStart := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancelStart()
	if err := app.Start(startCtx); err != nil {
		return errkind.Wrap(err, errkind.Of(err), "start")
	}
	<-ctx.Done()
	stopCtx, cancelStop := context.WithTimeout(context.Background(), loaded.GracePeriod)
	defer cancelStop()
	return app.Stop(stopCtx)
}

// watchSettings reads the settings file after each signal of hangups and every
// settingsCheckInterval, and passes changed settings to the daemon, until
// stopped is closed. If the file can't be read, it logs the error and the
// settings in use stay. What the flags give never changes while the process
// runs.
func watchSettings(hangups <-chan os.Signal, path string, inUse platform.Settings, d daemon, logger *event.Logger, stopped <-chan struct{}) {
	ticker := time.NewTicker(settingsCheckInterval)
	defer ticker.Stop()
	metrics, bindHost := inUse.MetricsAddress, inUse.BindHost
	for {
		select {
		case <-hangups:
		case <-ticker.C:
		case <-stopped:
			return
		}
		next, err := platform.ReadSettings(path)
		if err != nil {
			logger.EmitError(event.ReloadFailed, err, nil)
			continue
		}
		next.MetricsAddress, next.BindHost = metrics, bindHost
		if reflect.DeepEqual(next, inUse) {
			continue
		}
		inUse = next
		d.Reload(next)
		logger.Emit(event.SettingsReloaded, event.Fields{"report_interval_ms": next.ReportInterval.Milliseconds(), "seeds": len(next.Seeds)})
	}
}

// constructor returns the fx constructor of the daemon for a role.
func constructor(role string) any {
	if role == "agent" {
		return func(s platform.Settings, store *platform.Store, l *event.Logger) daemon {
			return flowagent.New(s, store, l)
		}
	}
	return func(s platform.Settings, store follow.Store, l *event.Logger) daemon {
		return flowbalancer.New(s, store, l)
	}
}
