// Package backend is a stand-in backend server: HTTP/1.1 on loopback with a
// cold start, load shedding while draining, feeds, and a ledger of the requests
// that ran.
//
// It does not protect itself from overload. A request that starts above its
// true capacity is counted in the ledger, so that a test sees whether the load
// balancer kept to the limit.
package backend

import (
	"context"
	"io"
	"log"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Options configure a Server. Zero values are replaced by the defaults named at
// each field.
type Options struct {
	ID           string
	Service      string
	Slots        int           // capacity when warm, in requests in progress; default 9
	Connections  int           // limit of open feeds; default 2000
	ColdSlots    int           // capacity right after a start, in requests in progress; default 2
	WarmUp       time.Duration // time in which the capacity rises from ColdSlots to Slots; 0 means warm from the start
	FeedPath     string        // default /feed
	FeedInterval time.Duration // between two lines of a feed; default 500 ms
	WorkMean     time.Duration // mean of the exponential work time; default 20 ms
	Seed         uint64        // seed of the work times

	// RestartOnOverload makes the server restart when a request starts above
	// its true capacity.
	RestartOnOverload bool
	// FeedsEndOnDrain ends open feeds when the server is asked to drain.
	// Without it, they continue until their callers leave.
	FeedsEndOnDrain bool
}

// Defaults of Options.
const (
	DefaultSlots        = 9
	DefaultConnections  = 2000
	DefaultColdSlots    = 2
	DefaultFeedPath     = "/feed"
	DefaultFeedInterval = 500 * time.Millisecond
	DefaultWorkMean     = 20 * time.Millisecond
)

// maxWorkFactor limits a work time to this multiple of WorkMean, so that the tail
// of the exponential distribution does not make tests arbitrarily long.
const maxWorkFactor = 5

func (o Options) withDefaults() Options {
	setDefault(&o.Slots, DefaultSlots)
	setDefault(&o.Connections, DefaultConnections)
	setDefault(&o.ColdSlots, DefaultColdSlots)
	setDefault(&o.FeedPath, DefaultFeedPath)
	setDefault(&o.FeedInterval, DefaultFeedInterval)
	setDefault(&o.WorkMean, DefaultWorkMean)
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	opts Options
	http *http.Server

	mu               sync.Mutex
	epoch            uint64 // incremented by each restart; each connection belongs to one epoch
	startedAt        time.Time
	listener         net.Listener
	conns            map[net.Conn]struct{}
	inProgress       int
	drainStarted     chan struct{} // closed while draining
	draining         bool
	shedOverCapacity bool // set by MakeCold: sheds requests above the true capacity
	frozenUntil      time.Time
	loadOverride     *Load
	workRandom       *rand.Rand
	ledger           ledgerState
}

// New returns a server that is not yet listening.
func New(opts Options) *Server {
	opts = opts.withDefaults()
	s := &Server{
		opts:         opts,
		conns:        map[net.Conn]struct{}{},
		drainStarted: make(chan struct{}),
		workRandom:   rand.New(rand.NewPCG(opts.Seed, 1)),
		ledger:       newLedgerState(),
	}
	s.http = &http.Server{
		Handler:     s.routes(),
		ConnContext: s.connContext,
		ConnState:   s.connState,
		ErrorLog:    log.New(io.Discard, "", 0), // aborted handlers are injected faults
	}
	return s
}

// ID returns the server's ID.
func (s *Server) ID() string { return s.opts.ID }

// Start listens on a loopback address such as "127.0.0.1:0" and serves until
// Close. Its warm-up begins now.
func (s *Server) Start(listen string) (netip.AddrPort, error) {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil || !addr.Addr().IsLoopback() {
		return netip.AddrPort{}, errkind.Errorf(errkind.SettingInvalid, "listen %q: expected a loopback address with a port", listen)
	}
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return netip.AddrPort{}, errkind.Wrap(err, errkind.SettingInvalid, "listen")
	}
	s.mu.Lock()
	s.startedAt, s.listener = time.Now(), l
	s.mu.Unlock()
	go s.http.Serve(l) // ends with Close
	return l.Addr().(*net.TCPAddr).AddrPort(), nil
}

// Close stops listening and closes all connections.
func (s *Server) Close() error {
	err := s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		// The HTTP server doesn't close a listener that it hasn't begun to serve.
		_ = s.listener.Close()
	}
	return err
}

type epochKey struct{}

// connContext binds a new connection to the current epoch.
func (s *Server) connContext(ctx context.Context, c net.Conn) context.Context {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns[c] = struct{}{}
	return context.WithValue(ctx, epochKey{}, s.epoch)
}

func (s *Server) connState(c net.Conn, state http.ConnState) {
	if state != http.StateClosed && state != http.StateHijacked {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// capacity returns the number of requests in progress that the server can handle
// at now. It rises linearly during the warm-up. It is called with mu held.
func (s *Server) capacity(now time.Time) int {
	elapsed := now.Sub(s.startedAt)
	if elapsed >= s.opts.WarmUp {
		return s.opts.Slots
	}
	gained := int64(s.opts.Slots-s.opts.ColdSlots) * int64(elapsed) / int64(s.opts.WarmUp)
	return s.opts.ColdSlots + int(gained)
}

// workTime returns a random work time for one request.
func (s *Server) workTime() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	d := time.Duration(s.workRandom.ExpFloat64() * float64(s.opts.WorkMean))
	return min(d, maxWorkFactor*s.opts.WorkMean)
}
