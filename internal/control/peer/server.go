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
	"github.com/knapweedpier/knapweedpier/internal/control/peertls"
)

// Limits of a connection to the server.
const (
	rpcIdle       = 30 * time.Second // without any message
	rpcWrite      = 2 * time.Second
	rpcConcurrent = 8 // calls in progress
	relayIdle     = time.Minute
	headerTimeout = 5 * time.Second
	trustInterval = 5 * time.Second // between checks against the key ring
)

// Names of the counters.
const (
	CountMalformed    = string(names.ControlMalformed)
	CountUnauthorized = string(names.ControlUnauthorized)
	CountPulls        = string(names.ControlPullsServed)
	CountBytesIn      = string(names.ControlBytesIn)
	CountBytesOut     = string(names.ControlBytesOut)
)

// ServerOptions are the parts of a Server. Registry and Relay may be nil.
type ServerOptions struct {
	Identity *peertls.Identity
	Pull     func(context.Context, PullRequest) (PullAnswer, error)
	Status   func(context.Context, StatusRequest) (any, error) // encoded as JSON
	Relay    http.Handler                                      // of relayed requests
	Logger   *event.Logger
	Registry metrics.Registry
}

// Server answers peers.
type Server struct {
	opts  ServerOptions
	http  *http.Server
	mu    sync.Mutex
	conns map[*jsonrpc2.Conn]tls.ConnectionState
	done  chan struct{}
	once  sync.Once
}

// NewServer returns a server that does not listen yet.
func NewServer(opts ServerOptions) *Server {
	if opts.Registry == nil {
		opts.Registry = metrics.NewRegistry()
	}
	if opts.Relay == nil {
		opts.Relay = http.NotFoundHandler()
	}
	s := &Server{opts: opts, conns: map[*jsonrpc2.Conn]tls.ConnectionState{}, done: make(chan struct{})}
	s.http = &http.Server{
		Handler:           opts.Relay,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       relayIdle,
		ErrorLog:          silent,
		TLSNextProto: map[string]func(*http.Server, *tls.Conn, http.Handler){
			ProtocolRPC: func(_ *http.Server, conn *tls.Conn, _ http.Handler) { s.serveRPC(conn) },
		},
	}
	return s
}

// silent drops what libraries print: failures are reported as events instead.
var silent = log.New(io.Discard, "", 0)

// Serve answers connections of l until Shutdown, and then returns nil.
func (s *Server) Serve(l net.Listener) error {
	go s.dropUntrusted()
	secure := newTLSListener(l, s.opts.Identity.Server(ProtocolRPC, ProtocolRelay), s.refused)
	err := s.http.Serve(secure)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return errkind.Wrap(err, errkind.Internal, "serve peers")
}

// Shutdown closes the listener and the jsonrpc2 connections and waits for
// relayed requests in progress until ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.once.Do(func() { close(s.done) })
	s.closeConns(func(tls.ConnectionState) bool { return true })
	err := s.http.Shutdown(ctx)
	if err != nil {
		s.http.Close()
	}
	return errkind.Wrap(err, errkind.Internal, "relayed requests did not end in time")
}

func (s *Server) closeConns(which func(tls.ConnectionState) bool) {
	s.mu.Lock()
	var chosen []*jsonrpc2.Conn
	for conn, state := range s.conns {
		if which(state) {
			chosen = append(chosen, conn)
		}
	}
	s.mu.Unlock()
	for _, conn := range chosen {
		conn.Close()
	}
}

// dropUntrusted closes connections whose key has left the key ring.
func (s *Server) dropUntrusted() {
	ticker := time.NewTicker(trustInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.closeConns(func(state tls.ConnectionState) bool { return !s.opts.Identity.Trusts(state) })
		}
	}
}

func (s *Server) refused(remote net.Addr, err error) {
	if !peertls.Refusal(err) {
		return // the connection broke
	}
	s.count(CountUnauthorized)
	err = errkind.Wrap(err, errkind.PeerUnauthorized, "handshake")
	s.opts.Logger.Failure(event.PeerRefused, err, event.Fields{"remote": remote.String()})
}

func (s *Server) malformed(remote net.Addr, err error) {
	s.count(CountMalformed)
	s.opts.Logger.Failure(event.PeerMessageRefused, err, event.Fields{"remote": remote.String()})
}

func (s *Server) count(name string) {
	metrics.GetOrRegisterCounter(name, s.opts.Registry).Inc(1)
}

// serveRPC answers calls on conn until it closes.
func (s *Server) serveRPC(conn *tls.Conn) {
	c := &codec{}
	h := &rpcHandler{server: s, remote: conn.RemoteAddr(), slots: make(chan struct{}, rpcConcurrent)}
	stream := jsonrpc2.NewBufferedStream(newTimedConn(conn, rpcIdle, s.opts.Registry), c)
	rpc := jsonrpc2.NewConn(context.Background(), stream, h, jsonrpc2.SetLogger(silent))
	defer rpc.Close()
	s.mu.Lock()
	s.conns[rpc] = conn.ConnectionState()
	s.mu.Unlock()
	select {
	case <-rpc.DisconnectNotify():
	case <-s.done:
	}
	s.mu.Lock()
	delete(s.conns, rpc)
	s.mu.Unlock()
	if err := c.ended(); errkind.Is(err, errkind.PeerMalformed) {
		s.malformed(conn.RemoteAddr(), err)
	}
}

// rpcHandler answers the calls of one connection.
type rpcHandler struct {
	server *Server
	remote net.Addr
	slots  chan struct{}
}

// Handle implements jsonrpc2.Handler.
func (h *rpcHandler) Handle(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	select {
	case h.slots <- struct{}{}:
	default:
		h.refuse(conn, errkind.Errorf(errkind.PeerMalformed, "more than %d calls in progress", rpcConcurrent))
		return
	}
	go func() {
		defer func() { <-h.slots }()
		h.answer(ctx, conn, req)
	}()
}

func (h *rpcHandler) answer(ctx context.Context, conn *jsonrpc2.Conn, req *jsonrpc2.Request) {
	result, err := h.call(ctx, req)
	switch {
	case errkind.Is(err, errkind.PeerMalformed):
		h.refuse(conn, err)
	case err != nil:
		kind := errkind.Of(err)
		_ = conn.ReplyWithError(ctx, req.ID, &jsonrpc2.Error{Code: int64(kind), Message: err.Error()})
	default:
		_ = conn.Reply(ctx, req.ID, result) // a failed write closes the connection
	}
}

func (h *rpcHandler) refuse(conn *jsonrpc2.Conn, err error) {
	h.server.malformed(h.remote, err)
	conn.Close()
}

func (h *rpcHandler) call(ctx context.Context, req *jsonrpc2.Request) (any, error) {
	switch req.Method {
	case methodPull:
		h.server.count(CountPulls)
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
		return nil, errkind.New(errkind.PeerMalformed, "pull without parameters")
	}
	if err := json.Unmarshal(*params, &req); err != nil {
		return nil, errkind.Wrap(err, errkind.PeerMalformed, "decode pull")
	}
	if err := req.check(); err != nil {
		return nil, err
	}
	return h.server.opts.Pull(ctx, req)
}

func (h *rpcHandler) status(ctx context.Context, params *json.RawMessage) (any, error) {
	var req StatusRequest
	if params == nil {
		return nil, errkind.New(errkind.PeerMalformed, "status without parameters")
	}
	if err := json.Unmarshal(*params, &req); err != nil {
		return nil, errkind.Wrap(err, errkind.PeerMalformed, "decode status request")
	}
	return h.server.opts.Status(ctx, req)
}

func (r PullRequest) check() error {
	switch {
	case r.ID == "":
		return errkind.New(errkind.PeerMalformed, "pull without id")
	case r.Wait < 0 || r.Wait > MaxWait:
		return errkind.Errorf(errkind.PeerMalformed, "wait must be 0 to %v", MaxWait)
	case r.Self != nil && r.Self.ID != r.ID:
		return errkind.New(errkind.PeerMalformed, "record of another process in self")
	default:
		return nil
	}
}
