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

// Platform returns the stand-in platform, for injecting faults and reading its
// ledger.
func (f *Fleet) Platform() *platformstandin.Server { return f.platform }

// Editor returns the editor with which tests change the configuration as
// operators' commands do.
func (f *Fleet) Editor() *change.Editor { return f.editor }

// Backend returns the stand-in backend server with an ID, or nil.
func (f *Fleet) Backend(id string) *backend.Server {
	if h := f.findBackend(id); h != nil {
		return h.server
	}
	return nil
}

// KillBalancer stops a balancer abruptly: its sockets are closed, and neither
// callers nor peers are notified. The error has kind NotFound.
func (f *Fleet) KillBalancer(id string) error {
	f.mu.Lock()
	b, ok := f.balancers[id]
	f.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "balancer "+id)
	}
	_ = b.health.Close()
	b.link.setCut(true)
	b.balancer.Kill()
	b.stopObserving()
	return nil
}

// SetLinkCut disconnects a process from its peers and from the platform while
// isCut is true, and reconnects it otherwise. Its tunnel keeps working. The
// error has kind NotFound.
func (f *Fleet) SetLinkCut(id string, isCut bool) error {
	l, err := f.findLink(id)
	if err == nil {
		l.setCut(isCut)
	}
	return err
}

// SilencePeerConnections makes the existing control connections of a process
// lose all data permanently, without closing them. New connections work. The
// error has kind NotFound.
func (f *Fleet) SilencePeerConnections(id string) error {
	l, err := f.findLink(id)
	if err == nil {
		l.silenceConns()
	}
	return err
}

func (f *Fleet) findLink(id string) (*controlLink, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if b, ok := f.balancers[id]; ok {
		return b.link, nil
	}
	if h := f.findBackend(id); h != nil {
		return h.link, nil
	}
	return nil, errkind.New(errkind.NotFound, "process "+id)
}

// DropReturnPath permanently drops the packets that an agent sends to those
// tunnel sockets of a balancer that it has sent to before. Packets to sockets
// that the balancer opens later arrive. The error has kind NotFound.
func (f *Fleet) DropReturnPath(backendID, balancerID string) error {
	h := f.findBackend(backendID)
	f.mu.Lock()
	b, ok := f.balancers[balancerID]
	f.mu.Unlock()
	if h == nil || !ok {
		return errkind.New(errkind.NotFound, backendID+" and "+balancerID)
	}
	h.returnPath.dropFlowsTo(b.balancer.Node().Self().Tunnel.Addr())
	return nil
}

// PauseAgent pauses the agent of a backend server until the returned function is
// called: whatever reads the agent's clock blocks. The error has kind NotFound.
func (f *Fleet) PauseAgent(id string) (resume func(), err error) {
	h := f.findBackend(id)
	if h == nil {
		return nil, errkind.New(errkind.NotFound, "backend server "+id)
	}
	h.clock.pauseLock.Lock()
	return h.clock.pauseLock.Unlock, nil
}

// RestartAgent stops the agent of a backend server and starts a new one at the
// same addresses.
func (f *Fleet) RestartAgent(ctx context.Context, id string) error {
	h := f.findBackend(id)
	if h == nil {
		return errkind.New(errkind.NotFound, "backend server "+id)
	}
	h.stopObserving()
	if err := h.agent.Stop(ctx); err != nil && ctx.Err() == nil {
		return err
	}
	return f.startAgent(context.WithoutCancel(ctx), h)
}

// PlanChange has the platform accept a change that takes effect at c.At.
func (f *Fleet) PlanChange(ctx context.Context, c sheet.Change) error {
	result, err := f.editor.Apply(ctx, change.Planned(c))
	if err != nil {
		return err
	}
	f.observer.addChange(acceptedChange{
		name:       string(c.Kind) + " " + c.Subject,
		kind:       c.Kind,
		subject:    c.Subject,
		generation: result.Config.Generation,
		accepted:   time.Now(),
		effective:  c.At,
	})
	return nil
}

// JoinBackend plans that a backend server joins at the given time, and starts
// it now. It receives no requests before that time.
func (f *Fleet) JoinBackend(ctx context.Context, id, service, domain string, at time.Time) error {
	if err := f.PlanChange(ctx, sheet.Change{Kind: config.Join, Subject: id, Service: service, At: at}); err != nil {
		return err
	}
	h := &backendHost{id: id, service: service, domain: domain, address: f.hostAddress(backendSubnet, len(f.backendHosts)+1)}
	f.backendHosts = append(f.backendHosts, h)
	return f.startBackendHost(ctx, h)
}
