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

// Third octets of the addresses of hosts. The platform is at 127.Prefix.0.1.
const (
	balancerSubnet = 20
	backendSubnet  = 30
)

// Ports on each host.
const (
	tunnelPort  = 9000
	peerPort    = 9001
	healthPort  = 9002
	backendPort = 9003
)

// balancerHost is the host of one balancer.
type balancerHost struct {
	id            string
	balancer      *balancer.Balancer
	link          *controlLink
	health        *http.Server
	stopObserving func() // of the configuration in force
}

// backendHost is the host of one backend server and its agent.
type backendHost struct {
	id, service, domain string
	address             netip.Addr
	server              *backend.Server
	agent               *agent.Agent
	link                *controlLink
	returnPath          *returnPath
	clock               *pausableClock
	warmIntervals       []warmInterval
	stopObserving       func()
}

// warmInterval is a time during which a backend server was warm. A zero to
// means that it still is.
type warmInterval struct{ from, to time.Time }

func balancerID(number int) string { return fmt.Sprintf("balancer-%d", number) }

// placeBackends assigns each service's backend servers to the failure domains
// in round-robin order.
func (f *Fleet) placeBackends() {
	for i, s := range f.initialConfig.Services {
		count := otherServiceBackends
		if i == 0 {
			count = firstServiceBackends
		}
		if f.opts.Backends > 0 {
			count = f.opts.Backends
		}
		for n := range count {
			f.backendHosts = append(f.backendHosts, &backendHost{
				id:      fmt.Sprintf("%s-%d", s.Name, n+1),
				service: s.Name,
				domain:  f.initialConfig.Domains[n%len(f.initialConfig.Domains)].Name,
				address: f.hostAddress(backendSubnet, len(f.backendHosts)+1),
			})
		}
	}
}

func (f *Fleet) region(domain string) string {
	for _, d := range f.initialConfig.Domains {
		if d.Name == domain {
			return d.Region
		}
	}
	return ""
}

// seeds returns the peer addresses of the balancers that Start starts.
func (f *Fleet) seeds() []netip.AddrPort {
	var out []netip.AddrPort
	for i := range f.initialConfig.Domains {
		out = append(out, netip.AddrPortFrom(f.hostAddress(balancerSubnet, i+1), peerPort))
	}
	return out
}

// StartBalancer implements quickstart.Fleet.
func (f *Fleet) StartBalancer(ctx context.Context) (string, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.balancersStarted++
	number := f.balancersStarted
	address := f.hostAddress(balancerSubnet, number)
	domain := f.initialConfig.Domains[(number-1)%len(f.initialConfig.Domains)].Name
	listener, err := listenTCP(address, peerPort)
	if err != nil {
		return "", err
	}
	registry := metrics.New()
	link := &controlLink{}
	b, err := balancer.New(balancer.Options{
		ID:           balancerID(number),
		Domain:       domain,
		Region:       f.region(domain),
		PeerListener: link.listener(listener),
		Dial:         link.dial,
		TunnelListen: netip.AddrPortFrom(address, tunnelPort),
		BindHost:     address,
		Seeds:        f.seeds(),
		Store:        linkedStore{f.store, link},
		KeyRing:      f.getKeyRing,
		Policy:       f.steeringPolicy(),
		Logger:       f.opts.Logger,
		Metrics:      registry,
		ListenUDP:    udp.Listen,
	})
	if err != nil {
		return "", err
	}
	host := &balancerHost{id: balancerID(number), balancer: b, link: link}
	if host.health, err = serveHealth(address, registry, b.CheckHealth); err != nil {
		return "", err
	}
	if err := b.Start(ctx); err != nil {
		return "", err
	}
	host.stopObserving = f.observer.observe(host.id, &b.Node().Board)
	f.balancers[host.id] = host
	f.fabric.Add(fabric.Balancer{
		ID:        host.id,
		HealthURL: "http://" + netip.AddrPortFrom(address, healthPort).String() + "/healthz",
		Addr:      fabric.HostAddr(address),
	})
	return host.id, nil
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
	b.stopObserving()
	_ = b.health.Close()
	return err
}

func (b *balancerHost) close(ctx context.Context) {
	b.stopObserving()
	_ = b.balancer.Stop(ctx)
	_ = b.health.Close()
}

func listenTCP(address netip.Addr, port uint16) (net.Listener, error) {
	endpoint := netip.AddrPortFrom(address, port)
	l, err := net.ListenTCP("tcp4", net.TCPAddrFromAddrPort(endpoint))
	return l, errkind.Wrap(err, errkind.SettingInvalid, "listen on TCP "+endpoint.String())
}

func serveHealth(address netip.Addr, registry *metrics.Registry, healthy metrics.Health) (*http.Server, error) {
	l, err := listenTCP(address, healthPort)
	if err != nil {
		return nil, err
	}
	s := &http.Server{Handler: metrics.Handler(registry, healthy)}
	go func() { _ = s.Serve(l) }()
	return s, nil
}

func (f *Fleet) startBackendHost(ctx context.Context, h *backendHost) error {
	service, _ := f.findService(h.service)
	if err := f.startBackendServer(h, service); err != nil {
		return err
	}
	return f.startAgent(ctx, h)
}

func (f *Fleet) startAgent(ctx context.Context, h *backendHost) error {
	listener, err := listenTCP(h.address, peerPort)
	if err != nil {
		return err
	}
	h.link, h.returnPath, h.clock = &controlLink{}, &returnPath{}, &pausableClock{}
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
		KeyRing:      f.getKeyRing,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			return &f.cert.Certificate, nil
		},
		Policy:     f.agentPolicy(),
		Logger:     f.opts.Logger,
		Metrics:    metrics.New(),
		ListenUDP:  h.returnPath.wrapListen(f.packetLog.listenFunc(h.domain)),
		Middleware: f.opts.Middleware,
	})
	if err := h.agent.Start(ctx); err != nil {
		return err
	}
	h.stopObserving = f.observer.observe(h.id, &h.agent.Node().Board)
	return nil
}

func (f *Fleet) startBackendServer(h *backendHost, service config.Service) error {
	options := backend.Options{
		ID:        h.id,
		Service:   h.service,
		Slots:     service.Limits.Slots,
		ColdSlots: service.Limits.ColdSlots,
		WarmUp:    service.Limits.WarmUp,
		WorkMean:  meanWorkTime,
		Seed:      f.opts.Seed + uint64(h.address.As4()[3]),
	}
	if len(service.FeedPaths) > 0 {
		options.FeedPath = service.FeedPaths[0]
	}
	h.server = backend.New(options)
	_, err := h.server.Start(netip.AddrPortFrom(h.address, backendPort).String())
	h.warmIntervals = append(h.warmIntervals, warmInterval{from: time.Now().Add(service.Limits.WarmUp + limitRampUp)})
	return err
}

// limitRampUp is the time allowed after the warm-up for the agent's limit to
// reach the number of slots under load.
const limitRampUp = time.Second

func (f *Fleet) findService(name string) (config.Service, bool) {
	for _, s := range f.initialConfig.Services {
		if s.Name == name {
			return s, true
		}
	}
	return config.Service{}, false
}

func (h *backendHost) close(ctx context.Context) {
	if h.agent != nil {
		h.stopObserving()
		_ = h.agent.Stop(ctx)
	}
	if h.server != nil {
		_ = h.server.Close()
	}
}

// restartCold restarts the backend server, which begins a cold start as if its
// host had been off.
func (h *backendHost) restartCold(warmUp time.Duration, backAt time.Time) {
	now := time.Now()
	h.warmIntervals[len(h.warmIntervals)-1].to = now
	h.server.Restart()
	h.warmIntervals = append(h.warmIntervals, warmInterval{from: backAt.Add(warmUp + limitRampUp)})
}
