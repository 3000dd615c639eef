// Package platform is a stand-in of the platform's HTTP object API: versioned
// objects, conditional updates, long-poll watches and rate limits. It keeps
// everything in memory, listens on loopback only and injects outages, slowness
// and lost answers.
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

// Rates that the platform takes when Options name none.
const (
	DefaultWritesPerSecond = 300
	DefaultReadsPerSecond  = 2000
)

// MaxValueBytes is the largest value of one object.
const MaxValueBytes = 1_000_000

const readHeaderTimeout = 5 * time.Second

// Options set the size of the stand-in. The zero value gives the defaults.
type Options struct {
	WritesPerSecond int // 0: DefaultWritesPerSecond
	ReadsPerSecond  int // 0: DefaultReadsPerSecond
}

// Server is one stand-in platform.
type Server struct {
	store  *store
	inject *injection
	writes *bucket
	reads  *bucket
	done   chan struct{}
	once   sync.Once
	http   *http.Server
}

// New returns a stand-in that does not listen yet.
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
		inject: &injection{},
		writes: newBucket(o.WritesPerSecond, now),
		reads:  newBucket(o.ReadsPerSecond, now),
		done:   make(chan struct{}),
	}
	s.http = &http.Server{Handler: s.handler(), ReadHeaderTimeout: readHeaderTimeout}
	return s
}

// Start listens on a loopback address such as 127.0.0.1:0 and returns the
// address in use.
func (s *Server) Start(listen string) (netip.AddrPort, error) {
	wanted, err := netip.ParseAddrPort(listen)
	if err != nil {
		return netip.AddrPort{}, errkind.Wrap(err, errkind.SettingInvalid, "listen")
	}
	if !wanted.Addr().IsLoopback() {
		return netip.AddrPort{}, errkind.Errorf(errkind.SettingInvalid, "listen: %s is not a loopback address", listen)
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

// Close ends the stand-in, with all its connections and waiting watches.
func (s *Server) Close() {
	s.once.Do(func() {
		close(s.done)
		_ = s.http.Close() // the process ends its listeners either way
	})
}
