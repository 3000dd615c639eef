package metrics

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
)

// Limits on each connection to the ops endpoint: it has no authentication, and
// its clients must not take memory or goroutines from the data path.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 8 << 10
)

// Server is the HTTP server of the ops endpoint.
type Server struct {
	listener net.Listener
	http     http.Server
}

// Listen opens the TCP listener of the ops endpoint (--ops-listen). Errors have
// kind SettingInvalid.
func Listen(address netip.AddrPort, handler http.Handler) (*Server, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errkind.Wrap(err, errkind.SettingInvalid, "--ops-listen")
	}
	return &Server{
		listener: listener,
		http: http.Server{
			Handler:        handler,
			ReadTimeout:    readTimeout,
			WriteTimeout:   writeTimeout,
			MaxHeaderBytes: maxHeaderBytes,
		},
	}, nil
}

// Addr returns the address that the server listens on, with the actual port if
// port 0 was asked for.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve handles requests until Close is called and then returns nil. Errors have
// kind Internal.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve the ops endpoint")
}

// Close closes the listener and waits until the requests in progress are
// answered or ctx ends. Errors have kind Internal.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errkind.Wrap(err, errkind.Internal, "shut down the ops endpoint")
}
