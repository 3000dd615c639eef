// Package platform is a stand-in for the platform's HTTP object API: versioned
// objects, conditional updates, long-poll watches and rate limits. It keeps all
// objects in memory, listens on loopback addresses only and injects outages,
// delays and lost answers.
package platform

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Rate limits that apply if Options leave them at 0.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// MaxValueBytes is the size limit of the value of one object.
const MaxValueBytes = 1_000_000

const readHeaderTimeout = 5 * time.Second

// Options set the rate limits of the stand-in. The zero value gives the
// defaults.
type Options struct {
	WritesPerSecond int // 0: DefaultWritesPerSecond
	ReadsPerSecond  int // 0: DefaultReadsPerSecond
}

// Server is one stand-in platform. It is safe for concurrent use.
type Server struct {
	store     *store
	faults    *injectedFaults
	writes    *tokenBucket
	reads     *tokenBucket
	closed    chan struct{}
	closeOnce sync.Once
	http      *http.Server
}

// New returns a server that is not yet listening.
func New(o Options) *Server {
	if o.WritesPerSecond == 0 {
		o.WritesPerSecond = DefaultWritesPerSecond
	}
	if o.ReadsPerSecond == 0 {
		o.ReadsPerSecond = DefaultReadsPerSecond
	}
	now := time.Now()
	s := &Server{
		store:  newStore(),
		faults: &injectedFaults{},
		writes: newTokenBucket(o.WritesPerSecond, now),
		reads:  newTokenBucket(o.ReadsPerSecond, now),
		closed: make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Start listens on a loopback address such as 127.0.0.1:0 and returns the
// address with the actual port.
func (s *Server) Start(listen string) (netip.AddrPort, error) {
	wanted, err := netip.ParseAddrPort(listen)
	if err != nil {
		return netip.AddrPort{}, errkind.Wrap(err, errkind.SettingInvalid, "listen")
	}
	if !wanted.Addr().IsLoopback() {
		return netip.AddrPort{}, errkind.Errorf(errkind.SettingInvalid, "listen %q: expected a loopback address with a port", listen)
	}
	l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", listen)
	if err != nil {
		return netip.AddrPort{}, errkind.Wrap(err, errkind.SettingInvalid, "listen")
	}
	go s.serve(l)
	return netip.ParseAddrPort(l.Addr().String())
}

func (s *Server) serve(l net.Listener) {
	if err := s.http.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		s.Close()
	}
}

// Close stops listening and closes all connections, also those of waiting
// watches.
func (s *Server) Close() {
	s.closeOnce.Do(func() {
		close(s.closed)
		_ = s.http.Close() // an error leaves nothing to do: the listener ends with the process
	})
}
