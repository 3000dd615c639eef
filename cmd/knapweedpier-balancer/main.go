// Command knapweedpier-balancer runs the request path's balancer on an entry
// host: it forwards packets from callers to agents and from agents to callers.
package main

import (
	"net/netip"
	"os"

	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/settings"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/daemon"
	"github.com/knapweedpier/knapweedpier/pkg/balancer"
)

func main() {
	var s settings.Balancer
	os.Exit(daemon.Main("knapweedpier-balancer", &s, &s.Common, func(_ fx.Lifecycle, p daemon.Dependencies) (daemon.Service, error) {
		bindHost, _ := netip.ParseAddr(s.BindHost) // validated with the settings; the zero Addr if not set
		return balancer.New(balancer.Options{
			ID:           s.ID,
			Domain:       s.FailureDomain,
			Region:       s.Region,
			PeerListener: p.PeerListener,
			TunnelListen: s.TunnelListen.AddrPort,
			BindHost:     bindHost,
			Seeds:        p.Seeds,
			Store:        p.Store,
			KeyRing:      p.KeyRing.Ring,
			Logger:       p.Logger,
			Metrics:      p.Metrics,
			ListenUDP:    udp.Listen,
		})
	}))
}
