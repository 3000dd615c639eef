package fleet

import (
	"context"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
	"github.com/knapweedpier/knapweedpier/standin/backend"
	platformstandin "github.com/knapweedpier/knapweedpier/standin/platform"
)

// Platform returns the stand-in platform, to inject faults and to read its
// ledger.
func (f *Fleet) Platform() *platformstandin.Server { return f.platform }

// Editor returns what changes the configuration, as an operator does.
func (f *Fleet) Editor() *change.Editor { return f.editor }

// Backend returns the stand-in backend server with an ID, or nil.
func (f *Fleet) Backend(id string) *backend.Server {
	if h := f.backend(id); h != nil {
		return h.server
	}
	return nil
}

// KillBalancer ends a balancer without notice: its sockets are closed and
// nobody is told. The error has kind NotFound.
func (f *Fleet) KillBalancer(id string) error {
	f.mu.Lock()
	b, ok := f.balancers[id]
	f.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "balancer "+id)
	}
	_ = b.health.Close()
	b.link.cut(true)
	b.balancer.Kill()
	b.stop()
	return nil
}

// Cut cuts a process off from its peers and from the platform, or joins it
// again. Its tunnel stays open.
func (f *Fleet) Cut(id string, on bool) error {
	l, err := f.link(id)
	if err == nil {
		l.cut(on)
	}
	return err
}

// SilencePeers makes the present control connections of a process go silent
// for good. New connections work.
func (f *Fleet) SilencePeers(id string) error {
	l, err := f.link(id)
	if err == nil {
		l.silence()
	}
	return err
}

func (f *Fleet) link(id string) (*link, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.balancers[id]; ok {
		return b.link, nil
	}
	if h := f.backend(id); h != nil {
		return h.link, nil
	}
	return nil, errkind.New(errkind.NotFound, "process "+id)
}

// LoseReturnPath loses, for good, what an agent sends to the present tunnel
// sockets of a balancer. A socket that the balancer opens later is reached.
func (f *Fleet) LoseReturnPath(backendID, balancerID string) error {
	h := f.backend(backendID)
	f.mu.Lock()
	b, ok := f.balancers[balancerID]
	f.mu.Unlock()
	if h == nil || !ok {
		return errkind.New(errkind.NotFound, backendID+" and "+balancerID)
	}
	h.path.lose(b.balancer.Node().Self().Tunnel.Addr())
	return nil
}

// Freeze pauses the agent beside a backend server until the returned function
// is called.
func (f *Fleet) Freeze(id string) (thaw func(), err error) {
	h := f.backend(id)
	if h == nil {
		return nil, errkind.New(errkind.NotFound, "backend server "+id)
	}
	h.clock.frozen.Lock()
	return h.clock.frozen.Unlock, nil
}

// RestartAgent replaces the agent beside a backend server by a new process at
// the same addresses.
func (f *Fleet) RestartAgent(ctx context.Context, id string) error {
	h := f.backend(id)
	if h == nil {
		return errkind.New(errkind.NotFound, "backend server "+id)
	}
	h.stop()
	if err := h.agent.Stop(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return f.startAgent(context.WithoutCancel(ctx), h)
}

// Plan has a change accepted that takes effect at its time.
func (f *Fleet) Plan(ctx context.Context, c sheet.Change) error {
	result, err := f.editor.Apply(ctx, change.Planned(c))
	if err != nil {
		return err
	}
	f.watch.expect(expected{
		name:       string(c.Kind) + " " + c.Subject,
		kind:       c.Kind,
		subject:    c.Subject,
		generation: result.Config.Generation,
		accepted:   time.Now(),
		effective:  c.At,
	})
	return nil
}

// JoinBackend starts a backend server whose join is planned at the given time.
// It gets no work before.
func (f *Fleet) JoinBackend(ctx context.Context, id, service, domain string, at time.Time) error {
	if err := f.Plan(ctx, sheet.Change{Kind: config.Join, Subject: id, Service: service, At: at}); err != nil {
		return err
	}
	h := &backendHost{id: id, service: service, domain: domain, address: f.host(backendHosts, len(f.hosts)+1)}
	f.hosts = append(f.hosts, h)
	return f.startBackendHost(ctx, h)
}
