// Package fleet embeds all roles and the stand-ins around them in one process
// on loopback: platform, fabric, balancers, agents and backend servers. No
// process starts another.
package fleet

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/hex"
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
	// largeService and smallService are the numbers of backend servers of a
	// deployment's first service and of the others, as at today's users.
	largeService = 7
	smallService = 3
	// workMean is the mean work time of a request at a backend server.
	workMean = 100 * time.Millisecond
	// startTimeout bounds the wait until all roles know each other.
	startTimeout = 15 * time.Second
	// serverName is the name that callers check in certificates.
	serverName = "service.test"
	// platformTimeout is the deadline of one platform call.
	platformTimeout = 2 * time.Second
)

// Policy selects the full design or a baseline to measure against.
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
	Prefix byte          // second number of the loopback addresses of all hosts: 127.Prefix.x.y
	Delay  time.Duration // one way between callers and balancers
	// Backends is the number of backend servers of each service; 0 is as at
	// today's users.
	Backends int
}

// Fleet is a set of embedded roles. It implements quickstart.Fleet.
type Fleet struct {
	opts     Options
	sheet    *sheet.Sheet
	initial  *config.Config
	ring     *keyring.Ring
	ringText string
	cert     *testcert.Pair
	platform *platformstandin.Server
	store    *objectstore.Client
	editor   *change.Editor

	platformURL string

	fabric  *fabric.Fabric
	packets *packetLog
	watch   *watch

	mu        sync.Mutex
	balancers map[string]*balancerHost
	hosts     []*backendHost
	started   int // balancers so far, for their addresses
}

var _ quickstart.Fleet = (*Fleet)(nil)

// New checks the sheet. Its errors have kind SheetInvalid or SettingInvalid.
func New(o Options) (*Fleet, error) {
	parsed, err := sheet.Parse(o.Sheet)
	if err != nil {
		return nil, err
	}
	initial, err := parsed.Apply(nil, time.Now())
	if err != nil {
		return nil, err
	}
	if len(initial.Domains) == 0 || len(initial.Services) == 0 {
		return nil, errkind.New(errkind.SheetInvalid, "expected at least one failure domain and one service")
	}
	if o.Logger == nil {
		o.Logger = event.Discard()
	}
	f := &Fleet{
		opts:      o,
		sheet:     parsed,
		initial:   initial,
		balancers: map[string]*balancerHost{},
		packets:   newPacketLog(),
		watch:     newWatch(),
	}
	f.ringText = newRingText()
	if f.ring, err = keyring.Parse(f.ringText); err != nil {
		return nil, err
	}
	if f.cert, err = testcert.New(serverName); err != nil {
		return nil, err
	}
	f.layOut()
	return f, nil
}

// newRingText makes a key that lives as long as the run.
func newRingText() string {
	var secret [keyring.SecretSize]byte
	_, _ = rand.Read(secret[:]) // never fails
	return "1:" + hex.EncodeToString(secret[:])
}

// Operators is what operators' commands need to reach the fleet.
type Operators struct {
	Platform string           // URL
	Peers    []netip.AddrPort // peer addresses of the first balancers
	Keyring  string           // ID:HEX
}

// Operators returns the access for operators' commands to a started fleet.
func (f *Fleet) Operators() Operators {
	return Operators{Platform: f.platformURL, Peers: f.seeds(), Keyring: f.ringText}
}

func (f *Fleet) getRing() *keyring.Ring { return f.ring }

// host returns the address of a host: the kind is the third number.
func (f *Fleet) host(kind, number int) netip.Addr {
	return netip.AddrFrom4([4]byte{127, f.opts.Prefix, byte(kind), byte(number)})
}

func (f *Fleet) steeringPolicy() steering.Policy {
	if f.opts.Policy == Baseline {
		return steering.PlainHash
	}
	return steering.Rendezvous
}

func (f *Fleet) agentPolicy() agent.Policy {
	if f.opts.Policy == Baseline {
		return agent.Policy{AcceptAll: true, Gate: gate.Baseline}
	}
	return agent.Policy{Gate: gate.Adaptive}
}

// TLS implements quickstart.Fleet.
func (f *Fleet) TLS() *tls.Config {
	return &tls.Config{RootCAs: f.cert.Pool, ServerName: serverName}
}

// Targets implements quickstart.Fleet.
func (f *Fleet) Targets() []quickstart.Target {
	var out []quickstart.Target
	for _, s := range f.initial.Services {
		backends := f.backendsOf(s.Name)
		load := caller.ServiceLoad{Name: s.Name, Address: s.Address}
		if len(s.FeedPaths) > 0 {
			load.FeedPath = s.FeedPaths[0]
		}
		out = append(out, quickstart.Target{
			Service:  load,
			Backends: backends,
			Capacity: float64(backends*s.Limits.Slots) / workMean.Seconds(),
		})
	}
	return out
}

func (f *Fleet) backendsOf(service string) int {
	n := 0
	for _, h := range f.hosts {
		if h.service == service {
			n++
		}
	}
	return n
}

// Roster implements quickstart.Fleet.
func (f *Fleet) Roster() quickstart.Roster {
	var out quickstart.Roster
	for i := range f.initial.Domains {
		out.Balancers = append(out.Balancers, balancerID(i+1))
	}
	for _, h := range f.hosts {
		out.Backends = append(out.Backends, quickstart.BackendInfo{ID: h.id, Service: h.service, Domain: h.domain})
	}
	return out
}

// Start implements quickstart.Fleet.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.startStandins(ctx); err != nil {
		return err
	}
	for range f.initial.Domains {
		if _, err := f.StartBalancer(ctx); err != nil {
			return err
		}
	}
	for _, h := range f.hosts {
		if err := f.startBackendHost(ctx, h); err != nil {
			return err
		}
	}
	if err := f.waitUntilKnown(ctx); err != nil {
		return err
	}
	return f.waitUntilWarm(ctx)
}

// waitUntilWarm returns once the warm-up time of every backend server has
// passed. Their agents still raise their limits by successes.
func (f *Fleet) waitUntilWarm(ctx context.Context) error {
	for _, h := range f.hosts {
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotInForce, "backend servers did not warm up")
		case <-time.After(time.Until(h.warm[0].from) - warmMargin):
		}
	}
	return nil
}

func (f *Fleet) startStandins(ctx context.Context) error {
	f.platform = platformstandin.New(platformstandin.Options{})
	address, err := f.platform.Start(netip.AddrPortFrom(f.host(0, 1), 0).String())
	if err != nil {
		return err
	}
	f.platformURL = "http://" + address.String()
	f.store = objectstore.NewClient(f.platformURL, platformTimeout)
	f.editor = change.New(f.store, change.Options{})
	if _, err := f.editor.ApplySheet(ctx, f.sheet); err != nil {
		return err
	}
	var services []netip.AddrPort
	for _, s := range f.initial.Services {
		services = append(services, s.Address)
	}
	f.fabric, err = fabric.New(fabric.Options{Services: services, Seed: f.opts.Seed, Delay: f.opts.Delay})
	if err != nil {
		return err
	}
	return f.fabric.Start()
}

// waitUntilKnown returns once every balancer has every agent as a candidate.
func (f *Fleet) waitUntilKnown(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for !f.known() {
		select {
		case <-ctx.Done():
			return errkind.Wrap(ctx.Err(), errkind.NotInForce, "roles did not find each other")
		case <-time.After(20 * time.Millisecond):
		}
	}
	return nil
}

func (f *Fleet) known() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, b := range f.balancers {
		if b.balancer.Healthy() != nil || b.balancer.Candidates() != len(f.hosts) {
			return false
		}
	}
	for _, h := range f.hosts {
		if h.agent.Healthy() != nil {
			return false
		}
	}
	return true
}

// Close implements quickstart.Fleet.
func (f *Fleet) Close() error {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	f.watch.close()
	var wg sync.WaitGroup
	for _, h := range f.hosts {
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
