// Package fleet runs all roles and their stand-ins in one operating-system
// process on loopback: platform, fabric, balancers, agents and backend servers.
// It starts no other operating-system process. In this package, "process" means
// one embedded balancer or agent.
package fleet

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/control/objectstore"
	"github.com/knapweedpier/knapweedpier/internal/embedded/quickstart"
	"github.com/knapweedpier/knapweedpier/internal/embedded/testcert"
	"github.com/knapweedpier/knapweedpier/internal/operators/change"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/gate"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/steering"
	"github.com/knapweedpier/knapweedpier/pkg/agent"
	"github.com/knapweedpier/knapweedpier/pkg/config"
	"github.com/knapweedpier/knapweedpier/pkg/sheet"
	"github.com/knapweedpier/knapweedpier/standin/caller"
	"github.com/knapweedpier/knapweedpier/standin/fabric"
	platformstandin "github.com/knapweedpier/knapweedpier/standin/platform"
)

const (
	// firstServiceBackends and otherServiceBackends are the default numbers of
	// backend servers of a deployment's first service and of each other
	// service. They match the deployments of today's users.
	firstServiceBackends = 7
	otherServiceBackends = 3
	// meanWorkTime is the mean time that a backend server works on a request.
	meanWorkTime = 100 * time.Millisecond
	// membershipTimeout bounds the wait at the start until every balancer
	// knows every agent.
	membershipTimeout = 15 * time.Second
	// serverName is the DNS name in the certificate, which callers verify.
	serverName = "service.test"
	// platformCallTimeout is the time limit of one platform call.
	platformCallTimeout = 2 * time.Second
)

// Policy selects the full design or the baseline that it is compared with.
type Policy string

// The policies.
const (
	Full     Policy = "full" // ranked candidates, placement, admission, relay
	Baseline Policy = "hash" // plain hashing, no placement, no admission, no relay
)

// Options configure a Fleet.
type Options struct {
	Sheet  []byte // CSV
	Policy Policy
	Seed   uint64
	Logger *event.Logger // nil: nothing is logged
	Prefix byte          // second octet of the loopback addresses of all hosts: 127.Prefix.x.y
	Delay  time.Duration // one-way delay between callers and balancers
	// Backends is the number of backend servers of each service; 0 means the
	// defaults firstServiceBackends and otherServiceBackends.
	Backends int
	// Middleware wraps each agent's handler of callers' requests; nil means none.
	Middleware func(http.Handler) http.Handler
}

// Fleet is a set of embedded roles and stand-ins. It implements
// quickstart.Fleet.
type Fleet struct {
	opts          Options
	sheet         *sheet.Sheet
	initialConfig *config.Config
	keyRing       *keyring.Ring
	keyRingText   string
	cert          *testcert.Pair
	platform      *platformstandin.Server
	store         *objectstore.Client
	editor        *change.Editor

	platformURL string

	fabric    *fabric.Fabric
	packetLog *packetLog
	observer  *configObserver

	mu               sync.Mutex
	balancers        map[string]*balancerHost
	backendHosts     []*backendHost
	balancersStarted int // since the start, including stopped ones; numbers their IDs and addresses
}

var _ quickstart.Fleet = (*Fleet)(nil)

// New parses the sheet and returns a fleet that is not started. Its errors have
// kind SheetInvalid or SettingInvalid.
func New(o Options) (*Fleet, error) {
	parsed, err := sheet.Parse(o.Sheet)
	if err != nil {
		return nil, err
	}
	initialConfig, err := parsed.Apply(nil, time.Now())
	if err != nil {
		return nil, err
	}
	if len(initialConfig.Domains) == 0 || len(initialConfig.Services) == 0 {
		return nil, errkind.New(errkind.SheetInvalid, "expected at least one failure domain and one service")
	}
	if o.Logger == nil {
		o.Logger = event.Discard()
	}
	f := &Fleet{
		opts:          o,
		sheet:         parsed,
		initialConfig: initialConfig,
		balancers:     map[string]*balancerHost{},
		packetLog:     newPacketLog(),
		observer:      newConfigObserver(),
	}
	f.keyRingText = newKeyRingText()
	if f.keyRing, err = keyring.Parse(f.keyRingText); err != nil {
		return nil, err
	}
	if f.cert, err = testcert.New(serverName); err != nil {
		return nil, err
	}
	f.placeBackends()
	return f, nil
}

// newKeyRingText returns the text of a key ring with one random key.
func newKeyRingText() string {
	var secret [keyring.SecretSize]byte
	_, _ = rand.Read(secret[:]) // never fails
	return "1:" + hex.EncodeToString(secret[:])
}

// OperatorAccess is what operators' commands need to reach the fleet.
type OperatorAccess struct {
	Platform string           // URL
	Peers    []netip.AddrPort // peer addresses of the balancers that Start starts
	Keyring  string           // ID:HEX
}

// OperatorAccess returns what operators' commands need. The fleet must be
// started.
func (f *Fleet) OperatorAccess() OperatorAccess {
	return OperatorAccess{Platform: f.platformURL, Peers: f.seeds(), Keyring: f.keyRingText}
}

func (f *Fleet) getKeyRing() *keyring.Ring { return f.keyRing }

// hostAddress returns the address 127.Prefix.subnet.number of a host.
func (f *Fleet) hostAddress(subnet, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.opts.Prefix, byte(subnet), byte(number)})
}

func (f *Fleet) steeringPolicy() steering.Policy {
	if f.opts.Policy == Baseline {
		return steering.PlainHash
	}
	return steering.Rendezvous
}

func (f *Fleet) agentPolicy() agent.Policy {
	if f.opts.Policy == Baseline {
		return agent.Policy{AcceptAll: true, Gate: gate.PolicyBaseline}
	}
	return agent.Policy{Gate: gate.PolicyAdaptive}
}

// TLS implements quickstart.Fleet.
func (f *Fleet) TLS() *tls.Config {
	return &tls.Config{RootCAs: f.cert.Pool, ServerName: serverName}
}

// Targets implements quickstart.Fleet.
func (f *Fleet) Targets() []quickstart.ServiceTarget {
	var out []quickstart.ServiceTarget
	for _, s := range f.initialConfig.Services {
		backends := f.countBackends(s.Name)
		load := caller.ServiceLoad{Name: s.Name, Address: s.Address}
		if len(s.FeedPaths) > 0 {
			load.FeedPath = s.FeedPaths[0]
		}
		out = append(out, quickstart.ServiceTarget{
			Service:           load,
			Backends:          backends,
			CapacityPerSecond: float64(backends*s.Limits.Slots) / meanWorkTime.Seconds(),
		})
	}
	return out
}

func (f *Fleet) countBackends(service string) int {
	n := 0
	for _, h := range f.backendHosts {
		if h.service == service {
			n++
		}
	}
	return n
}

// Roster implements quickstart.Fleet.
func (f *Fleet) Roster() quickstart.Roster {
	var out quickstart.Roster
	for i := range f.initialConfig.Domains {
		out.Balancers = append(out.Balancers, balancerID(i+1))
	}
	for _, h := range f.backendHosts {
		out.Backends = append(out.Backends, quickstart.BackendInfo{ID: h.id, Service: h.service, Domain: h.domain})
	}
	return out
}

// Start implements quickstart.Fleet.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startStandins(ctx); err != nil {
		return err
	}
	for range f.initialConfig.Domains {
		if _, err := f.StartBalancer(ctx); err != nil {
			return err
		}
	}
	for _, h := range f.backendHosts {
		if err := f.startBackendHost(ctx, h); err != nil {
			return err
		}
	}
	if err := f.waitUntilMembersKnown(ctx); err != nil {
		return err
	}
	return f.waitUntilWarm(ctx)
}

// waitUntilWarm returns once the warm-up time of every backend server has
// passed. After that, the agents' limits still rise with successful requests.
func (f *Fleet) waitUntilWarm(ctx context.Context) error {
	for _, h := range f.backendHosts {
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotInForce, "backend servers did not warm up")
		case <-time.After(time.Until(h.warmIntervals[0].from) - limitRampUp):
		}
	}
	return nil
}

func (f *Fleet) startStandins(ctx context.Context) error {
	f.platform = platformstandin.New(platformstandin.Options{})
	address, err := f.platform.Start(netip.AddrPortFrom(f.hostAddress(0, 1), 0).String())
	if err != nil {
		return err
	}
	f.platformURL = "http://" + address.String()
	f.store = objectstore.NewClient(f.platformURL, platformCallTimeout)
	f.editor = change.New(f.store, change.Options{})
	if _, err := f.editor.ApplySheet(ctx, f.sheet); err != nil {
		return err
	}
	var services []netip.AddrPort
	for _, s := range f.initialConfig.Services {
		services = append(services, s.Address)
	}
	f.fabric, err = fabric.New(fabric.Options{Services: services, Seed: f.opts.Seed, Delay: f.opts.Delay})
	if err != nil {
		return err
	}
	return f.fabric.Start()
}

// waitUntilMembersKnown returns once every process is healthy and every
// balancer has every agent as a candidate.
func (f *Fleet) waitUntilMembersKnown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, membershipTimeout)
	defer cancel()
	for !f.allMembersKnown() {
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotInForce, "balancers did not learn of all agents")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (f *Fleet) allMembersKnown() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.balancers {
		if b.balancer.CheckHealth() != nil || b.balancer.CandidateCount() != len(f.backendHosts) {
			return false
		}
	}
	for _, h := range f.backendHosts {
		if h.agent.CheckHealth() != nil {
			return false
		}
	}
	return true
}

// Close implements quickstart.Fleet.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.observer.close()
	var wg sync.WaitGroup
	for _, h := range f.backendHosts {
		wg.Go(func() { h.close(ctx) })
	}
	f.mu.Lock()
	for _, b := range f.balancers {
		wg.Go(func() { b.close(ctx) })
	}
	f.mu.Unlock()
	wg.Wait()
	if f.fabric != nil {
		f.fabric.Close()
	}
	if f.store != nil {
		f.store.Close()
	}
	if f.platform != nil {
		f.platform.Close()
	}
	return nil
}
