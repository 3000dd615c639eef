// Package gate implements the request handler of an agent, between its accepted
// flows and its backend server: admission, deadlines, relay to a peer, retries,
// tickets, feeds, and an outcome on every answer.
//
// It reaches peers only through the Peers interface and does not depend on the
// control plane.
package gate

import (
	"context"
	"math"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/admission"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/backendconn"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/burn"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/retry"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/ticket"
	"github.com/knapweedpier/knapweedpier/pkg/config"
)

// PeerLoad is the last reported load of a peer agent of the same service.
type PeerLoad struct {
	ID           string
	RelayAddress netip.AddrPort // address for relayed requests
	InProgress   int            // requests, smoothed as in Load
	Limit        int            // requests
	Leaving      bool
}

// Peers reaches the peer agents of the same service.
type Peers interface {
	// Candidates returns the peers that may take a relayed request.
	Candidates() []PeerLoad
	// Relay sends a request to a peer's RelayHandler. An error of kind
	// PeerDown or PeerUnauthorized means that the request did not run; any
	// other error means that it may have run.
	Relay(ctx context.Context, peer netip.AddrPort, r *http.Request) (*http.Response, error)
}

// State is the part of the agent's state that decides whether it may serve
// requests.
type State struct {
	Leaving   bool // the backend server takes no new work
	DomainOut bool // the failure domain has been taken out
	Fenced    bool // the agent was paused longer than its lease
}

// Policy selects how requests are placed.
type Policy string

// The policies.
const (
	PolicyAdaptive Policy = "adaptive" // admission and relay
	PolicyBaseline Policy = "baseline" // neither: every request goes to the agent's backend server
)

// Options describe a gate. The fields with a default may be unset.
type Options struct {
	BackendID      string
	RelayAddress   netip.AddrPort // this agent's address for relayed requests; IPv4
	BackendAddress netip.AddrPort
	Service        func() (config.Service, bool) // currently in force
	KeyRing        func() *keyring.Ring
	Incarnation    uint64
	Peers          Peers
	State          func() State
	Log            *event.Logger
	Policy         Policy           // default PolicyAdaptive
	Now            func() time.Time // default time.Now
	Metrics        *metrics.Agent   // default: not exported
	Burn           *burn.Tracker    // default: counts are dropped
	// OnFeedBroken is called when a feed is interrupted after its header, with the
	// context of its request. It may be nil.
	OnFeedBroken func(context.Context, errkind.Kind)
}

// Load is the load of the backend server as the gate sees it.
type Load struct {
	InProgress int // requests, smoothed over a few hundred milliseconds
	Limit      int // requests; 0 while the backend server fails every request
	Flows      int
	Cold       bool
}

// Gate is the request handler of one agent. It is safe for concurrent use.
type Gate struct {
	opts      Options
	pool      *backendconn.Pool
	slotFreed chan struct{} // unbuffered: wakes one waiting request when a slot is released

	mu               sync.Mutex
	limiter          *admission.Limiter
	limits           config.Limits
	budget           retry.Budget
	tickets          *ticket.Table
	relaysInProgress map[netip.AddrPort]int       // relays to each peer in progress
	backoffUntil     map[netip.AddrPort]time.Time // time before which a peer gets no relayed request
	averageLoad      movingAverage
	attempts         int
	waitingRequests  int // for a slot
	requests         int
}

// New returns a gate. It opens connections only when requests arrive.
func New(opts Options) *Gate {
	if opts.Policy == "" {
		opts.Policy = PolicyAdaptive
	}
	if opts.Now == nil {
		opts.Now = time.Now
	}
	if opts.Metrics == nil {
		opts.Metrics = metrics.NewAgent(metrics.New())
	}
	if opts.Burn == nil {
		opts.Burn = burn.NewTracker()
	}
	if opts.OnFeedBroken == nil {
		opts.OnFeedBroken = func(context.Context, errkind.Kind) {}
	}
	g := &Gate{opts: opts, slotFreed: make(chan struct{}), tickets: ticket.NewTable(ticket.DefaultCapacity), relaysInProgress: map[netip.AddrPort]int{}, backoffUntil: map[netip.AddrPort]time.Time{}}
	g.limits = g.serviceLimits()
	g.limiter = admission.New(g.limits, opts.Now())
	g.pool = backendconn.New(backendconn.Options{
		Backend: opts.BackendAddress, Limits: g.serviceLimits, OnLost: g.onConnectionLost, Now: opts.Now,
	})
	return g
}

// Close closes all connections to the backend server.
func (g *Gate) Close() { g.pool.Close() }

// unlimitedSlots is the number of slots under the baseline policy, which has no
// limit.
const unlimitedSlots = 1 << 20

// serviceLimits returns the limits in force. Without a configuration nothing
// is admitted.
func (g *Gate) serviceLimits() config.Limits {
	s, ok := g.opts.Service()
	if ok && g.opts.Policy == PolicyBaseline {
		return config.Limits{Slots: unlimitedSlots, ColdSlots: unlimitedSlots, Connections: s.Limits.Connections}
	}
	return s.Limits
}

// refreshLimits applies changed limits. The caller holds g.mu.
func (g *Gate) refreshLimits() {
	limits := g.serviceLimits()
	if limits == g.limits {
		return
	}
	if g.limits.Slots == 0 {
		g.limiter = admission.New(limits, g.opts.Now())
	}
	g.limits = limits
	g.limiter.SetLimits(limits)
}

// onConnectionLost is called by the pool when the backend server closed or refused a
// connection unexpectedly. It applies the cold-start limit.
func (g *Gate) onConnectionLost(err error) {
	g.mu.Lock()
	wasWarm := !g.limiter.IsCold(g.opts.Now())
	g.limiter.MarkCold(g.opts.Now())
	g.mu.Unlock()
	g.opts.Log.EmitError(event.BackendConnFailed, errkind.Wrap(err, errkind.BackendLost, "the connection to the backend server failed"), nil)
	if wasWarm {
		g.opts.Log.Emit(event.ColdStart, event.Fields{"backend": g.opts.BackendID})
	}
}

// Load returns the current load, for peers and balancers.
func (g *Gate) Load() Load {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshLimits()
	now := g.opts.Now()
	g.averageLoad.observe(now, g.limiter.InProgress())
	limit := g.limiter.Limit(now)
	if g.limiter.IsFailing(now) {
		limit = 0
	}
	return Load{
		InProgress: int(math.Round(g.averageLoad.value)), Limit: limit,
		Flows: g.limiter.Flows(), Cold: g.limiter.IsCold(now),
	}
}

// OpenConnections returns the number of open connections to the backend server.
func (g *Gate) OpenConnections() int { return g.pool.OpenConns() }

func (g *Gate) isFailing() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.limiter.IsFailing(g.opts.Now())
}

// RequestCounts returns the number of requests and the number of attempts made for
// them, at the backend server or at a peer.
func (g *Gate) RequestCounts() (requests, attempts int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests, g.attempts
}

// OpenFlow counts a flow against the connection limit. The release function
// may be called more than once. The error has kind ConnectionsFull.
func (g *Gate) OpenFlow() (release func(), err error) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refreshLimits()
	if g.limiter.OpenFlow() != admission.Admitted {
		return nil, errkind.New(errkind.ConnectionsFull, "too many open flows")
	}
	return sync.OnceFunc(func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.limiter.CloseFlow()
	}), nil
}
