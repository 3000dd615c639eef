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
	// idleTimeout is the time after which a silent flow is given up.
	idleTimeout = 15 * time.Second
	// keepAlive leaves two lost keep-alives before the idle timeout.
	keepAlive = 5 * time.Second
	// maxStreams bounds the requests in progress of one flow.
	maxStreams = 256
)

// flowServer ends the flows of one incarnation.
type flowServer struct {
	conn      *packetConn
	transport *quic.Transport
	listener  *quic.EarlyListener
	openFlow  func() (release func(), err error)
	opened    func()
	ended     func(errkind.Kind)

	mu        sync.Mutex
	server    *http3.Server // replaced after a graceful end
	new       func() *http3.Server
	flows     map[*quic.Conn]*flow
	undrained bool // a flow was opened since the last drain
	done      sync.WaitGroup
}

// flowOptions configure a flowServer.
type flowOptions struct {
	endpoint    *Endpoint
	ring        *keyring.Ring
	domain      uint8 // index of the agent's failure domain
	incarnation uint64
	tls         *tls.Config
	handler     http.Handler
	openFlow    func() (release func(), err error)
	opened      func()             // a flow has been opened; nil: flows are not counted
	ended       func(errkind.Kind) // and has ended; 0: unbroken
}

func newFlowServer(o flowOptions) (*flowServer, error) {
	if o.opened == nil {
		o.opened, o.ended = func() {}, func(errkind.Kind) {}
	}
	f := &flowServer{
		conn:     newPacketConn(o.endpoint),
		openFlow: o.openFlow,
		opened:   o.opened,
		ended:    o.ended,
		flows:    map[*quic.Conn]*flow{},
	}
	f.new = func() *http3.Server {
		return &http3.Server{Handler: counted(o.handler), ConnContext: f.withFlow}
	}
	f.server = f.new()
	resetKey := resetKey(o.ring, o.endpoint.Address())
	tokenKey := quic.TokenGeneratorKey(o.ring.Signing().Derive("address token"))
	f.transport = &quic.Transport{
		Conn:                  f.conn,
		ConnectionIDGenerator: newIDGenerator(o),
		StatelessResetKey:     &resetKey,
		TokenGeneratorKey:     &tokenKey,
	}
	config := &quic.Config{
		MaxIdleTimeout:          idleTimeout,
		KeepAlivePeriod:         keepAlive,
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

// resetKey is the same for all incarnations at one address, so that a
// successor can reset the flows of its predecessor.
func resetKey(ring *keyring.Ring, address netip.AddrPort) quic.StatelessResetKey {
	return quic.StatelessResetKey(ring.Signing().Derive("stateless reset " + address.String()))
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
	own := &flow{}
	f.flows[conn] = own
	server := f.server
	f.undrained = true
	f.mu.Unlock()
	f.opened()
	defer func() { f.ended(own.end(context.Cause(conn.Context()))) }()
	// The error only says how the flow ended.
	_ = server.ServeQUICConn(conn)
	f.mu.Lock()
	delete(f.flows, conn)
	f.mu.Unlock()
}

// drain ends all present flows gracefully: callers are told to open new flows
// for new requests, and requests in progress go on until ctx ends. Flows that
// are opened later are served as usual.
func (f *flowServer) drain(ctx context.Context) error {
	f.mu.Lock()
	server := f.server
	f.server = f.new()
	f.undrained = false
	f.mu.Unlock()
	return errkind.Wrap(server.Shutdown(ctx), errkind.DeadlineUnknown, "graceful end of flows")
}

// hasUndrained reports whether a flow was opened since the last drain.
func (f *flowServer) hasUndrained() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.undrained
}

// closeFlows ends all present flows at once; callers are told. Flows with a
// request in progress count as broken by kind.
func (f *flowServer) closeFlows(reason string, kind errkind.Kind) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for conn, own := range f.flows {
		if own.active.Load() > 0 {
			own.fail(kind)
		}
		_ = conn.CloseWithError(quic.ApplicationErrorCode(http3.ErrCodeNoError), reason)
	}
}

// close ends everything at once.
func (f *flowServer) close(kind errkind.Kind) {
	f.closeFlows("agent stops", kind)
	_ = f.listener.Close()
	_ = f.transport.Close()
	_ = f.conn.Close()
	f.done.Wait()
}

// idGenerator issues connection IDs for one incarnation.
type idGenerator struct {
	codec   func() *connid.Codec
	service netip.AddrPort
	fields  connid.Fields
	nonce   atomic.Uint32
}

func newIDGenerator(o flowOptions) *idGenerator {
	g := &idGenerator{
		codec:   func() *connid.Codec { return o.endpoint.codecs.Load().connid },
		service: o.endpoint.service,
		fields: connid.Fields{
			Agent:       o.endpoint.Address(),
			Domain:      o.domain,
			Incarnation: connid.IncarnationTag(o.incarnation),
		},
	}
	var start [4]byte
	_, _ = rand.Read(start[:]) // never fails
	g.nonce.Store(binary.BigEndian.Uint32(start[:]))
	return g
}

// GenerateConnectionID implements quic.ConnectionIDGenerator.
func (g *idGenerator) GenerateConnectionID() (quic.ConnectionID, error) {
	fields := g.fields
	fields.Nonce = g.nonce.Add(1)
	id := g.codec().Encode(fields, g.service)
	return quic.ConnectionIDFromBytes(id[:]), nil
}

// ConnectionIDLen implements quic.ConnectionIDGenerator.
func (g *idGenerator) ConnectionIDLen() int { return connid.Size }
