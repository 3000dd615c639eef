// Command knapweedpier-agent runs the request path's agent beside a backend
// server: it terminates callers' flows and is the only process that sends
// requests to its backend server.
package main

import (
	"os"

	"go.uber.org/fx"

	"github.com/knapweedpier/knapweedpier/internal/base/settings"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/daemon"
	"github.com/knapweedpier/knapweedpier/pkg/agent"
)

func main() {
	var s settings.Agent
	os.Exit(daemon.Main("knapweedpier-agent", &s, &s.Common, func(lc fx.Lifecycle, p daemon.Dependencies) (daemon.Service, error) {
		certificate, err := s.OpenCertificateSource(p.Logger)
		if err != nil {
			return nil, err
		}
		daemon.RunInBackground(lc, certificate.Run)
		return agent.New(agent.Options{
			ID:             s.ID,
			Domain:         s.FailureDomain,
			Region:         s.Region,
			Service:        s.Service,
			Backend:        s.Backend.AddrPort,
			PeerListener:   p.PeerListener,
			TunnelListen:   s.TunnelListen.AddrPort,
			Seeds:          p.Seeds,
			Store:          p.Store,
			KeyRing:        p.KeyRing.Ring,
			GetCertificate: certificate.GetCertificate,
			Logger:         p.Logger,
			Metrics:        p.Metrics,
			ListenUDP:      udp.Listen,
		}), nil
	}))
}
