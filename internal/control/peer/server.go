package peer

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sourcegraph/jsonrpc2"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/event"
	names "github.com/knapweedpier/knapweedpier/internal/base/metrics"
	"github.com/knapweedpier/knapweedpier/internal/base/panics"
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// Limits of connections to the server.
const (
	rpcIdleTimeout     = 30 * time.Second // without a read
	rpcWriteTimeout    = 2 * time.Second
	maxConcurrentCalls = 8 // per connection
	relayIdleTimeout   = time.Minute
	readHeaderTimeout  = 5 * time.Second
	trustCheckInterval = 5 * time.Second // between checks of connections against the key ring
)

// Names of the counters.
const (
	CounterMalformed    = string(names.ControlMalformed)
	CounterUnauthorized = string(names.ControlUnauthorized)
	CounterPullsServed  = string(names.ControlPullsServed)
	CounterBytesIn      = string(names.ControlBytesIn)
	CounterBytesOut     = string(names.ControlBytesOut)
)

// ServerOptions are the parameters of a Server. Without a Registry, counters go to a
// registry of the server's own; without Relay, relayed requests get status 404.
type ServerOptions struct {
	Identity *peertls.Identity
	Pull     func(context.Context, PullRequest) (PullResponse, error)
	Status   func(context.Context, StatusRequest) (any, error) // its result is encoded as JSON
	Relay    http.Handler                                      // serves relayed requests
	Logger   *event.Logger
	Registry metrics.Registry
}

// Server serves jsonrpc2 calls and relayed requests of peers.
type Server struct {
	opts         ServerOptions
	httpServer   *http.Server
	mu           sync.Mutex
	rpcConns     map[*jsonrpc2.Conn]tls.ConnectionState
	shutdown     chan struct{}
	shutdownOnce sync.Once
}

// NewServer returns a server that does not listen yet.
func NewServer(opts ServerOptions) *Server {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Relay == nil {
		opts.Relay = http.NotFoundHandler()
	}
	s := &Server{opts: opts, rpcConns: map[*jsonrpc2.Conn]tls.ConnectionState{}, shutdown: make(chan struct{})}
	s.httpServer = &http.Server{
		Handler:           opts.Relay,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       relayIdleTimeout,
		ErrorLog:          discardLogger,
		TLSNextProto: map[string]func(*http.Server, *tls.Conn, http.Handler){
			ProtocolRPC: func(_ *http.Server, conn *tls.Conn, _ http.Handler) { s.serveRPC(conn) },
		},
	}
	return s
}

// discardLogger drops the log lines of libraries: failures are logged as events.
var discardLogger = log.New(io.Discard, "", 0)

// Serve serves connections from l until Shutdown, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	go s.closeUntrustedConns()
	secure := newTLSListener(l, s.opts.Identity.ServerConfig(ProtocolRPC, ProtocolRelay), s.reportHandshakeError)
	err := s.httpServer.Serve(secure)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve peers")
}

// Shutdown closes the listener and the jsonrpc2 connections and waits for
// relayed requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.shutdownOnce.Do(func() { close(s.shutdown) })
	s.closeRPCConns(func(tls.ConnectionState) bool { return true })
	err := s.httpServer.Shutdown(ctx)
	if err != nil {
		s.httpServer.Close()
	}
	return errkind.Wrap(err, errkind.Internal, "relayed requests did not end in time")
}

// closeRPCConns closes the jsonrpc2 connections for which match returns true.
func (s *Server) closeRPCConns(match func(tls.ConnectionState) bool) {
	s.mu.Lock()
	var matching []*jsonrpc2.Conn
	for conn, state := range s.rpcConns {
		if match(state) {
			matching = append(matching, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range matching {
		conn.Close()
	}
}

// closeUntrustedConns closes the jsonrpc2 connections whose key is no longer in the
// key ring, every trustCheckInterval until Shutdown.
func (s *Server) closeUntrustedConns() {
	ticker := time.NewTicker(trustCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.shutdown:
			return
		case <-ticker.C:
			s.closeRPCConns(func(state tls.ConnectionState) bool { return !s.opts.Identity.Trusts(state) })
		}
	}
}

func (s *Server) reportHandshakeError(remote net.Addr, err error) {
	if !peertls.IsCertificateRejection(err) {
		return // the network failed
	}
	s.increment(CounterUnauthorized)
	err = errkind.Wrap(err, errkind.PeerUnauthorized, "handshake")
	s.opts.Logger.EmitError(event.PeerRefused, err, event.Fields{"remote": remote.String()})
}

func (s *Server) reportMalformed(remote net.Addr, err error) {
	s.increment(CounterMalformed)
	s.opts.Logger.EmitError(event.PeerMessageRefused, err, event.Fields{"remote": remote.String()})
}

func (s *Server) increment(name string) {
	metrics.GetOrRegisterCounter(name, s.opts.Registry).Inc(1)
}

// serveRPC serves calls on conn until it closes or the server shuts down.
func (s *Server) serveRPC(conn *tls.Conn) {
	frameCodec := &codec{}
	h := &rpcHandler{server: s, remote: conn.RemoteAddr(), slots: make(chan struct{}, maxConcurrentCalls)}
	stream := jsonrpc2.NewBufferedStream(newTimedConn(conn, rpcIdleTimeout, s.opts.Registry), frameCodec)
	rpc := jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(discardLogger))
	defer rpc.Close()
	s.mu.Lock()
	s.rpcConns[rpc] = conn.ConnectionState()
	s.mu.Unlock()
	select {
	case <-rpc.DisconnectNotify():
	case <-s.shutdown:
	}
	s.mu.Lock()
	delete(s.rpcConns, rpc)
	s.mu.Unlock()
	if err := frameCodec.readError(); errkind.Is(err, errkind.PeerMalformed) {
		s.reportMalformed(conn.RemoteAddr(), err)
	}
}

// rpcHandler serves the calls of one connection.
type rpcHandler struct {
	server *Server
	remote net.Addr
	slots  chan struct{} // one element per call in progress
}

// Handle implements jsonrpc2.Handler.
func (h *rpcHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	default:
		h.closeMalformed(conn, errkind.Errorf(errkind.PeerMalformed, "more than %d calls in progress", maxConcurrentCalls))
		return
	}
	go func() {
		defer func() { <-h.slots }()
		h.respond(ctx, conn, req)
	}()
}

func (h *rpcHandler) respond(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	var result any
	_, err := panics.Handle(h.server.opts.Logger, func() (err error) {
		result, err = h.call(ctx, req)
		return err
	})
	switch {
	case errkind.Is(err, errkind.PeerMalformed):
		h.closeMalformed(conn, err)
	case err != nil:
		kind := errkind.Of(err)
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: int64(kind), Message: err.Error()})
	default:
		_ = conn.Reply(ctx, req.ID, result) // a failed write closes the connection
	}
}

func (h *rpcHandler) closeMalformed(conn *jsonrpc2.Conn, err error) {
	h.server.reportMalformed(h.remote, err)
	conn.Close()
}

func (h *rpcHandler) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodPull:
		h.server.increment(CounterPullsServed)
		return h.pull(ctx, req.Params)
	case methodStatus:
		return h.status(ctx, req.Params)
	default:
		return nil, errkind.Errorf(errkind.PeerMalformed, "unknown method %.40q", req.Method)
	}
}

func (h *rpcHandler) pull(ctx context.Context, params *json.RawMessage) (any, error) {
	var req PullRequest
	if params == nil {
		return nil, errkind.New(errkind.PeerMalformed, "pull request without parameters")
	}
	if err := json.Unmarshal(*params, &req); err != nil {
		return nil, errkind.Wrap(err, errkind.PeerMalformed, "decode pull request")
	}
	if err := req.validate(); err != nil {
		return nil, err
	}
	return h.server.opts.Pull(ctx, req)
}

func (h *rpcHandler) status(ctx context.Context, params *json.RawMessage) (any, error) {
	var req StatusRequest
	if params == nil {
		return nil, errkind.New(errkind.PeerMalformed, "status request without parameters")
	}
	if err := json.Unmarshal(*params, &req); err != nil {
		return nil, errkind.Wrap(err, errkind.PeerMalformed, "decode status request")
	}
	return h.server.opts.Status(ctx, req)
}

func (r PullRequest) validate() error {
	switch {
	case r.ID == "":
		return errkind.New(errkind.PeerMalformed, "pull request without id")
	case r.Wait < 0 || r.Wait > MaxPullWait:
		return errkind.Errorf(errkind.PeerMalformed, "wait must be 0 to %v", MaxPullWait)
	case r.Record != nil && r.Record.ID != r.ID:
		return errkind.New(errkind.PeerMalformed, "self holds the record of another process")
	default:
		return nil
	}
}
