package fleet

import (
	"context"
	"crypto/tls"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/udp"
	"github.com/knapweedpier/knapweedpier/pkg/agent"
	"github.com/knapweedpier/knapweedpier/pkg/balancer"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/standin/backend"
	"github.com/knapweedpier/knapweedpier/standin/fabric"
)

// Kinds of hosts, as the third number of their addresses.
const (
	balancerHosts = 20
	backendHosts  = 30
)

// Ports on each host.
const (
	tunnelPort  = 9000
	peerPort    = 9001
	healthPort  = 9002
	backendPort = 9003
)

// balancerHost is one entry host.
type balancerHost struct {
	id       string
	balancer *balancer.Balancer
	link     *link
	health   *http.Server
	stop     func() // ends the watch
}

// backendHost is the host of one backend server and its agent.
type backendHost struct {
	id, service, domain string
	address             netip.Addr
	server              *backend.Server
	agent               *agent.Agent
	link                *link
	path                *path
	clock               *clock
	warm                []span
	stop                func()
}

// span is a time in which a backend server was warm; a zero end is open.
type span struct{ from, to time.Time }

func balancerID(number int) string { return fmt.Sprintf("balancer-%d", number) }

// layOut places backend servers over the failure domains in turn.
func (f *Fleet) layOut() {
	for i, s := range f.initial.Services {
		count := smallService
		if i == 0 {
			count = largeService
		}
		if f.opts.Backends > 0 {
			count = f.opts.Backends
		}
		for n := range count {
			f.hosts = append(f.hosts, &backendHost{
				id:      fmt.Sprintf("%s-%d", s.Name, n+1),
				service: s.Name,
				domain:  f.initial.Domains[n%len(f.initial.Domains)].Name,
				address: f.host(backendHosts, len(f.hosts)+1),
			})
		}
	}
}

func (f *Fleet) region(domain string) string {
	for _, d := range f.initial.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// seeds are the peer addresses of the first balancers.
func (f *Fleet) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range f.initial.Domains {
		out = append(out, netip.AddrPortFrom(f.host(balancerHosts, i+1), peerPort))
	}
	return out
}

// StartBalancer implements quickstart.Fleet.
func (f *Fleet) StartBalancer(ctx context.Context) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.started++
	number := f.started
	host := f.host(balancerHosts, number)
	domain := f.initial.Domains[(number-1)%len(f.initial.Domains)].Name
	listener, err := listenTCP(host, peerPort)
	if err != nil {
		return "", err
	}
	registry := metrics.New()
	link := &link{}
	b, err := balancer.New(balancer.Options{
		ID:           balancerID(number),
		Domain:       domain,
		Region:       f.region(domain),
		PeerListener: link.listener(listener),
		Dial:         link.dial,
		TunnelListen: netip.AddrPortFrom(host, tunnelPort),
		BindHost:     host,
		Seeds:        f.seeds(),
		Store:        linkedStore{f.store, link},
		Ring:         f.getRing,
		Policy:       f.steeringPolicy(),
		Logger:       f.opts.Logger,
		Metrics:      registry,
		Open:         udp.Listen,
	})
	if err != nil {
		return "", err
	}
	bh := &balancerHost{id: balancerID(number), balancer: b, link: link}
	if bh.health, err = serveHealth(host, registry, b.Healthy); err != nil {
		return "", err
	}
	if err := b.Start(ctx); err != nil {
		return "", err
	}
	bh.stop = f.watch.process(bh.id, &b.Node().Board)
	f.balancers[bh.id] = bh
	f.fabric.Add(fabric.Balancer{
		ID:     bh.id,
		Health: "http://" + netip.AddrPortFrom(host, healthPort).String() + "/healthz",
		Addr:   fabric.HostAddr(host),
	})
	return bh.id, nil
}

// StopBalancer implements quickstart.Fleet.
func (f *Fleet) StopBalancer(ctx context.Context, id string) error {
	f.mu.Lock()
	b, ok := f.balancers[id]
	delete(f.balancers, id)
	f.mu.Unlock()
	if !ok {
		return errkind.New(errkind.NotFound, "balancer "+id)
	}
	err := b.balancer.Stop(ctx)
	f.fabric.Remove(id)
	b.stop()
	_ = b.health.Close()
	return err
}

func (b *balancerHost) close(ctx context.Context) {
	b.stop()
	_ = b.balancer.Stop(ctx)
	_ = b.health.Close()
}

func listenTCP(host netip.Addr, port uint16) (net.Listener, error) {
	address := netip.AddrPortFrom(host, port)
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(address))
	return l, errkind.Wrap(err, errkind.SettingInvalid, "listen on TCP "+address.String())
}

func serveHealth(host netip.Addr, registry *metrics.Registry, healthy metrics.Health) (*http.Server, error) {
	l, err := listenTCP(host, healthPort)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: metrics.Handler(registry, healthy)}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

func (f *Fleet) startBackendHost(ctx context.Context, h *backendHost) error {
	service, _ := f.service(h.service)
	if err := f.startServer(h, service); err != nil {
		return err
	}
	return f.startAgent(ctx, h)
}

func (f *Fleet) startAgent(ctx context.Context, h *backendHost) error {
	listener, err := listenTCP(h.address, peerPort)
	if err != nil {
		return err
	}
	h.link, h.path, h.clock = &link{}, &path{}, &clock{}
	h.agent = agent.New(agent.Options{
		ID:           h.id,
		Domain:       h.domain,
		Region:       f.region(h.domain),
		Service:      h.service,
		Backend:      netip.AddrPortFrom(h.address, backendPort),
		PeerListener: h.link.listener(listener),
		Dial:         h.link.dial,
		Clock:        h.clock.now,
		TunnelListen: netip.AddrPortFrom(h.address, tunnelPort),
		Seeds:        f.seeds(),
		Store:        linkedStore{f.store, h.link},
		Ring:         f.getRing,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &f.cert.Certificate, nil
		},
		Policy:  f.agentPolicy(),
		Logger:  f.opts.Logger,
		Metrics: metrics.New(),
		Open:    h.path.open(f.packets.open(h.domain)),
	})
	if err := h.agent.Start(ctx); err != nil {
		return err
	}
	h.stop = f.watch.process(h.id, &h.agent.Node().Board)
	return nil
}

func (f *Fleet) startServer(h *backendHost, service config.Service) error {
	options := backend.Options{
		ID:        h.id,
		Service:   h.service,
		Slots:     service.Limits.Slots,
		ColdSlots: service.Limits.ColdSlots,
		WarmUp:    service.Limits.WarmUp,
		WorkMean:  workMean,
		Seed:      f.opts.Seed + uint64(h.address.As4()[3]),
	}
	if len(service.FeedPaths) > 0 {
		options.FeedPath = service.FeedPaths[0]
	}
	h.server = backend.New(options)
	_, err := h.server.Start(netip.AddrPortFrom(h.address, backendPort).String())
	h.warm = append(h.warm, span{from: time.Now().Add(service.Limits.WarmUp + warmMargin)})
	return err
}

// warmMargin is the time after the warm-up in which the agent's limit reaches
// the slots under load.
const warmMargin = time.Second

func (f *Fleet) service(name string) (config.Service, bool) {
	for _, s := range f.initial.Services {
		if s.Name == name {
			return s, true
		}
	}
	return config.Service{}, false
}

func (h *backendHost) close(ctx context.Context) {
	if h.agent != nil {
		h.stop()
		_ = h.agent.Stop(ctx)
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}

// restart puts the backend server into a cold start, as a host that was off.
func (h *backendHost) restart(warmUp time.Duration, backAt time.Time) {
	now := time.Now()
	h.warm[len(h.warm)-1].to = now
	h.server.Restart()
	h.warm = append(h.warm, span{from: backAt.Add(warmUp + warmMargin)})
}
