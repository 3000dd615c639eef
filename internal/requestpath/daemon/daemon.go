// Package daemon builds the components that all daemons share, and runs a daemon
// until it receives a termination signal.
package daemon

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/settings"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
)

const (
	// platformTimeout bounds one call to the platform.
	platformTimeout = 2 * time.Second
	// startTimeout bounds the start of the daemon, which opens its sockets.
	startTimeout = 15 * time.Second
	// socketCloseTimeout is the time allowed for closing sockets after the grace period.
	socketCloseTimeout = 5 * time.Second
)

// Service is the daemon-specific part of a daemon. Stop shuts it down gracefully
// until ctx is done.
type Service interface {
	Start(ctx context.Context) error
	Stop(ctx context.Context) error
	CheckHealth() error
}

// Dependencies holds the components that a daemon's service is built from.
type Dependencies struct {
	Logger       *event.Logger
	KeyRing      *settings.RingSource
	Store        objectstore.Store
	PeerListener net.Listener
	Metrics      *metrics.Registry
	Seeds        []netip.AddrPort
}

// Main reads settings into dst, builds the service and runs it until SIGTERM
// or an interrupt. It returns the exit code.
func Main(name string, dst any, common *settings.Common, build func(fx.Lifecycle, Dependencies) (Service, error)) int {
	if exit, done := settings.Parse(dst, name, os.Args[1:], os.Stdout, os.Stderr); done {
		return exit
	}
	ctx, cancel := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer cancel()
	err := run(ctx, common, build)
	if err == nil {
		return 0
	}
	fmt.Fprintln(os.Stderr, name+":", err)
	return errkind.ExitCode(err)
}

func run(ctx context.Context, common *settings.Common, build func(fx.Lifecycle, Dependencies) (Service, error)) error {
	grace := common.ShutdownGrace.Duration
	app := fx.New(
		fx.NopLogger,
		fx.Supply(common),
		fx.StartTimeout(startTimeout),
		fx.StopTimeout(grace+socketCloseTimeout),
		fx.Provide(newLogger, newKeyRing, newStore, newPeerListener, metrics.New, newDependencies, build),
		fx.Invoke(serveOps, func(lc fx.Lifecycle, s Service) { lc.Append(fx.StartStopHook(s.Start, withGrace(s.Stop, grace))) }),
	)
	if err := app.Start(ctx); err != nil {
		return errkind.Wrap(err, errkind.Of(err), "start")
	}
	<-ctx.Done()
	stopCtx, cancel := context.WithTimeout(context.Background(), grace+socketCloseTimeout)
	defer cancel()
	// Flows still open after the grace period are closed. The error that this
	// returns is no failure of the shutdown.
	_ = app.Stop(stopCtx)
	return nil
}

// withGrace limits stop to the grace period, so that time remains to close
// sockets after it.
func withGrace(stop func(context.Context) error, grace time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, grace)
		defer cancel()
		return stop(ctx)
	}
}

func newLogger(common *settings.Common) (*event.Logger, error) {
	return event.New(os.Stderr, common.LogFormat)
}

func newKeyRing(lc fx.Lifecycle, common *settings.Common, logger *event.Logger) (*settings.RingSource, error) {
	ring, err := common.OpenRingSource(logger)
	if err != nil {
		return nil, err
	}
	RunInBackground(lc, ring.Run)
	return ring, nil
}

func newStore(lc fx.Lifecycle, common *settings.Common) objectstore.Store {
	client := objectstore.NewClient(common.Platform, platformTimeout)
	lc.Append(fx.StopHook(client.Close))
	return client
}

func newPeerListener(common *settings.Common) (net.Listener, error) {
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(common.PeerListen.AddrPort))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "--peer-listen")
	}
	return l, nil
}

func newDependencies(common *settings.Common, logger *event.Logger, ring *settings.RingSource, store objectstore.Store, l net.Listener, registry *metrics.Registry) Dependencies {
	deps := Dependencies{Logger: logger, KeyRing: ring, Store: store, PeerListener: l, Metrics: registry}
	for _, seed := range common.Seeds {
		deps.Seeds = append(deps.Seeds, seed.AddrPort)
	}
	return deps
}

// serveOps serves metrics and health on the operators' address.
func serveOps(lc fx.Lifecycle, common *settings.Common, registry *metrics.Registry, s Service) error {
	server, err := metrics.Listen(common.OpsListen.AddrPort, metrics.Handler(registry, s.CheckHealth))
	if err != nil {
		return err
	}
	lc.Append(fx.StartStopHook(
		func() { go func() { _ = server.Serve() }() },
		server.Close,
	))
	return nil
}

// RunInBackground runs loop in a goroutine from the start of the daemon until its
// stop, which waits for loop to return.
func RunInBackground(lc fx.Lifecycle, loop func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	lc.Append(fx.StartStopHook(
		func() {
			go func() {
				defer close(done)
				loop(ctx)
			}()
		},
		func() {
			cancel()
			<-done
		},
	))
}
