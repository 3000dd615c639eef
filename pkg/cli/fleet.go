package cli

import (
	"context"
	"strings"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/peer"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
	"github.com/knapweedpier/knapweedpier/internal/operators/status"
	"github.com/knapweedpier/knapweedpier/internal/operators/statuscall"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
)

// balancers asks balancers, in the order of the settings, until one answers.
type balancers struct {
	settings Settings
}

var (
	_ StatusSource = balancers{}
	_ BurnSource   = balancers{}
)

// Status implements StatusSource.
func (b balancers) Status(ctx context.Context, service string) (s status.Status, err error) {
	err = b.ask(ctx, peer.StatusRequest{Scope: peer.ScopeFleet, Service: service}, &s)
	return s, err
}

// Burn implements BurnSource.
func (b balancers) Burn(ctx context.Context) (r burn.Report, err error) {
	err = b.ask(ctx, peer.StatusRequest{Scope: peer.ScopeBurn}, &r)
	return r, err
}

// InForce implements InForce.
func (b balancers) InForce(ctx context.Context, generation uint64) ([]string, error) {
	var answer statuscall.Lagging
	err := b.ask(ctx, peer.StatusRequest{Scope: peer.ScopeLagging, Generation: generation}, &answer)
	return answer.IDs, err
}

// ask decodes the first answer into v. Its errors have the kinds
// SettingInvalid, KeyRingInvalid, PeerUnauthorized if the last balancer
// refuses the key ring, and PeerDown if none answers.
func (b balancers) ask(ctx context.Context, req peer.StatusRequest, v any) error {
	ring, err := b.settings.Ring()
	if err != nil {
		return err
	}
	dialer := &peer.Dialer{Identity: peertls.New(func() *keyring.Ring { return ring }, time.Now)}
	var failures []string
	for _, addr := range b.settings.Peers {
		client := peer.NewClient(dialer, addr.AddrPort)
		err = client.Status(ctx, req, v)
		client.Close()
		if err == nil {
			return nil
		}
		failures = append(failures, err.Error())
	}
	return errkind.Errorf(errkind.Of(err), "none of --peers answers: %s", strings.Join(failures, "; "))
}
