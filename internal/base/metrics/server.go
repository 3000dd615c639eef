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

// Bounds on what one reader of the operators' address can hold: it has no
// authentication and must not take memory or goroutines from the data path.
const (
	readTimeout    = 5 * time.Second
	writeTimeout   = 10 * time.Second
	maxHeaderBytes = 8 << 10
)

// Server serves the operators' address.
type Server struct {
	listener net.Listener
	http     http.Server
}

// Listen opens the operators' address (TCP). Errors have kind SettingInvalid.
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

// Addr returns the address that is open.
func (s *Server) Addr() netip.AddrPort {
	return s.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Serve answers until Close, and then returns nil. Errors have kind Internal.
func (s *Server) Serve() error {
	err := s.http.Serve(s.listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve operators' address")
}

// Close stops answering. Answers in progress are completed until ctx ends.
func (s *Server) Close(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	return errkind.Wrap(err, errkind.Internal, "close operators' address")
}
