package agent

import (
	"context"
	"crypto/rand"
	"crypto/tls"
	"encoding/binary"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"

	"github.com/knapweedpier/knapweedpier/internal/base/errkind"
	"github.com/knapweedpier/knapweedpier/internal/base/keyring"
	"github.com/knapweedpier/knapweedpier/internal/requestpath/connid"
)

const (
	// idleTimeout is the time without packets after which a flow is closed.
	idleTimeout = 15 * time.Second
	// keepAliveInterval tolerates two lost keep-alives before the idle timeout.
	keepAliveInterval = 5 * time.Second
	// maxStreams bounds the requests in progress of one flow.
	maxStreams = 256
)

// flowServer terminates the flows of one incarnation.
type flowServer struct {
	conn      *packetConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	openFlow  func() (release func(), err error)
	onOpen    func()
	onEnd     func(errkind.Kind)

	mu             sync.Mutex
	server         *http3.Server // replaced by drain
	newServer      func() *http3.Server
	flows          map[*quic.Conn]*flow
	undrainedFlows bool // a flow was opened since the last drain
	done           sync.WaitGroup
}

// flowServerOptions configure a flowServer.
type flowServerOptions struct {
	endpoint    *Endpoint
	keyRing     *keyring.Ring
	domain      uint8 // index of the agent's failure domain
	incarnation uint64
	tls         *tls.Config
	handler     http.Handler
	openFlow    func() (release func(), err error)
	onOpen      func()             // called when a flow has been opened; nil: flows are not counted
	onEnd       func(errkind.Kind) // called when a flow has ended, with 0 if it is not broken
}

func newFlowServer(o flowServerOptions) (*flowServer, error) {
	if o.onOpen == nil {
		o.onOpen, o.onEnd = func() {}, func(errkind.Kind) {}
	}
	f := &flowServer{
		conn:     newPacketConn(o.endpoint),
		openFlow: o.openFlow,
		onOpen:   o.onOpen,
		onEnd:    o.onEnd,
		flows:    map[*quic.Conn]*flow{},
	}
	f.newServer = func() *http3.Server {
		return &http3.Server{Handler: countRequests(o.handler), ConnContext: f.connContext}
	}
	f.server = f.newServer()
	resetKey := statelessResetKey(o.keyRing, o.endpoint.Address())
	tokenKey := quic.TokenGeneratorKey(o.keyRing.SigningKey().Derive("address token"))
	f.transport = &quic.Transport{
		Conn:                  f.conn,
		ConnectionIDGenerator: newConnIDGenerator(o),
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
	}
	config := &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAliveInterval,
		MaxIncomingStreams:      maxStreams,
		DisablePathMTUDiscovery: true, // the tunnel header takes part of the path's MTU
		Allow0RTT:               false,
	}
	listener, err := f.transport.ListenEarly(http3.ConfigureTLSConfig(o.tls), config)
	if err != nil {
		return nil, errkind.Wrap(err, errkind.Internal, "listen for flows")
	}
	f.listener = listener
	f.done.Go(f.acceptLoop)
	return f, nil
}

// statelessResetKey returns the same key for all incarnations at one address, so
// that a successor can reset the flows of its predecessor.
func statelessResetKey(keyRing *keyring.Ring, address netip.AddrPort) quic.StatelessResetKey {
	return quic.StatelessResetKey(keyRing.SigningKey().Derive("stateless reset " + address.String()))
}

func (f *flowServer) acceptLoop() {
	for {
		conn, err := f.listener.Accept(context.Background())
		if err != nil {
			return // the transport was closed
		}
		release, err := f.openFlow()
		if err != nil {
			_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeExcessiveLoad), errkind.Of(err).String())
			continue
		}
		f.done.Go(func() {
			defer release()
			f.serve(conn)
		})
	}
}

// serve handles one flow until it ends.
func (f *flowServer) serve(conn *quic.Conn) {
	f.mu.Lock()
	opened := &flow{}
	f.flows[conn] = opened
	server := f.server
	f.undrainedFlows = true
	f.mu.Unlock()
	f.onOpen()
	defer func() { f.onEnd(opened.brokenKind(context.Cause(conn.Context()))) }()
	// The error only says how the flow ended.
	_ = server.ServeQUICConn(conn)
	f.mu.Lock()
	delete(f.flows, conn)
	f.mu.Unlock()
}

// drain ends the currently open flows gracefully: callers are told to open new
// flows for new requests, and requests in progress go on. Flows that are opened
// later are served as usual. When ctx ends first, drain returns an error of kind
// DeadlineUnknown and leaves the remaining flows open, for closeFlows to close them
// with a reason.
func (f *flowServer) drain(ctx context.Context) error {
	f.mu.Lock()
	server := f.server
	f.server = f.newServer()
	f.undrainedFlows = false
	f.mu.Unlock()
	ended := make(chan error, 1)
	// At the end of its context, Shutdown would close the flows without a reason.
	go func() { ended <- server.Shutdown(context.WithoutCancel(ctx)) }()
	var err error
	select {
	case err = <-ended:
	case <-ctx.Done():
		err = ctx.Err()
	}
	return errkind.Wrap(err, errkind.DeadlineUnknown, "graceful end of flows")
}

// hasUndrainedFlows reports whether a flow was opened since the last drain.
func (f *flowServer) hasUndrainedFlows() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.undrainedFlows
}

// closeFlows closes all open flows at once and tells their callers the reason.
// Flows with a request in progress count as broken by kind.
func (f *flowServer) closeFlows(reason string, kind errkind.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, current := range f.flows {
		if current.activeRequests.Load() > 0 {
			current.markBroken(kind)
		}
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
	}
}

// close closes all flows and the transport at once.
func (f *flowServer) close(kind errkind.Kind) {
	f.closeFlows("agent stops", kind)
	_ = f.listener.Close()
	_ = f.transport.Close()
	_ = f.conn.Close()
	f.done.Wait()
}

// connIDGenerator issues connection IDs for one incarnation.
type connIDGenerator struct {
	codec   func() *connid.Codec
	service netip.AddrPort
	fields  connid.Fields
	nonce   atomic.Uint32
}

func newConnIDGenerator(o flowServerOptions) *connIDGenerator {
	g := &connIDGenerator{
		codec:   func() *connid.Codec { return o.endpoint.codecs.Load().connid },
		service: o.endpoint.service,
		fields: connid.Fields{
			Agent:       o.endpoint.Address(),
			Domain:      o.domain,
			Incarnation: connid.IncarnationTag(o.incarnation),
		},
	}
	var firstNonce [4]byte
	_, _ = rand.Read(firstNonce[:]) // never fails
	g.nonce.Store(binary.BigEndian.Uint32(firstNonce[:]))
	return g
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	fields := g.fields
	fields.Nonce = g.nonce.Add(1)
	id := g.codec().Encode(fields, g.service)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *connIDGenerator) ConnectionIDLen() int { return connid.Size }
