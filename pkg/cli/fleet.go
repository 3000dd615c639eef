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

// balancerClient queries the balancers in the order of the settings until one
// answers.
type balancerClient struct {
	settings Settings
}

var (
	_ StatusSource = balancerClient{}
	_ BurnSource   = balancerClient{}
)

// Status implements StatusSource.
func (b balancerClient) Status(ctx context.Context, service string) (s status.Status, err error) {
	err = b.query(ctx, peer.StatusRequest{Scope: peer.ScopeFleet, Service: service}, &s)
	return s, err
}

// Burn implements BurnSource.
func (b balancerClient) Burn(ctx context.Context) (r burn.Report, err error) {
	err = b.query(ctx, peer.StatusRequest{Scope: peer.ScopeBurn}, &r)
	return r, err
}

// LaggingProcesses queries the processes in which generation is not yet in
// force. Its type is LaggingProcesses.
func (b balancerClient) LaggingProcesses(ctx context.Context, generation uint64) ([]string, error) {
	var answer statuscall.LaggingResponse
	err := b.query(ctx, peer.StatusRequest{Scope: peer.ScopeLagging, Generation: generation}, &answer)
	return answer.IDs, err
}

// query decodes the first successful answer into v. Its errors have kind
// SettingInvalid, KeyRingInvalid, PeerUnauthorized if the last balancer
// rejects the key ring, or PeerDown if none answers.
func (b balancerClient) query(ctx context.Context, req peer.StatusRequest, v any) error {
	ring, err := b.settings.LoadKeyRing()
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
